"""Raises the idle time-out, and uses flows again after a pause within it."""

import asyncio
import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "common"))

from client import ClientFlow  # noqa: E402
from deployment import Deployment, make_config, run_case  # noqa: E402
from packets import to_int  # noqa: E402

FLOWS = 8
PAUSE_S = 38
# Stands in the heads of packets only; no socket uses it.
ROUTE = ("127.0.0.3", 8443, "booking")
IDLE_BEFORE_MS, IDLE_AFTER_MS = 15_000, 50_000
PROPAGATION_S, FLOW_TTL_S = 3, 60


def config(version, idle_timeout_ms):
    return make_config(version, [ROUTE], ["booking"], idle_timeout_ms)


async def use(flow, n, pause_s, outcomes):
    if not await flow.open():
        return
    outcomes.append(await flow.request(f"{n}-first"))
    await asyncio.sleep(pause_s)
    flow.idle_s = time.monotonic() - flow.last_packet_at
    flow.age_s = time.monotonic() - flow.opened_at
    outcomes.append(await flow.request(f"{n}-second"))
    flow.close()


async def play(record, trouble):
    system = Deployment(record, 2, [("booking", 3)])
    try:
        await system.start(config(3, IDLE_BEFORE_MS))
        idle_ms = IDLE_BEFORE_MS
        if trouble:
            idle_ms = IDLE_AFTER_MS
            system.store.put("config", "main", config(8, idle_ms))
        await asyncio.sleep(2 * PROPAGATION_S)
        route = (to_int(ROUTE[0]), ROUTE[1])
        outcomes, tasks = [], []
        for n in range(FLOWS):
            tasks.append(asyncio.ensure_future(use(
                make_flow(system, route), n, PAUSE_S, outcomes)))
            tasks.append(asyncio.ensure_future(use(
                make_flow(system, route), f"short-{n}", 8, outcomes)))
            await asyncio.sleep(0.1)
        await asyncio.gather(*tasks)
        record(f"outcomes: {outcomes}")
        return any([is_broken(it, idle_ms, record) for it in system.resets])
    finally:
        system.end()


def make_flow(system, route):
    return ClientFlow(system.client, route)


def is_broken(reset, idle_ms, record):
    _, flow, holder, _ = reset
    idle_s, age_s = getattr(flow, "idle_s", 0), getattr(flow, "age_s", 0)
    counts = holder is not None and idle_s * 1000 <= idle_ms and \
        age_s <= FLOW_TTL_S
    record(f"{'FLOW' if counts else 'not counted:'} reset of port {flow.port}, "
           f"idle {idle_s:.1f} s of {idle_ms / 1000:.0f} s, age {age_s:.1f} s,"
           f" open at {holder}")
    return counts


run_case(os.path.join(HERE, "record.txt"), play)
