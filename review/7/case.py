"""The last edge machine is stopped and started while the configuration changes."""

import asyncio
import pathlib
import signal
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "common-2"))

from deployment import play

DOWN_S = 2


async def stop_and_start(it, node):
    """Stops a machine's process in planned work and starts it again later."""
    begun = time.monotonic()
    node.kill(signal.SIGTERM)
    while node.process.poll() is None:
        await asyncio.sleep(0.02)
    it.record(node.name, f"ended {time.monotonic() - begun:.1f} s after SIGTERM")
    await asyncio.sleep(DOWN_S)
    node.start()
    it.record(node.name, f"starts {time.monotonic() - begun:.1f} s after SIGTERM")


async def case(it, trouble):
    await it.start()
    await it.wait_until_ready()

    # Five of the six edge machines are lost for good.
    it.bootstrap = False
    for node in it.edges[1:]:
        node.kill()
        node.process = None
    del it.edges[1:]
    await asyncio.sleep(6)
    flows = [flow for flow in await asyncio.gather(
        *(it.open_flow() for _ in range(60))) if flow is not None]
    opened_at = time.monotonic()
    it.record("opened", len(flows), "flows")

    # Planned work: the configuration changes, and the last one is restarted.
    it.put_config(9)
    it.planned = list(it.edges)
    work = (stop_and_start(it, it.edges[0]) if trouble
            else asyncio.sleep(5.3 + DOWN_S))
    await asyncio.gather(work, it.measure(6.0, 10))
    await asyncio.sleep(4.3)
    it.record("idle", f"for {time.monotonic() - opened_at:.1f} s")
    outcomes = await asyncio.gather(
        *(flow.request(n + 1) for n, flow in enumerate(flows)))
    it.record("on the open flows",
              {o: outcomes.count(o) for o in sorted(set(outcomes))})
    await it.measure(2.0, 20)
    return bool(it.resets)


play(HERE, case)
