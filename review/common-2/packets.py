"""Packets as the platform's page describes them: a head of 32 bytes, then data."""

import struct
import zlib
from dataclasses import dataclass

SYN, ACK, FIN, RST, BOUNCED = 64, 1, 4, 2, 8
HEAD = struct.Struct(">BBIIHH4s4sIIH")
SUM_KEY = b"known to clients and servers only"


def pack_address(text):
    return bytes(int(part) for part in text.split("."))


def format_address(raw):
    return ".".join(str(part) for part in raw)


@dataclass
class Packet:
    flags: int
    seq: int
    ack: int
    src: str
    sport: int
    dst: str
    dport: int
    data: bytes = b""
    sum: int = 0
    echo: int = 0
    pad: int = 0


def compute_sum(packet):
    """The keyed sum over all fields but echo, pad and BOUNCED."""
    covered = HEAD.pack(
        packet.flags & ~BOUNCED, 0, packet.seq, packet.ack, packet.dport,
        packet.sport, pack_address(packet.dst), pack_address(packet.src), 0, 0,
        len(packet.data))
    return zlib.crc32(SUM_KEY + covered + packet.data) or 1


def encode(packet, own_sum=True):
    """Encodes a packet; with `own_sum`, as its sender writes it."""
    total = compute_sum(packet) if own_sum else packet.sum
    return HEAD.pack(
        packet.flags, packet.pad, packet.seq & 0xFFFFFFFF,
        packet.ack & 0xFFFFFFFF, packet.dport, packet.sport,
        pack_address(packet.dst), pack_address(packet.src), total, packet.echo,
        len(packet.data)) + packet.data


def decode(raw):
    """Decodes a datagram; None if it is no packet."""
    if len(raw) < HEAD.size:
        return None
    flags, pad, seq, ack, dport, sport, dst, src, total, echo, size = (
        HEAD.unpack_from(raw))
    if len(raw) != HEAD.size + size:
        return None
    return Packet(flags=flags, seq=seq, ack=ack, src=format_address(src),
                  sport=sport, dst=format_address(dst), dport=dport,
                  data=raw[HEAD.size:], sum=total, echo=echo, pad=pad)


def mark_bounced(raw):
    """The packet as a server returns it: BOUNCED set, pad 0, echo unchanged."""
    return bytes([raw[0] | BOUNCED, 0]) + raw[2:]


def is_system_reset(packet):
    """Whether the packet is a reset of the system's own: no data, sum 0."""
    return bool(packet.flags & RST) and packet.sum == 0 and not packet.data
