"""Flow packets of the platform: a head of 32 bytes and at most 1,200 of data."""

import dataclasses
import socket
import struct
import zlib

SYN, ACK, FIN, RST, BOUNCED = 64, 1, 4, 2, 8
HEAD = struct.Struct(">BBIIHHIIIIH")
MAX_DATA = 1200
# Largest lead of a packet's acknowledgement over the sender's last sequence.
MAX_LEAD = 76_800
_SUM_KEY = b"key of clients and servers"


@dataclasses.dataclass
class Packet:
    """One datagram between a client and a server."""

    flags: int
    seq: int
    ack: int
    dport: int
    sport: int
    dst: int
    src: int
    data: bytes = b""
    pad: int = 0
    echo: int = 0
    sum: int = 0

    def has(self, flag):
        return self.flags & flag != 0


def compute_sum(packet):
    """Keyed sum over all fields but echo, pad and BOUNCED."""
    fields = struct.pack(">BIIHHII", packet.flags & ~BOUNCED, packet.seq,
                         packet.ack, packet.dport, packet.sport, packet.dst,
                         packet.src)
    return zlib.crc32(_SUM_KEY + fields + packet.data) & 0xFFFFFFFF


def encode(packet):
    """Encodes a packet as it is, its sum included."""
    return HEAD.pack(packet.flags, packet.pad, packet.seq, packet.ack,
                     packet.dport, packet.sport, packet.dst, packet.src,
                     packet.sum, packet.echo, len(packet.data)) + packet.data


def encode_with_sum(packet):
    """Encodes a packet of a client or a server."""
    packet.sum = compute_sum(packet)
    return encode(packet)


def decode(datagram):
    """Returns the packet, or None for bytes that aren't one."""
    if len(datagram) < HEAD.size:
        return None
    (flags, pad, seq, ack, dport, sport, dst, src, total, echo,
     length) = HEAD.unpack_from(datagram)
    data = datagram[HEAD.size:]
    if len(data) != length:
        return None
    return Packet(flags, seq, ack, dport, sport, dst, src, data, pad, echo,
                  total)


def is_reset_of_system(packet):
    """Whether a packet is a reset of the system's own."""
    return packet.flags == RST and not packet.data and packet.sum == 0


def to_int(address):
    return struct.unpack(">I", socket.inet_aton(address))[0]


def to_text(address):
    return socket.inet_ntoa(struct.pack(">I", address))


def add(seq, count):
    return (seq + count) & 0xFFFFFFFF
