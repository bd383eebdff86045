"""Encodes and decodes CoAP datagrams.

The caller library uses aiocoap only for this.
"""

from typing import NamedTuple

import aiocoap
from aiocoap.numbers.optionnumbers import OptionNumber
from aiocoap.optiontypes import UintOption

TIME_LEFT_OPTION = OptionNumber(65000)
DEFAULT_MAX_AGE_S = 60
MAX_TIME_LEFT_MS = 2**32 - 1

GET = aiocoap.GET
POST = aiocoap.POST
PUT = aiocoap.PUT
CON = aiocoap.CON
NON = aiocoap.NON
ACK = aiocoap.ACK
RST = aiocoap.RST
UNAUTHORIZED = aiocoap.UNAUTHORIZED
SERVICE_UNAVAILABLE = aiocoap.SERVICE_UNAVAILABLE
GATEWAY_TIMEOUT = aiocoap.GATEWAY_TIMEOUT
SUCCESS_CLASS = 2
CLIENT_ERROR_CLASS = 4


class Block(NamedTuple):
    """A Block2 option.

    Attributes:
        number: Number of the block.
        more: True if more blocks follow.
        size_exponent: The SZX field: log2 of the block size, minus 4.
    """

    number: int
    more: bool
    size_exponent: int

    @property
    def size(self):
        """Size of a full block in bytes."""
        return 1 << (self.size_exponent + 4)

    @property
    def start(self):
        """Offset of the block in the body."""
        return self.number * self.size


class Request(NamedTuple):
    """A request, without the fields that differ between its datagrams.

    Attributes:
        code: The method.
        path: The resource, such as ``/pivot/7/command``.
        payload: The body.
        block: The requested block, or None.
        observe: 0 to open a line, 1 to close it, None for neither.
    """

    code: int
    path: str
    payload: bytes = b""
    block: Block | None = None
    observe: int | None = None

    @property
    def idempotent(self):
        """True if the request may be run more than once."""
        return self.code in (GET, PUT)


class Reply(NamedTuple):
    """A received datagram.

    Attributes:
        type: Message type, such as ``CON``.
        code: Response code; 0 for an empty message.
        message_id: The message id.
        token: The token.
        echo: The Echo option, empty when there is none.
        max_age_s: The Max-Age option, or its default.
        observe: The Observe option, or None.
        etag: The ETag option, or None.
        block: The Block2 option, or None.
        size: The Size2 option, or None.
        payload: The payload.
    """

    type: int
    code: int
    message_id: int
    token: bytes
    echo: bytes = b""
    max_age_s: int = DEFAULT_MAX_AGE_S
    observe: int | None = None
    etag: bytes | None = None
    block: Block | None = None
    size: int | None = None
    payload: bytes = b""

    @property
    def code_class(self):
        """First digit of the response code."""
        return self.code >> 5

    @property
    def dotted(self):
        """The response code as text, such as ``2.05``."""
        return f"{self.code >> 5}.{self.code & 0x1F:02d}"

    @property
    def diagnostic(self):
        """The diagnostic payload as text."""
        return self.payload.decode("utf-8", "replace")


class Malformed(NamedTuple):
    """A datagram that isn't valid CoAP."""

    reason: str


def encode_request(request, *, message_id, token, echo, time_left_ms):
    """Encode a confirmable request.

    Args:
        request: The ``Request``.
        message_id: The message id.
        token: The token.
        echo: The Echo option, empty for none.
        time_left_ms: Time left to the caller's deadline.

    Returns:
        The datagram.
    """
    message = aiocoap.Message(code=request.code, payload=request.payload)
    message.mtype = CON
    message.mid = message_id
    message.token = token
    options = message.opt
    options.uri_path = tuple(part for part in request.path.split("/") if part)
    if request.observe is not None:
        options.observe = request.observe
    if request.block is not None:
        options.block2 = request.block
    if echo:
        options.echo = echo
    time_left = max(0, min(int(time_left_ms), MAX_TIME_LEFT_MS))
    options.add_option(UintOption(TIME_LEFT_OPTION, time_left))
    return message.encode()


def encode_empty(message_type, message_id):
    """Encode an empty message: an acknowledgement or a reset."""
    message = aiocoap.Message(code=aiocoap.EMPTY)
    message.mtype = message_type
    message.mid = message_id
    return message.encode()


def decode_reply(datagram):
    """Decode a datagram.

    Args:
        datagram: The received bytes.

    Returns:
        A ``Reply``, or ``Malformed``.
    """
    try:
        message = aiocoap.Message.decode(datagram)
    except (aiocoap.error.Error, ValueError, IndexError) as error:
        return Malformed(f"invalid CoAP message: {error}")
    options = message.opt
    max_age_s = options.max_age
    return Reply(
        type=int(message.mtype),
        code=int(message.code),
        message_id=message.mid,
        token=message.token,
        echo=options.echo or b"",
        max_age_s=DEFAULT_MAX_AGE_S if max_age_s is None else max_age_s,
        observe=options.observe,
        etag=options.etag,
        block=None if options.block2 is None else Block(*options.block2),
        size=options.size2,
        payload=message.payload,
    )
