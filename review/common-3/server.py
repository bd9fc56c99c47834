"""Stand-in for an application server beside an agent."""

import asyncio
import random
import time

import httpio
import packets
from packets import ACK, BOUNCED, FIN, RST, SYN, Packet

RETRY_S = 0.2
MAX_RETRY_S = 1.6
MAX_RETRIES = 8


class _Flow:
    def __init__(self, key, peer_seq, service_isn):
        self.key = key
        self.opening = peer_seq
        self.receive_next = packets.after(peer_seq, 1)
        self.isn = service_isn
        self.send_next = packets.after(service_isn, 1)
        self.is_open = False
        self.buffer = b""
        self.unacked = []  # (seq after the packet, packet)
        self.peer_fin = False
        self.own_fin = False
        self.closes = False
        self.ended = False
        self.retries = 0
        self.timer = None


class Server(asyncio.DatagramProtocol):
    """Runs requests of its flows, returns packets of others, sends beats."""

    def __init__(self, machine, service, record, name, work_s=0.02,
                 beat_s=1.2, slots=3, clock_ahead_s=0.0, holds_beats=False,
                 instance=None):
        self.machine = machine
        self.service = service
        self.record = record
        self.name = name
        self.id = instance or f"i-{random.getrandbits(32):08x}"
        self.holds_beats = holds_beats  # Its heartbeats are held up.
        self.work_s = work_s
        self.beat_s = beat_s
        self.slots = slots
        self.state = "ready"
        self.born = int((time.time() + clock_ahead_s) * 1000)
        self.seq = 0
        self.is_up = False
        self.flows = {}
        self.random = random.Random(name)
        self.transport = None
        self.beats = None
        self.opened = []  # (time, key, opening)
        self.runs = []  # (time, request id, key, opening)
        self.acknowledged = asyncio.Event()
        self.heard = []  # (state, status, time) of each beat
        self.loop = None

    async def start(self):
        self.loop = asyncio.get_running_loop()
        await self.loop.create_datagram_endpoint(
            lambda: self, local_addr=self.machine.app)
        self.health = await httpio.serve(self.machine.app, self._on_health)
        self.is_up = True
        self.beats = asyncio.create_task(self._send_beats())
        self.record(f"server {self.name} ({self.id}, {self.service}) starts, "
                    f"born {self.born}")

    def crash(self):
        """Ends at once and tells nobody."""
        self._end("crashes")

    def _end(self, how):
        self.is_up = False
        self.beats.cancel()
        self.transport.close()
        self.health.close()
        for flow in self.flows.values():
            self._stop_timer(flow)
        self.flows = {}
        self.record(f"server {self.name} ({self.id}) {how}")

    def _on_health(self, method, path, body, peer):
        return (200 if self.state == "ready" else 503), {}

    def make_beat(self):
        """Makes the next heartbeat: method, path and body of the call."""
        self.seq += 1
        return "PUT", f"/api/instances/{self.id}", {
            "service": self.service, "addr": "%s:%d" % self.machine.app,
            "zone": self.machine.zone, "version": "v1", "slots": self.slots,
            "state": self.state, "warmup_ms": 0, "seq": self.seq,
            "born": self.born}

    async def beat(self):
        """Sends one heartbeat. Returns whether it was acknowledged."""
        state = self.state
        status, _ = await httpio.call(self.machine.control, *self.make_beat())
        is_good = 200 <= status < 300
        self.heard.append((state, status, time.monotonic()))
        if is_good and state == "draining" and not self.acknowledged.is_set():
            self.acknowledged.set()
            self.record(f"server {self.name}: draining acknowledged")
        return is_good

    async def _send_beats(self):
        while True:
            if not self.holds_beats:
                await self.beat()
            await asyncio.sleep(self.beat_s)

    # Packets -------------------------------------------------------------

    def connection_made(self, transport):
        self.transport = transport

    def datagram_received(self, raw, peer):
        packet = packets.decode(raw)
        if packet is None or not self.is_up:
            return
        if not packets.is_sound(packet) or packet.has(SYN) and packet.has(ACK):
            self.record(f"UNASKED: server {self.name} got a packet that "
                        f"its sender didn't write so: {packet}")
            return
        key = (packet.src, packet.dst)
        flow = self.flows.get(key)
        if packet.has(SYN):
            self._on_opening(key, flow, packet)
        elif flow is None or not self._belongs(flow, packet):
            self._bounce(packet)
        else:
            self._on_packet(flow, packet)

    def _belongs(self, flow, packet):
        ahead = packets.distance(packet.seq, flow.opening)
        acked = packets.distance(packet.ack, flow.isn)
        return 0 < ahead < 1 << 24 and (
            not packet.has(ACK) or 0 < acked < 1 << 24)

    def _on_opening(self, key, flow, packet):
        if flow is not None and not flow.ended and flow.opening != packet.seq:
            self._bounce(packet)
            return
        if flow is None or flow.opening != packet.seq:
            if flow is not None:
                self._stop_timer(flow)
            flow = _Flow(key, packet.seq, self.random.getrandbits(32))
            self.flows[key] = flow
            self.opened.append((time.monotonic(), key, packet.seq))
        self._send(Packet(SYN | ACK, flow.isn, flow.receive_next, key[1],
                          key[0]))

    def _bounce(self, packet):
        packet.flags |= BOUNCED
        packet.pad = 0
        self.transport.sendto(packets.encode_as_is(packet),
                              self.machine.outbound)

    def _on_packet(self, flow, packet):
        if packet.has(RST):
            self._finish(flow)
            return
        flow.is_open = True
        if packet.has(ACK):
            self._on_ack(flow, packet.ack)
        if flow.ended:
            if packet.has(FIN):
                self._send_ack(flow)
            elif packet.data:
                self._send(Packet(RST, flow.send_next, flow.receive_next,
                                  flow.key[1], flow.key[0]))
            return
        if packet.seq != flow.receive_next:
            if packet.data or packet.has(FIN):
                self._send_ack(flow)
            return
        flow.receive_next = packets.after(flow.receive_next, len(packet.data))
        flow.buffer += packet.data
        if packet.has(FIN):
            flow.peer_fin = True
            flow.receive_next = packets.after(flow.receive_next, 1)
        if packet.data or packet.has(FIN):
            self._send_ack(flow)
        self._take_request(flow)
        if flow.peer_fin and not flow.own_fin:
            self._send_fin(flow)
        self._end_if_closed(flow)

    def _take_request(self, flow):
        head, mark, rest = flow.buffer.partition(b"\r\n\r\n")
        if not mark:
            return
        lines = head.decode("latin-1").split("\r\n")
        headers = dict(line.lower().split(": ", 1) for line in lines[1:])
        size = int(headers.get("content-length", "0"))
        if len(rest) < size:
            return
        flow.buffer = rest[size:]
        request = headers["x-hawthornbank-request-id"]
        self.runs.append((time.monotonic(), request, flow.key, flow.opening))
        self.record(f"server {self.name} ({self.service}) runs {request}")
        closes = (headers.get("connection") == "close" or
                  self.state == "draining")
        self.loop.call_later(self.work_s, self._answer, flow, request, closes)

    def _answer(self, flow, request, closes):
        if not self.is_up or flow.ended or flow.own_fin:
            return
        body = f"answer to {request}"
        text = ("HTTP/1.1 200 OK\r\n"
                f"X-Hawthornbank-Response-Signature: {self.id}\r\n"
                f"Content-Length: {len(body)}\r\n\r\n{body}").encode()
        self._send_reliably(flow, Packet(
            ACK, flow.send_next, flow.receive_next, flow.key[1], flow.key[0],
            text), len(text))
        if closes:
            self._send_fin(flow)

    def _send_fin(self, flow):
        if not flow.own_fin:
            flow.own_fin = True
            self._send_reliably(flow, Packet(
                FIN | ACK, flow.send_next, flow.receive_next, flow.key[1],
                flow.key[0]), 1)

    def _send_reliably(self, flow, packet, size):
        flow.send_next = packets.after(flow.send_next, size)
        flow.unacked.append((flow.send_next, packet))
        self._send(packet)
        if flow.timer is None:
            flow.retries = 0
            flow.timer = self.loop.call_later(RETRY_S, self._retry, flow)

    def _retry(self, flow):
        flow.timer = None
        if not flow.unacked or not self.is_up:
            return
        flow.retries += 1
        if flow.retries > MAX_RETRIES:
            self._finish(flow)
            return
        for _, packet in flow.unacked:
            self._send(packet)
        flow.timer = self.loop.call_later(
            min(RETRY_S * 2 ** flow.retries, MAX_RETRY_S), self._retry, flow)

    def _on_ack(self, flow, ack):
        flow.unacked = [it for it in flow.unacked
                        if packets.distance(ack, it[0]) < 0]
        if not flow.unacked:
            self._stop_timer(flow)
        self._end_if_closed(flow)

    def _end_if_closed(self, flow):
        if flow.peer_fin and flow.own_fin and not flow.unacked:
            self._finish(flow)

    def _finish(self, flow):
        flow.ended = True
        flow.unacked = []
        self._stop_timer(flow)

    @staticmethod
    def _stop_timer(flow):
        if flow.timer is not None:
            flow.timer.cancel()
            flow.timer = None

    def _send_ack(self, flow):
        self._send(Packet(ACK, flow.send_next, flow.receive_next, flow.key[1],
                          flow.key[0]))

    def _send(self, packet):
        self.transport.sendto(packets.encode(packet), self.machine.outbound)

    def holds(self, key, opening):
        flow = self.flows.get(key)
        return (self.is_up and flow is not None and flow.opening == opening
                and flow.is_open and not flow.ended)
