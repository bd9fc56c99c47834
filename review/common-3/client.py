"""Stand-ins for the platform's routers and for clients."""

import asyncio
import random
import time
import zlib

import httpio
import packets
from packets import ACK, FIN, RST, SYN, Packet

SYN_COPIES_S = (0.2, 0.6)
SYN_END_S = 1.4
RETRY_S = 0.2
MAX_RETRY_S = 1.6
PROBE_S = 0.5


class Router:
    """Chooses a node in rotation of the zone by a hash of the four numbers."""

    def __init__(self, edges, record):
        self.edges = edges
        self.record = record
        self.misses = {it.name: 2 for it in edges}
        self.tasks = []

    def start(self):
        self.tasks = [asyncio.create_task(self._probe(it))
                      for it in self.edges]

    async def _probe(self, edge):
        while True:
            begin = time.monotonic()
            status, _ = await httpio.call(edge.ready, "GET", "/api/readyz",
                                          timeout=PROBE_S)
            before = self.misses[edge.name]
            self.misses[edge.name] = 0 if status == 200 else before + 1
            if (before < 2) != (self.misses[edge.name] < 2):
                way = "in" if status == 200 else "out of"
                self.record(f"router: {edge.name} is {way} rotation")
            await asyncio.sleep(max(0, begin + PROBE_S - time.monotonic()))

    def in_rotation(self, zone):
        nodes = [it for it in self.edges if it.zone == zone]
        ready = [it for it in nodes if self.misses[it.name] < 2]
        return nodes if 2 * len(ready) < len(nodes) else ready

    def choose(self, zone, src, dst):
        nodes = self.in_rotation(zone)
        return nodes[zlib.crc32(f"{src} {dst}".encode()) % len(nodes)]


class Flow:
    """A flow of a client, from its opening on."""

    def __init__(self, client, port, dst):
        self.client = client
        self.key = ((client.address, port), dst)
        self.isn = random.getrandbits(32)
        self.send_next = packets.after(self.isn, 1)
        self.receive_next = 0
        self.state = "opening"  # then open, closed, reset, failed
        self.changed = asyncio.Event()
        self.received = b""
        self.unacked = []
        self.peer_fin = False
        self.retry_at = 0.0
        self.retries = 0
        self.reset_by = None
        self.reset_from = None
        self.reset_at = 0.0
        self.opened_at = 0.0
        self.sent_via = []  # (time, name of the node) of all packets

    # Sending ---------------------------------------------------------------

    def send(self, packet, note=""):
        edge = self.client.router.choose(self.client.zone, *self.key)
        self.sent_via.append((time.monotonic(), edge.name))
        self.client.record(
            f"client {self.key[0][0]}:{self.key[0][1]} sends {note} "
            f"to {edge.name}")
        self.client.transport.sendto(packets.encode(packet), edge.data)

    async def open(self):
        """Opens the flow. Returns whether it is open."""
        for copy, wait in enumerate((SYN_COPIES_S[0],
                                     SYN_COPIES_S[1] - SYN_COPIES_S[0],
                                     SYN_END_S - SYN_COPIES_S[1])):
            self.send(Packet(SYN, self.isn, copy, *self.key),
                      f"SYN {self.isn:08x} copy {copy}")
            if await self._wait(wait, lambda: self.state != "opening"):
                return self.state == "open"
        self.state = "failed"
        return False

    async def _wait(self, time_s, is_done):
        end = time.monotonic() + time_s
        while not is_done():
            left = end - time.monotonic()
            if left <= 0:
                return False
            self.changed.clear()
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                return is_done()
        return True

    async def request(self, method="GET", closes=False, deadline_s=5.0):
        """Sends a request. Returns what came of it: '200', or why not."""
        number = f"r-{random.getrandbits(48):012x}"
        close = "Connection: close\r\n" if closes else ""
        text = (f"{method} /work HTTP/1.1\r\n"
                f"X-Hawthornbank-Request-Id: {number}\r\n{close}"
                "Content-Length: 0\r\n\r\n").encode()
        self.received = b""
        self._send_reliably(Packet(ACK, self.send_next, self.receive_next,
                                   *self.key, text), len(text), number)
        end = time.monotonic() + deadline_s
        while not self._has_answer(number):
            left = end - time.monotonic()
            if self.state != "open":
                result = self.state
                break
            if left <= 0:
                result = "deadline"
                break
            wait = min(left, max(0.001, self.retry_at - time.monotonic()))
            await self._wait(wait, lambda: self._has_answer(number)
                             or self.state != "open")
            self._retry_if_due(number)
        else:
            result = "200"
        self.client.record(f"client {self.key[0][0]}:{self.key[0][1]} "
                           f"request {number}: {result}")
        if closes and result == "200":
            await self._wait(1.0, lambda: self.peer_fin)
            await self.close()
        return number, result

    def _has_answer(self, number):
        return f"answer to {number}".encode() in self.received

    async def close(self):
        """Ends the flow: with a FIN, again until it is acknowledged."""
        if self.state != "open":
            return
        self._send_reliably(Packet(FIN | ACK, self.send_next,
                                   self.receive_next, *self.key), 1, "FIN")
        end = time.monotonic() + 2
        while self.unacked and time.monotonic() < end:
            await self._wait(max(0.001, self.retry_at - time.monotonic()),
                             lambda: not self.unacked)
            self._retry_if_due("FIN")
        self.state = "closed"

    def _send_reliably(self, packet, size, note):
        self.send_next = packets.after(self.send_next, size)
        self.unacked.append((self.send_next, packet, note))
        self.retries = 0
        self.retry_at = time.monotonic() + RETRY_S
        self.send(packet, note)

    def _retry_if_due(self, note):
        if not self.unacked or time.monotonic() < self.retry_at:
            return
        self.retries += 1
        self.retry_at = time.monotonic() + min(RETRY_S * 2 ** self.retries,
                                               MAX_RETRY_S)
        for _, packet, what in self.unacked:
            self.send(packet, f"{what} again ({self.retries})")

    # Receiving -------------------------------------------------------------

    def on_packet(self, packet, sender):
        if packet.has(RST):
            self._on_reset(packet, sender)
        elif packet.has(SYN):
            if self.state == "opening":
                self.receive_next = packets.after(packet.seq, 1)
                self.state = "open"
                self.opened_at = time.monotonic()
            if self.receive_next == packets.after(packet.seq, 1):
                self.send(Packet(ACK, self.send_next, self.receive_next,
                                 *self.key), "ACK")
        elif self.state in ("open", "closed"):
            self._on_data(packet)
        self.changed.set()

    def _on_reset(self, packet, sender):
        is_valid = (self.state == "opening" or abs(packets.distance(
            packet.seq, self.receive_next)) <= packets.RESET_WINDOW)
        who = ("the system" if packets.is_system_reset(packet)
               else "the server")
        self.client.record(
            f"client {self.key[0][0]}:{self.key[0][1]} gets a reset of {who}, "
            f"sent by {sender}{'' if is_valid else ' that its flow ignores'}")
        if is_valid and self.state in ("opening", "open"):
            self.reset_by = who
            self.reset_from = sender
            self.reset_at = time.monotonic()
            self.state = "reset"

    def _on_data(self, packet):
        if packet.has(ACK):
            self.unacked = [it for it in self.unacked
                            if packets.distance(packet.ack, it[0]) < 0]
        size = len(packet.data) + (1 if packet.has(FIN) else 0)
        if not size:
            return
        if packet.seq == self.receive_next:
            self.receive_next = packets.after(self.receive_next, size)
            self.received += packet.data
            self.peer_fin = self.peer_fin or packet.has(FIN)
        self.send(Packet(ACK, self.send_next, self.receive_next, *self.key),
                  "ACK")


class Client(asyncio.DatagramProtocol):
    """All flows of one client address."""

    def __init__(self, address, data_port, zone, router, record):
        self.address = address
        self.data_port = data_port
        self.zone = zone
        self.router = router
        self.record = record
        self.flows = {}
        self.transport = None

    async def start(self):
        await asyncio.get_running_loop().create_datagram_endpoint(
            lambda: self, local_addr=(self.address, self.data_port))

    def connection_made(self, transport):
        self.transport = transport

    def new_flow(self, port, dst):
        flow = Flow(self, port, dst)
        self.flows[flow.key] = flow
        return flow

    def datagram_received(self, raw, peer):
        packet = packets.decode(raw)
        if packet is None:
            return
        if not packets.is_sound(packet) and not packets.is_system_reset(packet):
            self.record(f"MIXED: client {self.address} got a packet that its "
                        f"sender didn't write so: {packet}")
            return
        flow = self.flows.get((packet.dst, packet.src))
        if flow is not None:
            flow.on_packet(packet, peer[0])
