"""Stand-in for a client and for the platform's routers."""

import asyncio
import random
import socket
import time
import zlib

import packets
from httpio import call
from packets import ACK, FIN, RST, SYN, Packet
from server import describe, find_header, sign

COPIES_S = [0.2, 0.6]
OPENING_ENDS_S = 1.4
MAX_SEQ = 0xFFFFFFFF


class Routers:
    """Spreads packets over the nodes in rotation by a hash of the flow."""

    def __init__(self, record, nodes, ports):
        self.record, self.nodes, self.ports = record, nodes, ports
        self.misses = {it: 2 for it in nodes}
        self.task = asyncio.ensure_future(self._probe())

    async def _probe(self):
        while True:
            for it in self.nodes:
                asyncio.ensure_future(self._probe_node(it))
            await asyncio.sleep(0.5)

    async def _probe_node(self, node):
        status = await call(node, self.ports["ready"], "GET", "/api/readyz",
                            timeout=0.45)
        before = self.misses[node]
        self.misses[node] = 0 if status == 200 else before + 1
        if (before < 2) != (self.misses[node] < 2):
            self.record(f"routers take node {node} "
                        f"{'into' if before >= 2 else 'out of'} rotation")

    def ready_nodes(self):
        return [it for it in self.nodes if self.misses[it] < 2]

    def select(self, key):
        ready = self.ready_nodes()
        if 2 * len(ready) < len(self.nodes):
            ready = self.nodes
        return ready[zlib.crc32(repr(key).encode()) % len(ready)]


class ClientFlow:
    """One flow of the client, from its own port."""

    def __init__(self, client, route):
        self.client, self.route = client, route
        self.port = client.next_port()
        self.key = (client.int_address, self.port, route[0], route[1])
        self.seq = random.getrandbits(32)
        self.next_to_send = packets.add(self.seq, 1)
        self.next_expected = None
        self.last_ack = None
        self.state = "opening"
        self.last_packet_at = time.monotonic()
        self.opened_at = None
        self.answer = None
        self.is_acked = False
        self.event = asyncio.Event()
        client.flows[self.key] = self

    def _send(self, flags, seq, ack, data=b""):
        self.last_packet_at = time.monotonic()
        self.client.send(self.key, Packet(flags, seq, ack, self.route[1],
                                          self.port, self.route[0],
                                          self.client.int_address, data))

    async def open(self):
        """Sends the opening and its copies. Returns whether the flow opened."""
        started = time.monotonic()
        self.client.record(f"client opens {describe(self.key)}")
        self._send(SYN, self.seq, 0)
        for copy, at in enumerate(COPIES_S + [OPENING_ENDS_S], 1):
            await self._wait(started + at)
            if self.state != "opening":
                break
            if at < OPENING_ENDS_S:
                self._send(SYN, self.seq, copy)
        if self.state == "opening":
            self.state = "failed"
        if self.state != "open":
            self.client.record(f"client: {describe(self.key)} doesn't open: "
                               f"{self.state}")
        return self.state == "open"

    async def _wait(self, until):
        self.event.clear()
        try:
            await asyncio.wait_for(self.event.wait(),
                                   max(until - time.monotonic(), 0))
        except asyncio.TimeoutError:
            pass

    async def request(self, request, deadline_s=1.5):
        """Sends a request. Returns ok, reset, deadline or ended."""
        if self.state != "open":
            return self.state
        data = (f"POST / HTTP/1.1\r\nHost: x\r\nX-Hawthornbank-Request-Id: "
                f"{request}\r\nContent-Length: 0\r\n\r\n").encode()
        self.client.record(f"client sends {request} on {describe(self.key)}")
        seq, self.answer, self.is_acked = self.next_to_send, None, False
        self.next_to_send = packets.add(seq, len(data))
        deadline, pause = time.monotonic() + deadline_s, 0.2
        while self.state == "open" and self.answer is None and \
                time.monotonic() < deadline:
            if not self.is_acked:
                self._send(ACK, seq, self.next_expected, data)
            await self._wait(min(time.monotonic() + pause, deadline))
            pause = min(pause * 2, 1.6)
        if self.answer is not None:
            return self._check_answer(request)
        outcome = "deadline" if self.state == "open" else self.state
        self.client.record(f"client: {request} ends: {outcome}")
        return outcome

    def _check_answer(self, request):
        body = self.answer.partition(b"\r\n\r\n")[2]
        signature = find_header(self.answer,
                                "X-Hawthornbank-Response-Signature")
        if body != f"answer to {request}".encode() or signature != sign(body):
            self.client.record(f"MIXED client: {request} is answered with "
                               f"{self.answer!r}")
            return "mixed"
        self.client.record(f"client: {request} is answered")
        return "ok"

    def close(self):
        if self.state == "open":
            self._send(FIN | ACK, self.next_to_send, self.next_expected)
            self.state = "closed"

    def on_packet(self, packet):
        self.last_packet_at = time.monotonic()
        if packets.is_reset_of_system(packet):
            self._on_reset_of_system(packet)
        elif packets.compute_sum(packet) != packet.sum:
            self.client.record(f"MIXED client: {describe(self.key)} gets a "
                               f"packet that its sender didn't write so")
        elif packet.has(RST):
            self.client.record(f"client: {describe(self.key)} is reset by its "
                               f"server")
            self.state = "reset by server"
        elif packet.has(SYN):
            if self.state == "opening":
                self.state, self.opened_at = "open", time.monotonic()
                self.next_expected = packets.add(packet.seq, 1)
                self._send(ACK, self.next_to_send, self.next_expected)
        elif self.state == "open":
            self._on_data(packet)
        self.event.set()

    def _on_data(self, packet):
        if packet.has(ACK) and packet.ack == self.next_to_send:
            self.is_acked = True
        if packet.data and packet.seq == self.next_expected:
            self.next_expected = packets.add(packet.seq, len(packet.data))
            self.answer = packet.data
        if packet.data or packet.has(FIN):
            self._send(ACK, self.next_to_send, self.next_expected)
        if packet.has(FIN):
            self.close()

    def _on_reset_of_system(self, packet):
        distance = 0 if self.next_expected is None else \
            (packet.seq - self.next_expected) & MAX_SEQ
        fits = min(distance, MAX_SEQ + 1 - distance) <= packets.MAX_LEAD
        self.client.on_reset(self, fits)
        if self.state == "opening" or fits:
            self.state = "reset"


class Client:
    """All flows of one client address."""

    def __init__(self, record, address, data_port, routers, on_reset):
        self.record, self.address = record, address
        self.int_address = packets.to_int(address)
        self.data_port, self.routers = data_port, routers
        self.on_reset = on_reset
        self.flows = {}
        self.port = 20_000
        self.socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.socket.setblocking(False)
        self.socket.bind((address, data_port))
        asyncio.get_running_loop().add_reader(self.socket, self._on_readable)

    def next_port(self):
        self.port += 1
        return self.port

    def send(self, key, packet):
        self.socket.sendto(packets.encode_with_sum(packet),
                           (self.routers.select(key), self.data_port))

    def _on_readable(self):
        while True:
            try:
                packet = packets.decode(self.socket.recv(65536))
            except BlockingIOError:
                return
            if packet is None:
                self.record("MIXED client gets bytes that are no packet")
                continue
            flow = self.flows.get((packet.dst, packet.dport, packet.src,
                                   packet.sport))
            if flow is not None:
                flow.on_packet(packet)
