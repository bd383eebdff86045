"""Packets as callers and targets read and write them."""

import struct
from typing import NamedTuple

SYN, ACK, FIN, RST = 2, 16, 4, 1
NAME_BYTES = 8
HEADER = struct.Struct(">IHBBIHHIIII")
CHECKSUM = 0xA1B2C3D5
MAX_DATA = 1_200


class Header(NamedTuple):
    """Header of a packet, in the order of its bytes."""

    checksum: int
    length: int
    flags: int
    padding: int
    to: int
    to_port: int
    port: int
    address: int
    cookie: int
    sequence: int
    acknowledgement: int


def encode(flow, flags, *, cookie=0, sequence=0, ack=0, data=b""):
    """Return a packet from the first end of ``flow`` to the second."""
    address, port, to, to_port = flow
    header = Header(
        CHECKSUM,
        len(data),
        flags,
        0,
        to,
        to_port,
        port,
        address,
        cookie,
        sequence & 0xFFFFFFFF,
        ack & 0xFFFFFFFF,
    )
    return HEADER.pack(*header) + data


def decode(datagram):
    """Return the ``Header`` and the data of a packet."""
    header = Header(*HEADER.unpack_from(datagram))
    return header, datagram[HEADER.size :]


def host_number(host):
    """Return an address in dotted form as an integer."""
    return int.from_bytes(bytes(int(octet) for octet in host.split(".")), "big")


def host_text(number):
    """Return an address as text."""
    return ".".join(str(octet) for octet in number.to_bytes(4, "big"))
