"""The packet format of callers and targets."""

import struct
from typing import NamedTuple

SYN, ACK, FIN, RST = 2, 16, 4, 1
NAME_BYTES = 8
HEADER = struct.Struct(">IHBBIHHIIII")
CHECKSUM = 0xA1B2C3D5
MAX_DATA = 1_200


class Header(NamedTuple):
    """Header of a packet; fields are in wire order."""

    checksum: int
    length: int
    flags: int
    padding: int
    destination: int
    destination_port: int
    source_port: int
    source: int
    cookie: int
    sequence: int
    acknowledgement: int


def encode(flow, flags, *, cookie=0, sequence=0, ack=0, data=b""):
    """Return a packet from the source of ``flow`` to its destination."""
    source, source_port, destination, destination_port = flow
    header = Header(
        CHECKSUM,
        len(data),
        flags,
        0,
        destination,
        destination_port,
        source_port,
        source,
        cookie,
        sequence & 0xFFFFFFFF,
        ack & 0xFFFFFFFF,
    )
    return HEADER.pack(*header) + data


def decode(datagram):
    """Return the ``Header`` and data of a packet."""
    header = Header(*HEADER.unpack_from(datagram))
    return header, datagram[HEADER.size :]


def parse_host(host):
    """Return a dotted IPv4 address as an integer."""
    return int.from_bytes(bytes(int(octet) for octet in host.split(".")), "big")


def format_host(number):
    """Return an IPv4 address in dotted form."""
    return ".".join(str(octet) for octet in number.to_bytes(4, "big"))
