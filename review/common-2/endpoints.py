"""Clients and servers: the two ends of flows."""

import asyncio
import random
import struct
import time

import http_calls as http
from packets import (ACK, FIN, RST, SYN, Packet, compute_sum, decode, encode,
                     is_system_reset, mark_bounced)

MAX_LEAD = 76_800
RETRANSMISSIONS_S = (0.2, 0.4, 0.8, 1.6, 1.6, 1.6, 1.6, 1.6)
REQUEST = struct.Struct(">Q")


class Datagrams(asyncio.DatagramProtocol):
    def __init__(self, on_datagram):
        self.on_datagram = on_datagram

    def datagram_received(self, data, addr):
        self.on_datagram(data)

    def error_received(self, exc):
        pass


async def open_udp(host, port, on_datagram):
    loop = asyncio.get_running_loop()
    transport, _ = await loop.create_datagram_endpoint(
        lambda: Datagrams(on_datagram), local_addr=(host, port))
    return transport


class ServerFlow:
    def __init__(self, isn):
        self.isn = isn
        self.sent = isn + 1
        self.client_next = None
        self.opened_at = None
        self.last_at = time.monotonic()
        self.answers = {}  # number of a request's first byte -> its answer


class Server:
    """A server of a service on a `side` machine.

    It accepts each SYN with a number of its own, opens the flow that the
    client acknowledges, runs each request once and returns packets of flows
    that it doesn't hold.
    """

    def __init__(self, record, host, ports, service, zone, instance,
                 heartbeat_s, first_seq, work_s=0.02):
        self.record = record
        self.host, self.ports = host, ports
        self.service, self.zone, self.instance = service, zone, instance
        self.heartbeat_s, self.seq, self.work_s = heartbeat_s, first_seq, work_s
        self.born = int(time.time() * 1000)
        self.flows = {}
        self.runs = {}
        self.arrivals = []  # packets after openings: (time, key, is_held)
        self.forged = 0
        self.tasks = []
        self.acknowledged = 0

    async def start(self):
        self.socket = await open_udp(self.host, self.ports["app"], self.on_packet)
        self.record("server", self.instance, "starts", self.service)
        self.tasks.append(asyncio.create_task(self.send_heartbeats()))

    async def send_heartbeats(self):
        due = time.monotonic()
        while True:
            seq, self.seq = self.seq, self.seq + 1
            status = await http.call(
                (self.host, self.ports["control"]), "PUT",
                f"/api/instances/{self.instance}",
                {"service": self.service,
                 "addr": f"{self.host}:{self.ports['app']}", "zone": self.zone,
                 "version": "v1", "slots": 3, "state": "ready", "warmup_ms": 0,
                 "seq": seq, "born": self.born})
            self.acknowledged += status == 200
            self.record("beat", self.instance, f"seq {seq}", f"answer {status}")
            due += self.heartbeat_s
            await asyncio.sleep(max(due - time.monotonic(), 0.05))

    def holds(self, key):
        flow = self.flows.get(key)
        return flow is not None and flow.opened_at is not None

    def send(self, key, flow, flags, seq, data=b""):
        src, sport, dst, dport = key
        packet = Packet(flags=flags | ACK, seq=seq, ack=flow.client_next,
                        src=dst, sport=dport, dst=src, dport=sport, data=data)
        self.socket.sendto(encode(packet), (self.host, self.ports["outbound"]))

    def on_packet(self, raw):
        packet = decode(raw)
        if packet is None or compute_sum(packet) != packet.sum:
            self.forged += 1
            self.record("server", self.instance, "gets a packet that nobody wrote so")
            return
        key = (packet.src, packet.sport, packet.dst, packet.dport)
        flow = self.flows.get(key)
        if packet.flags & SYN:
            if flow is None:
                flow = self.flows[key] = ServerFlow(random.getrandbits(32))
                flow.client_next = packet.seq + 1 & 0xFFFFFFFF
            self.send(key, flow, SYN, flow.isn)
            return
        lead = (packet.ack - flow.isn) & 0xFFFFFFFF if flow else None
        is_held = flow is not None and 1 <= lead <= MAX_LEAD
        self.arrivals.append((time.monotonic(), key, is_held))
        if not is_held:
            self.record("server", self.instance, "returns a packet of", key)
            self.socket.sendto(mark_bounced(raw),
                               (self.host, self.ports["outbound"]))
            return
        if flow.opened_at is None:
            flow.opened_at = time.monotonic()
            self.record("server", self.instance, "has open flow", key)
        flow.last_at = time.monotonic()
        if packet.flags & (RST | FIN):
            if packet.flags & FIN:
                flow.client_next = packet.seq + 1 & 0xFFFFFFFF
                self.send(key, flow, FIN, flow.sent)
            del self.flows[key]
            return
        if packet.data:
            self.on_request(key, flow, packet)

    def on_request(self, key, flow, packet):
        answer = flow.answers.get(packet.seq)
        if answer is not None:  # a copy: the answer is sent again when it is ready
            if answer:
                self.send(key, flow, 0, *answer)
            return
        if packet.seq != flow.client_next:
            return
        flow.client_next = packet.seq + len(packet.data) & 0xFFFFFFFF
        flow.answers[packet.seq] = ()
        request = REQUEST.unpack_from(packet.data)[0]
        self.runs[request] = self.runs.get(request, 0) + 1
        self.record("server", self.instance, "runs request", request, "of", key)
        asyncio.get_running_loop().call_later(
            self.work_s, self.answer, key, flow, packet)

    def answer(self, key, flow, packet):
        if self.flows.get(key) is not flow:
            return
        flow.answers[packet.seq] = (flow.sent, packet.data)
        self.send(key, flow, 0, flow.sent, packet.data)
        flow.sent = flow.sent + len(packet.data) & 0xFFFFFFFF

    def crash(self):
        """Ends without a word; its machine and its agent stay up."""
        self.record("server", self.instance, "crashes")
        self.flows.clear()
        self.stop()

    def stop(self):
        for task in self.tasks:
            task.cancel()
        self.socket.close()


class ClientFlow:
    """A flow of a client, from the client's end."""

    def __init__(self, client, port, route):
        self.client, self.port, self.route = client, port, route
        self.key = (client.host, port, *route)
        self.isn = random.getrandbits(32)
        self.next = self.isn + 1 & 0xFFFFFFFF
        self.server_next = None
        self.state = "opening"
        self.reset_by_system_at = None
        self.changed = asyncio.Event()
        self.answers = {}
        self.sent_data_at = []

    def send(self, flags, seq, data=b"", ack=None):
        src, sport, dst, dport = self.key
        number = self.server_next if ack is None else ack
        self.client.send(Packet(flags=flags, seq=seq, ack=number or 0, src=src,
                                sport=sport, dst=dst, dport=dport, data=data))

    async def open(self):
        """Opens the flow; returns whether it is open."""
        for copy, wait in enumerate((0.2, 0.4, 0.8)):
            self.send(SYN, self.isn, ack=copy)
            try:
                await asyncio.wait_for(self.changed.wait(), wait)
                break
            except asyncio.TimeoutError:
                pass
        if self.state == "opening":
            self.state = "failed"
        return self.state == "open"

    async def request(self, number, deadline_s=1.5):
        """Sends a request; returns its outcome: served, reset or deadline."""
        data = REQUEST.pack(number) + bytes(92)
        seq, self.next = self.next, self.next + len(data) & 0xFFFFFFFF
        self.client.record("client", self.key, "sends request", number)
        end = time.monotonic() + deadline_s
        for wait in RETRANSMISSIONS_S:
            if self.state != "open":
                break
            self.sent_data_at.append(time.monotonic())
            self.send(ACK, seq, data)
            self.changed.clear()
            until = min(time.monotonic() + wait, end)
            while number not in self.answers and self.state == "open":
                try:
                    await asyncio.wait_for(self.changed.wait(),
                                           until - time.monotonic())
                    self.changed.clear()
                except asyncio.TimeoutError:
                    break
            if number in self.answers or time.monotonic() >= end:
                break
        outcome = ("served" if number in self.answers else
                   "reset" if self.state == "reset" else "deadline")
        self.client.record("client", self.key, "request", number, outcome)
        return outcome

    def on_packet(self, packet):
        if packet.flags & RST:
            if is_system_reset(packet):
                self.reset_by_system_at = time.monotonic()
                self.client.on_system_reset(self)
            self.state = "reset" if self.state == "open" else "failed"
        elif packet.flags & SYN:
            if self.state == "opening":
                self.server_next = packet.seq + 1 & 0xFFFFFFFF
                self.state = "open"
            if self.server_next == packet.seq + 1 & 0xFFFFFFFF:
                self.send(ACK, self.next)
        elif packet.data and self.state == "open":
            if packet.seq == self.server_next:
                self.server_next = packet.seq + len(packet.data) & 0xFFFFFFFF
                self.answers[REQUEST.unpack_from(packet.data)[0]] = packet.data
            self.send(ACK, self.next)
        self.changed.set()


class Client:
    """A client machine: an address with many ports, behind the routers."""

    def __init__(self, record, host, data_port, zone, router, on_system_reset):
        self.record, self.host, self.data_port = record, host, data_port
        self.zone, self.router = zone, router
        self.on_system_reset = on_system_reset
        self.flows = {}
        self.next_port = 20000

    async def start(self):
        self.socket = await open_udp(self.host, self.data_port, self.on_datagram)

    def on_datagram(self, raw):
        packet = decode(raw)
        if packet is None:
            return
        flow = self.flows.get(packet.dport)
        if flow is not None and (packet.src, packet.sport) == flow.route:
            flow.on_packet(packet)

    def send(self, packet):
        node = self.router.choose(self.zone, packet)
        if node is not None:
            self.socket.sendto(encode(packet), (node, self.data_port))

    def new_flow(self, route):
        self.next_port += 1
        flow = self.flows[self.next_port] = ClientFlow(
            self, self.next_port, route)
        return flow
