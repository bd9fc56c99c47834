"""Steps a machine's clock back while its server flaps, then drains the server."""

import asyncio
import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "common"))

from client import ClientFlow  # noqa: E402
from deployment import CannotRun, Deployment, make_config, run_case  # noqa: E402
from packets import to_int  # noqa: E402

# Stands in the heads of packets only; no socket uses it.
ROUTE = ("127.0.0.3", 8443, "booking")
STEP_S, STEP_FOR_S = 2.4, 6.0
FLAP_GAP_S = 1.2
STABLE_WINDOW_S, DRAIN_S = 4.0, 3.0
WORK_S, LEAVE_AFTER_S = 0.25, 6.0


async def use_flows(system, seconds, outcomes):
    """Opens a flow for each request, for some seconds."""
    route, until, n = (to_int(ROUTE[0]), ROUTE[1]), time.monotonic() + seconds, 0

    async def use(name):
        flow = ClientFlow(system.client, route)
        if await flow.open():
            outcomes[name] = await flow.request(name)
            flow.close()

    tasks = []
    while time.monotonic() < until:
        n += 1
        tasks.append(asyncio.ensure_future(use(f"r{n}")))
        await asyncio.sleep(0.08)
    await asyncio.gather(*tasks)


async def flap(server, trouble, record):
    """The server goes down and up twice, FLAP_GAP_S apart."""
    server.crash()
    await asyncio.sleep(FLAP_GAP_S / 2)
    server.start("i-1-2")
    await asyncio.sleep(FLAP_GAP_S / 2)
    if trouble:
        server.clock_offset_s = -STEP_S
        record(f"the time of day of {server.name}'s machine steps back by "
               f"{STEP_S} s")
    server.crash()
    await asyncio.sleep(FLAP_GAP_S / 2)
    server.start("i-1-3")


async def play(record, trouble):
    system = Deployment(record, 2, [("booking", 3)])
    try:
        await system.start(make_config(3, [ROUTE], ["booking"]))
        server, outcomes = system.servers[0], {}
        await flap(server, trouble, record)
        await asyncio.sleep(STEP_FOR_S)
        if trouble:
            server.clock_offset_s = 0.0
            record(f"the time of day of {server.name}'s machine is right "
                   f"again; the server keeps its `born`")
        await asyncio.sleep(STABLE_WINDOW_S + 2)
        for it in system.servers:
            it.work_s = WORK_S
        traffic = asyncio.ensure_future(use_flows(system, 14, outcomes))
        await asyncio.sleep(2)
        server.state = "draining"
        record(f"server {server.name} begins to drain")
        await asyncio.sleep(LEAVE_AFTER_S)
        if server.drain_acknowledged_at is None:
            raise CannotRun("the server has no acknowledgement of its drain")
        await server.leave()
        await traffic
        record_outcomes(server, outcomes, record)
        return judge(server, record)
    finally:
        system.end()


def record_outcomes(server, outcomes, record):
    ran_here = {request for _, request in server.runs}
    lost = [name for name, outcome in outcomes.items()
            if outcome != "ok" and name in ran_here]
    values = list(outcomes.values())
    record(f"outcomes: {({it: values.count(it) for it in sorted(set(values))})}"
           f"; run by {server.name} and never answered: {lost}")


def judge(server, record):
    acknowledged_at = server.drain_acknowledged_at
    late = [at - acknowledged_at for at, _ in server.openings
            if at > acknowledged_at + DRAIN_S]
    early = sum(acknowledged_at < at <= acknowledged_at + DRAIN_S
                for at, _ in server.openings)
    record(f"openings at {server.name} after the acknowledgement: {early} in "
           f"the first {DRAIN_S} s, {len(late)} later")
    if late:
        record(f"DRAIN an opening reaches {server.name} {late[-1]:.1f} s after "
               f"the acknowledgement")
    return bool(late)


run_case(os.path.join(HERE, "record.txt"), play)
