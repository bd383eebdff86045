"""Validation of datagrams before and during decoding."""

from typing import NamedTuple

from aiocoap import Message
from aiocoap.error import Error

REMAINING_MS_OPTION = 65000
MAX_TOKEN_BYTES = 8
MAX_OPTION_NUMBER = 65_535
HEADER_BYTES = 4
PAYLOAD_MARKER = 0xFF
# Bounds the cost of decoding, which copies the rest of the datagram per option.
MAX_OPTIONS = 64

# Maximum length of each option's value (RFC 7252, 7641, 7959, 9175).
_MAX_OPTION_BYTES = {
    1: 8,
    3: 255,
    4: 8,
    5: 0,
    6: 3,
    7: 2,
    8: 255,
    11: 255,
    12: 2,
    14: 4,
    15: 255,
    16: 1,
    17: 2,
    20: 255,
    23: 3,
    27: 3,
    28: 4,
    60: 4,
    252: 40,
    258: 1,
    REMAINING_MS_OPTION: 4,
}
_KNOWN_CRITICAL = frozenset({1, 3, 5, 7, 9, 11, 13, 15, 17, 21, 23, 27})
_EXTENDED_FIELDS = {13: (1, 13), 14: (2, 269)}


class Malformed(NamedTuple):
    """An invalid datagram; it is dropped and counted."""

    reason: str


def decode_message(data):
    """Decode a datagram that conforms to RFC 7252.

    Args:
        data: The whole datagram.

    Returns:
        The ``aiocoap.Message``, or ``Malformed``.
    """
    reason = _datagram_error(data)
    if reason:
        return Malformed(reason)
    try:
        return Message.decode(data)
    except (Error, ValueError) as error:
        return Malformed(f"the datagram can't be decoded: {error}")


def _datagram_error(data):
    """Return the first error that ``aiocoap`` would accept, or an empty string."""
    if len(data) < HEADER_BYTES:
        return "the datagram is shorter than a header"
    if data[0] >> 6 != 1:
        return "the version isn't 1"
    token_bytes = data[0] & 0x0F
    if token_bytes > MAX_TOKEN_BYTES:
        return "the token is longer than 8 bytes"
    if data[1] == 0 and len(data) > HEADER_BYTES:
        return "an empty message has content"
    if len(data) < HEADER_BYTES + token_bytes:
        return "the token is cut off"
    return _option_error(data, HEADER_BYTES + token_bytes)


def _option_error(data, position):
    # ``aiocoap`` never frees the option numbers and content formats that it has
    # decoded, so numbers and lengths are bounded before decoding.
    number = 0
    options = 0
    while position < len(data):
        first = data[position]
        if first == PAYLOAD_MARKER:
            return "" if position + 1 < len(data) else "the payload is missing"
        delta, position = _read_extended(data, first >> 4, position + 1)
        length, position = _read_extended(data, first & 0x0F, position)
        number += delta
        options += 1
        position += length
        if position > len(data):
            return "an option is cut off"
        reason = _value_error(number, length)
        if reason or options > MAX_OPTIONS:
            return reason or f"there are more than {MAX_OPTIONS} options"
    return ""


def _read_extended(data, nibble, position):
    """Return an option's delta or length and the position after it."""
    if nibble < 13:
        return nibble, position
    if nibble == 15:
        return MAX_OPTION_NUMBER + 1, position
    size, offset = _EXTENDED_FIELDS[nibble]
    return int.from_bytes(
        data[position : position + size], "big"
    ) + offset, position + size


def _value_error(number, length):
    if number > MAX_OPTION_NUMBER:
        return "an option's number is out of range"
    if number & 1 and number not in _KNOWN_CRITICAL:
        return f"the critical option {number} isn't known"
    if length > _MAX_OPTION_BYTES.get(number, length):
        return f"option {number} is too long"
    return ""
