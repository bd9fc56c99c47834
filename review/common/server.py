"""Stand-in for a server on a `side` machine."""

import asyncio
import random
import socket
import time

import packets
from httpio import call
from packets import ACK, BOUNCED, FIN, RST, SYN, Packet

RETRANSMISSIONS = [0.2, 0.4, 0.8, 1.6, 1.6, 1.6, 1.6, 1.6]
WORK_S = 0.02


class ServerFlow:
    """State of one flow at the server."""

    def __init__(self, client_seq):
        self.seq = random.getrandbits(32)
        self.next_to_send = packets.add(self.seq, 1)
        self.next_expected = packets.add(client_seq, 1)
        self.unacked = None
        self.is_open = False
        self.has_ended = False


class Server:
    """A sound server: holds flows, runs requests, sends heartbeats.

    on_opening and on_run are called when it takes an opening or runs a request.
    """

    def __init__(self, record, name, service, zone, address, ports,
                 heartbeat_s):
        self.record, self.name, self.service = record, name, service
        self.zone, self.address, self.ports = zone, address, ports
        self.heartbeat_s = heartbeat_s
        self.work_s = WORK_S
        self.state = "ready"
        self.flows = {}
        self.runs = []
        self.openings = []
        self.drain_acknowledged_at = None
        self.acknowledged_beats = 0
        self.clock_offset_s = 0.0
        self.tasks = []
        self.socket = None
        self.is_up = False

    def start(self, instance):
        """Starts a new incarnation, which knows nothing of before."""
        self.instance = instance
        self.born = int((time.time() + self.clock_offset_s) * 1000)
        self.seq = 0
        self.state = "ready"
        self.flows = {}
        self.drain_acknowledged_at = None
        self.acknowledged_beats = 0
        self.is_up = True
        self.socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.socket.setblocking(False)
        self.socket.bind((self.address, self.ports["app"]))
        asyncio.get_running_loop().add_reader(self.socket, self._on_readable)
        self.tasks = [asyncio.ensure_future(self._beat())]
        self.record(f"server {self.name} starts as {instance}, "
                    f"born {self.born}")

    def crash(self):
        """Ends without a word; all flows are lost."""
        self.is_up = False
        for task in self.tasks:
            task.cancel()
        self.tasks = []
        if self.socket is not None:
            asyncio.get_running_loop().remove_reader(self.socket)
            self.socket.close()
            self.socket = None
        self.flows = {}
        self.record(f"server {self.name} ({self.instance}) crashes")

    async def leave(self):
        """Ends after a drain. Requests that still run are cut."""
        status = await call(self.address, self.ports["control"], "DELETE",
                            f"/api/instances/{self.instance}")
        self.record(f"server {self.name} ({self.instance}) leaves; DELETE is "
                    f"answered {status}")
        self.crash()

    async def _beat(self):
        while True:
            asyncio.ensure_future(self._send_beat())
            await asyncio.sleep(self.heartbeat_s * random.uniform(0.95, 1.05))

    def describe(self):
        self.seq += 1
        return {"service": self.service,
                "addr": f"{self.address}:{self.ports['app']}",
                "zone": self.zone, "version": "v1", "slots": 3,
                "state": self.state, "warmup_ms": 0, "seq": self.seq,
                "born": self.born}

    async def _send_beat(self):
        beat, instance = self.describe(), self.instance
        status = await call(self.address, self.ports["control"], "PUT",
                            f"/api/instances/{instance}", beat)
        if not self.is_up or instance != self.instance:
            return
        if 200 <= status < 300:
            self.acknowledged_beats += 1
            if beat["state"] == "draining" and not self.drain_acknowledged_at:
                self.drain_acknowledged_at = time.monotonic()
                self.record(f"server {self.name} ({instance}): `draining` is "
                            f"acknowledged with {status}: {beat}")

    def _on_readable(self):
        while self.socket is not None:
            try:
                datagram = self.socket.recv(65536)
            except BlockingIOError:
                return
            packet = packets.decode(datagram)
            if packet is not None:
                self._on_packet(packet)

    def _send(self, packet):
        self.socket.sendto(packets.encode_with_sum(packet),
                           (self.address, self.ports["outbound"]))

    def _reply(self, packet, flow, flags, data=b"", seq=None):
        self._send(Packet(flags, flow.next_to_send if seq is None else seq,
                          flow.next_expected, packet.sport, packet.dport,
                          packet.src, packet.dst, data))

    def _bounce(self, packet):
        packet.flags |= BOUNCED
        packet.pad = 0
        self.socket.sendto(packets.encode(packet),
                           (self.address, self.ports["outbound"]))

    def _on_packet(self, packet):
        if packets.compute_sum(packet) != packet.sum:
            self.record(f"UNASKED server {self.name} gets a packet that its "
                        f"sender didn't write so: {packet}")
            return
        key = (packet.src, packet.sport, packet.dst, packet.dport)
        flow = self.flows.get(key)
        if packet.has(SYN):
            self._on_opening(packet, key, flow)
        elif flow is None:
            self._bounce(packet)
        elif flow.has_ended:
            self._on_packet_after_end(packet, flow)
        elif not flow.is_open and (
                not packet.has(ACK) or
                packet.ack != packets.add(flow.seq, 1)):
            self._bounce(packet)
        else:
            self._on_flow_packet(packet, key, flow)

    def _on_opening(self, packet, key, flow):
        if flow is None:
            flow = self.flows[key] = ServerFlow(packet.seq)
            self.openings.append((time.monotonic(), key))
            self.record(f"server {self.name} ({self.instance}, {self.state}) "
                        f"takes an opening of {describe(key)}")
        if not flow.is_open:
            self._reply(packet, flow, SYN | ACK, seq=flow.seq)

    def _on_packet_after_end(self, packet, flow):
        if packet.has(FIN):
            self._reply(packet, flow, ACK)
        elif packet.data:
            self._reply(packet, flow, RST | ACK)

    def _on_flow_packet(self, packet, key, flow):
        flow.is_open = True
        if packet.has(RST):
            self.flows.pop(key)
            return
        if flow.unacked is not None and packet.has(ACK) and \
                packet.ack == flow.next_to_send:
            flow.unacked = None
        if packet.data:
            if packet.seq == flow.next_expected:
                flow.next_expected = packets.add(packet.seq, len(packet.data))
                self.tasks.append(asyncio.ensure_future(
                    self._run(packet, key, flow)))
            self._reply(packet, flow, ACK)
        if packet.has(FIN) and not flow.has_ended:
            flow.has_ended = True
            flow.next_expected = packets.add(flow.next_expected, 1)
            self._reply(packet, flow, FIN | ACK)

    async def _run(self, packet, key, flow):
        request = find_header(packet.data, "X-Hawthornbank-Request-Id")
        self.runs.append((time.monotonic(), request))
        self.record(f"server {self.name} ({self.instance}) runs {request} on "
                    f"{describe(key)}")
        await asyncio.sleep(self.work_s)
        body = f"answer to {request}".encode()
        data = (f"HTTP/1.1 200 OK\r\nX-Hawthornbank-Response-Signature: "
                f"{sign(body)}\r\nX-Hawthornbank-Instance-Id: {self.instance}"
                f"\r\nContent-Length: {len(body)}\r\n\r\n").encode() + body
        seq = flow.next_to_send
        flow.next_to_send = packets.add(seq, len(data))
        flow.unacked = seq
        ends = self.state == "draining"
        flow.has_ended = ends
        for pause in [0.0] + RETRANSMISSIONS:
            await asyncio.sleep(pause)
            if not self.is_up or flow.unacked != seq or \
                    self.flows.get(key) is not flow:
                return
            self._reply(packet, flow, ACK | (FIN if ends else 0), data, seq)

    def holds_open(self, key):
        flow = self.flows.get(key)
        return self.is_up and flow is not None and flow.is_open and \
            not flow.has_ended


def find_header(data, name):
    for line in data.decode(errors="replace").split("\r\n"):
        key, _, value = line.partition(":")
        if key.lower() == name.lower():
            return value.strip()
    return ""


def sign(body):
    return f"{packets.zlib.crc32(b'signature' + body):08x}"


def describe(key):
    src, sport, dst, dport = key
    return (f"{packets.to_text(src)}:{sport}>"
            f"{packets.to_text(dst)}:{dport}")
