"""An edge machine freezes for 4 s with packets of flows that end meanwhile.
Their clients open new flows from the same ports. Are these left whole?"""

import asyncio
import time

import deployment as d

SERVICE = "plan-core"
ROUTE = ("127.18.0.1", 8443)
FREEZE_S = 4.0  # the largest dose of node_freeze on tezontle-l4
STABLE_S = 4.0  # stable_window_ms
AGE_S = 62.0  # longer than flow_ttl_s
CLIENTS = 6


def find_port(router, client, edge):
    """A port whose flows the routers hand to this machine."""
    return next(port for port in range(40000, 50000) if router.choose(
        client.zone, (client.address, port), ROUTE) is edge)


async def run_client(client, port, trouble, frozen, woken, breaks, system):
    first = client.new_flow(port, ROUTE)
    if not await first.open():
        raise RuntimeError("the first flow doesn't open")
    await trouble()
    await frozen.wait()
    _, result = await first.request(closes=True)
    client.record(f"first flow of port {port}: {result}, {first.state}")
    second = client.new_flow(port, ROUTE)
    if not await second.open():
        raise RuntimeError("the second flow doesn't open")
    _, result = await second.request("POST")
    if result != "200":
        raise RuntimeError(f"the second flow's first request: {result}")
    # The client pauses until all machines are in touch again.
    await woken.wait()
    await asyncio.sleep(STABLE_S + 0.5)
    asked_at = time.monotonic()
    _, result = await second.request("POST")
    holder = next((it for it in system.servers
                   if it.holds(second.key, second.isn)), None)
    client.record(f"second flow of port {port}: {result}, held by "
                  f"{holder.name if holder else None}")
    if (second.reset_by == "the system" and second.reset_at >= asked_at
            and holder is not None):
        names = {it.ip: it.name for it in system.machines}
        breaks.append(f"FLOW: client {client.address}:{port} gets a reset of "
                      f"{names.get(second.reset_from)} on a flow that is open "
                      f"at {holder.name}; request: {result}")


async def play(system):
    for zone in ("qro-a", "gto-b"):
        for _ in range(2):
            system.add_machine("edge", zone)
            system.add_machine("side", zone, SERVICE)
    began = time.monotonic()
    await system.start(d.make_config(7, [
        d.make_route("r-1", *ROUTE, SERVICE, kind="non_idempotent")]))
    edge = next(it for it in system.edges() if it.zone == "qro-a")
    clients = [await system.add_client("qro-a") for _ in range(CLIENTS)]
    await asyncio.sleep(max(0, began + AGE_S - time.monotonic()))

    frozen, woken, breaks = asyncio.Event(), asyncio.Event(), []
    opened = []

    async def trouble():
        opened.append(1)
        if len(opened) < CLIENTS:
            return
        await asyncio.sleep(0.3)
        if d.has_trouble():
            edge.freeze()
        frozen.set()
        await asyncio.sleep(0)
        asyncio.create_task(wake())

    async def wake():
        await asyncio.sleep(FREEZE_S)
        if d.has_trouble():
            edge.wake()
        woken.set()

    await asyncio.gather(*(
        run_client(it, find_port(system.router, it, edge), trouble, frozen,
                   woken, breaks, system) for it in clients))
    return breaks


d.run(__file__, "FLOW: a frozen edge machine and ports used again", play)
