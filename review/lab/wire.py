"""The packet header of PROTOCOL.md."""

import ipaddress
from struct import Struct
from typing import NamedTuple

SYN, ACK, FIN, RST = 2, 16, 4, 1
NAME_BYTES = 8
HEADER = Struct(">IHBBIHHIIII")


class Packet(NamedTuple):
    """A packet; ``flow`` is the client's address and port and the route's."""

    flow: tuple
    flags: int
    echo: int
    seq: int
    ack: int
    data: bytes


def to_int(host):
    """Return an IPv4 address as an integer."""
    return int(ipaddress.ip_address(host))


def to_host(address):
    """Return an integer as a dotted IPv4 address."""
    return str(ipaddress.ip_address(address))


def from_client(packet):
    """Encode a packet that a client sends."""
    return _encode(packet, packet.flow)


def from_target(packet):
    """Encode a packet that a target sends."""
    address, port, to, to_port = packet.flow
    return _encode(packet, (to, to_port, address, port))


def _encode(packet, ends):
    source, source_port, to, to_port = ends
    # The key of ``sum`` is known to clients and targets only. Any number but 0 will
    # do, since a balancer can't check it.
    return (
        HEADER.pack(
            0x5EED,
            len(packet.data),
            packet.flags,
            0,
            to,
            to_port,
            source_port,
            source,
            packet.echo,
            packet.seq,
            packet.ack,
        )
        + packet.data
    )


def decode(datagram, *, sender_is_client):
    """Decode a packet."""
    fields = HEADER.unpack_from(datagram)
    _, length, flags, _, to, to_port, source_port, source, echo, seq, ack = fields
    flow = (source, source_port, to, to_port)
    if not sender_is_client:
        flow = (to, to_port, source, source_port)
    data = bytes(datagram[HEADER.size : HEADER.size + length])
    return Packet(flow, flags, echo, seq, ack, data)
