"""All processes are killed between the first two heartbeats of a new server."""

import asyncio
import pathlib
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "common-2"))

from deployment import HEARTBEAT_MS, play

IDLE_S = 6.5


async def case(it, trouble):
    await it.start(servers=9)
    await it.wait_until_ready()

    # Planned work: an empty server is added. Its heartbeats count from 0.
    added = await it.start_server(it.sides[9])
    added_at = time.monotonic()
    await asyncio.sleep(0.05)
    opened = await asyncio.gather(*(it.open_flow() for _ in range(60)))
    flows = [flow for flow in opened if flow is not None]
    at_added = [flow for flow in flows if added.holds(flow.key)]
    it.record("opened", f"{len(flows)} flows, {len(at_added)} at the added server")

    if trouble:
        # The disruption: all processes are killed at the same moment.
        for node in it.edges + it.sides:
            node.kill()
        await asyncio.sleep(0.3)
        it.bootstrap = False
        for node in it.edges + it.sides:
            node.start()
    restarted_after = time.monotonic() - added_at
    it.record("restarted", f"{restarted_after * 1000:.0f} ms after the server's "
              f"start, heartbeats every {HEARTBEAT_MS} ms")

    await asyncio.sleep(IDLE_S)
    outcomes = await asyncio.gather(
        *(flow.request(n + 1) for n, flow in enumerate(flows)))
    for where, some in (("the added server", at_added),
                        ("the other servers",
                         [flow for flow in flows if flow not in at_added])):
        results = [outcomes[flows.index(flow)] for flow in some]
        it.record("on flows at", where, {o: results.count(o) for o in set(results)})
    return bool(it.resets)


play(HERE, case, edges=6, sides=10, first_seq=0)
