"""Packets as PROTOCOL.md describes them, and the keyed sum of both ends."""

import dataclasses
import socket
import struct
import zlib

SYN, ACK, FIN, RST, BOUNCED = 64, 1, 4, 2, 8
HEAD = struct.Struct(">BBIIHH4s4sIIH")
MAX_DATA = 1200
RESET_WINDOW = 76_800
_KEY = b"review-3"


@dataclasses.dataclass
class Packet:
    flags: int
    seq: int
    ack: int
    src: tuple  # (address, port)
    dst: tuple
    data: bytes = b""
    echo: int = 0
    pad: int = 0
    sum: int = 0

    def has(self, flag):
        return bool(self.flags & flag)


def _sum(packet):
    """Computes the sum over all fields except echo, pad and BOUNCED."""
    head = HEAD.pack(
        packet.flags & ~BOUNCED, 0, packet.seq, packet.ack, packet.dst[1],
        packet.src[1], socket.inet_aton(packet.dst[0]),
        socket.inet_aton(packet.src[0]), 0, 0, len(packet.data))
    return max(1, zlib.crc32(_KEY + head + packet.data))


def encode(packet):
    packet.sum = _sum(packet)
    return encode_as_is(packet)


def encode_as_is(packet):
    return HEAD.pack(
        packet.flags, packet.pad, packet.seq, packet.ack, packet.dst[1],
        packet.src[1], socket.inet_aton(packet.dst[0]),
        socket.inet_aton(packet.src[0]), packet.sum, packet.echo,
        len(packet.data)) + packet.data


def decode(raw):
    if len(raw) < HEAD.size:
        return None
    flags, pad, seq, ack, dport, sport, dst, src, total, echo, size = (
        HEAD.unpack_from(raw))
    if len(raw) != HEAD.size + size:
        return None
    return Packet(flags, seq, ack, (socket.inet_ntoa(src), sport),
                  (socket.inet_ntoa(dst), dport), raw[HEAD.size:], echo, pad,
                  total)


def is_sound(packet):
    """Whether the packet is as its sender wrote it."""
    return packet.sum == _sum(packet)


def is_system_reset(packet):
    return packet.has(RST) and packet.sum == 0 and not packet.data


def after(seq, count):
    return (seq + count) & 0xFFFFFFFF


def distance(a, b):
    """Returns a - b as a signed number."""
    value = (a - b) & 0xFFFFFFFF
    return value - (1 << 32) if value >= 1 << 31 else value
