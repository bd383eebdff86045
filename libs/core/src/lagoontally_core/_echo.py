"""Echo: a flow's state, carried by its caller.

It contains the home of the flow, the flow's session, the target last used, the
template version and the time of issue on the home's own clock, under a MAC.
Only the home, and a successor that received its key, can verify the MAC.

The session identifies the caller instead of its address: a copy of a request
that arrives from another address, after a NAT device has rebound it, must still
be recognized as a copy.
"""

from hashlib import blake2s
from hmac import compare_digest
from typing import NamedTuple

from xxhash import xxh32_intdigest

from ._rendezvous import SESSION_BYTES

ECHO_FORMAT = 1
HOME_BYTES = 8
HINT_BYTES = 4
VERSION_BYTES = 4
ISSUED_BYTES = 6
MAC_BYTES = 12
KEY_BYTES = 32
FIELD_WIDTHS = (HOME_BYTES, SESSION_BYTES, HINT_BYTES, VERSION_BYTES, ISSUED_BYTES)
FIELD_BYTES = 1 + sum(FIELD_WIDTHS)
ECHO_BYTES = FIELD_BYTES + MAC_BYTES


class Echo(NamedTuple):
    """The fields of an Echo; unverified until its home has checked the MAC.

    Attributes:
        home: Incarnation that issued it.
        session: Random number of the flow, kept from one Echo to the next.
        target_hint: ``target_hint`` of the target last used, 0 for none.
        template_version: Version in force at the home.
        issued_ms: Time of issue on the home's clock.
    """

    home: int
    session: int
    target_hint: int
    template_version: int
    issued_ms: int


def target_hint(address):
    """Return the 32-bit number that identifies a target in an Echo."""
    return xxh32_intdigest(address.encode()) or 1


def encode_echo(echo, service, key):
    """Return the bytes of an Echo for a flow at ``service`` under ``key``."""
    fields = bytes([ECHO_FORMAT]) + b"".join(
        value.to_bytes(width, "big")
        for value, width in zip(echo, FIELD_WIDTHS, strict=True)
    )
    return fields + _mac(fields, service, key)


def decode_echo(data):
    """Return the ``Echo`` in ``data``, or None when it isn't in this format."""
    if len(data) != ECHO_BYTES or data[0] != ECHO_FORMAT:
        return None
    values = []
    start = 1
    for width in FIELD_WIDTHS:
        values.append(int.from_bytes(data[start : start + width], "big"))
        start += width
    return Echo(*values)


def echo_is_authentic(data, service, key):
    """Return whether ``data`` was issued for ``service`` under ``key``."""
    mac = _mac(data[:FIELD_BYTES], service, key)
    return compare_digest(data[FIELD_BYTES:], mac)


def _mac(fields, service, key):
    message = fields + service.encode()
    return blake2s(message, key=key, digest_size=MAC_BYTES).digest()
