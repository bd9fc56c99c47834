"""All processes are killed, and another writer sends heartbeats afterwards."""

import asyncio
import pathlib
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "common-2"))

import http_calls as http
from deployment import HEARTBEAT_MS, play

RECOVERY_S = 12
MIN_SHARE = 0.25


async def write_odd_heartbeats(it, side):
    """Another writer on a side machine: its heartbeats name an unknown service."""
    born, seq = int(time.time() * 1000), 0
    while True:
        seq += 1
        status = await http.call(
            (side.ip, it.ports["control"]), "PUT", f"/api/instances/w-{side.name}",
            {"service": "not-named", "addr": f"{side.ip}:9", "zone": side.zone,
             "version": "v1", "slots": 1, "state": "ready", "warmup_ms": 0,
             "seq": seq, "born": born}, source=side.ip)
        it.record("other writer on", side.name, f"seq {seq}", f"answer {status}")
        await asyncio.sleep(HEARTBEAT_MS / 1000)


async def case(it, trouble):
    await it.start()
    await it.wait_until_ready()
    flows = [flow for flow in await asyncio.gather(
        *(it.open_flow() for _ in range(40))) if flow is not None]
    served, asked = await it.measure(3.0, 20)
    before = served / asked

    if trouble:
        it.put_config(9)
        for node in it.edges + it.sides:
            node.kill()
        await asyncio.sleep(0.5)
        it.bootstrap = False
        for node in it.edges + it.sides:
            node.start()
        it.tasks += [asyncio.create_task(write_odd_heartbeats(it, side))
                     for side in it.sides]
    back_at = time.monotonic()
    await asyncio.sleep(8)
    outcomes = await asyncio.gather(
        *(flow.request(n + 1) for n, flow in enumerate(flows)))
    it.record("on flows that were open before:",
              {o: outcomes.count(o) for o in sorted(set(outcomes))})
    await asyncio.sleep(max(back_at + RECOVERY_S - time.monotonic(), 0))
    served, asked = await it.measure(10.0, 20)
    it.record(f"share served: {before:.2f} before, {served / asked:.2f} later than"
              f" {RECOVERY_S} s after the machines are back;"
              f" resets that break FLOW: {len(it.resets)}")
    return before >= MIN_SHARE and served / asked < MIN_SHARE


play(HERE, case)
