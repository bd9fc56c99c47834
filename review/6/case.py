"""All edge machines are replaced in planned work; the seeds follow in time."""

import asyncio
import pathlib
import signal
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "common-2"))

from deployment import play

SEED_LAG_S = 3
GAP_S = 1.0


async def change_seeds(it, lag_s):
    """Rewrites the settings of the side machines, the last one after `lag_s`."""
    begun = time.monotonic()
    for n, node in enumerate(it.sides):
        due = begun + lag_s * (0.7 + 0.3 * (n + 1) / len(it.sides))
        await asyncio.sleep(max(due - time.monotonic(), 0))
        node.write_settings()
        it.record("settings of", node.name, "name the new seeds",
                  f"{time.monotonic() - begun:.2f} s after the new machines started")


async def replace_edges(it):
    """Stops the edge machines in turn for good, then adds others."""
    leaving = it.edges
    for node in leaving:
        node.kill(signal.SIGTERM)
        await asyncio.sleep(GAP_S)
    while any(node.process.poll() is None for node in leaving):
        await asyncio.sleep(0.02)
    for node in leaving:
        node.process = None
    it.record("removed", len(leaving), "edge machines")
    it.edges, it.spare_edges = it.spare_edges, []
    it.bootstrap = False
    it.planned = leaving + it.edges
    it.seeds = [node.ip for node in it.edges[:3]]
    for node in it.edges:
        node.start()


async def case(it, trouble):
    await it.start()
    await it.wait_until_ready()
    flows = [flow for flow in await asyncio.gather(
        *(it.open_flow() for _ in range(60))) if flow is not None]
    last_request_at = time.monotonic()
    it.record("opened", len(flows), "flows")

    if trouble:
        await replace_edges(it)
    else:
        await asyncio.sleep(GAP_S * len(it.edges) + 0.2)
    started_at = time.monotonic()
    if trouble:
        it.tasks.append(asyncio.create_task(change_seeds(it, SEED_LAG_S - 0.05)))
    # The flows' next requests come one after the other.
    await asyncio.sleep(max(started_at + SEED_LAG_S + 0.02 - time.monotonic(), 0))
    it.record("idle", f"for {time.monotonic() - last_request_at:.1f} s")
    asked = []
    for n, flow in enumerate(flows):
        asked.append(asyncio.create_task(flow.request(n + 1)))
        await asyncio.sleep(0.01)
    outcomes = await asyncio.gather(*asked)
    it.record("on the open flows",
              {o: outcomes.count(o) for o in sorted(set(outcomes))})
    await it.measure(1.0, 20)
    return bool(it.resets)


play(HERE, case)
