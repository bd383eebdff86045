"""Conversion between CoAP datagrams and the core's typed messages.

``aiocoap.Message`` decodes and encodes the message layer. Payloads, paths and all
options that aren't named here are forwarded unchanged.
"""

from functools import singledispatch
from typing import NamedTuple

from aiocoap import Message
from aiocoap.message import Direction
from aiocoap.numbers import codes
from aiocoap.numbers.optionnumbers import OptionNumber
from aiocoap.numbers.types import ACK, CON, NON, RST

from lagoontally_core import (
    AnswerCaller,
    Forwarded,
    NeedEcho,
    NotifyCaller,
    Refused,
    Rejected,
    ReplyStatus,
    Request,
    RequestKind,
    SendKind,
    SendUpstream,
    Unknown,
)

from ._coap_validation import REMAINING_MS_OPTION, Malformed, decode_message

DEFAULT_REMAINING_MS = 10_000
MAX_REMAINING_MS = 60_000
DEFAULT_RETRY_AFTER_S = 1
MAX_DIAGNOSTIC_BYTES = 200
OBSERVE_MODULUS = 1 << 24
OBSERVE_OPEN = 0
OBSERVE_CLOSE = 1

_IDEMPOTENT_CODES = {codes.GET, codes.FETCH, codes.PUT, codes.DELETE}
_COMMAND_CODES = {codes.POST, codes.PATCH, codes.iPATCH}
_REMAINING_MS = OptionNumber(REMAINING_MS_OPTION)
_HOP_BY_HOP_OPTIONS = (
    OptionNumber.ECHO,
    OptionNumber.OBSERVE,
    OptionNumber.URI_HOST,
    OptionNumber.URI_PORT,
    _REMAINING_MS,
)
_OBSERVE_BY_KIND = {
    SendKind.REQUEST: None,
    SendKind.LINE_OPEN: OBSERVE_OPEN,
    SendKind.LINE_CLOSE: OBSERVE_CLOSE,
}


class Acknowledged(NamedTuple):
    """An empty acknowledgement of a message id."""

    message_id: int


class ResetReceived(NamedTuple):
    """A reset of a message id."""

    message_id: int


class PingReceived(NamedTuple):
    """An empty confirmable message: a CoAP ping, answered by a reset."""

    message_id: int


class UpstreamDatagram(NamedTuple):
    """A decoded datagram of an upstream.

    Attributes:
        token: Token of the exchange.
        status: Whether the request was answered or shed.
        observed: True when the datagram belongs to an open line.
        retry_after_s: Delay before a retry if the request was shed; otherwise 0.
        confirmable: True when the upstream expects an acknowledgement.
        message_id: Message id to acknowledge.
    """

    token: bytes
    status: ReplyStatus
    observed: bool
    retry_after_s: int
    confirmable: bool
    message_id: int


def decode_caller_datagram(data):
    """Decode a datagram that arrived at an entry port.

    Args:
        data: The whole datagram.

    Returns:
        ``Request``, ``Acknowledged``, ``ResetReceived``, ``PingReceived`` or
        ``Malformed``.
    """
    message = decode_message(data)
    if isinstance(message, Malformed):
        return message
    if message.code == codes.EMPTY:
        return _decode_empty(message)
    if message.mtype not in (CON, NON):
        return Malformed("a request must be confirmable or non-confirmable")
    kind = _request_kind(message)
    if kind is None:
        return Malformed("the code isn't a request method")
    return Request(
        kind,
        message.token,
        message.mid,
        message.mtype == CON,
        message.opt.echo or b"",
        _remaining_ms(message),
        data,
    )


def _decode_empty(message):
    if message.mtype == ACK:
        return Acknowledged(message.mid)
    if message.mtype == RST:
        return ResetReceived(message.mid)
    if message.mtype == CON:
        return PingReceived(message.mid)
    return Malformed("an empty message must not be non-confirmable")


def _request_kind(message):
    if message.code in _COMMAND_CODES:
        return RequestKind.COMMAND
    if message.code not in _IDEMPOTENT_CODES:
        return None
    if message.code != codes.GET:
        return RequestKind.IDEMPOTENT
    if message.opt.observe == OBSERVE_OPEN:
        return RequestKind.LINE_OPEN
    if message.opt.observe == OBSERVE_CLOSE:
        return RequestKind.LINE_CLOSE
    return RequestKind.IDEMPOTENT


def _remaining_ms(message):
    options = message.opt.get_option(_REMAINING_MS)
    if not options:
        return DEFAULT_REMAINING_MS
    return min(int.from_bytes(options[0].value, "big"), MAX_REMAINING_MS)


def encode_answer(action: AnswerCaller, message_id):
    """Encode the final answer to a request.

    Args:
        action: The answer and the request that it belongs to.
        message_id: Message id of the datagram unless it is an acknowledgement.

    Returns:
        The datagram, or ``Malformed`` when the target's datagram to forward can't
        be decoded.
    """
    message = _answer_message(action.answer)
    if isinstance(message, Malformed):
        return message
    reply_to = action.reply_to
    message.mtype = ACK if reply_to.confirmable else NON
    message.mid = reply_to.message_id if reply_to.confirmable else message_id
    message.token = reply_to.token
    if action.echo:
        message.opt.echo = action.echo
    return message.encode()


@singledispatch
def _answer_message(answer):
    raise TypeError(f"{type(answer).__name__} isn't an answer to a caller")


@_answer_message.register
def _(answer: Forwarded):
    message = decode_message(answer.body)
    if isinstance(message, Malformed):
        return message
    message.direction = Direction.OUTGOING
    # A caller couldn't distinguish an upstream's Echo from the balancer's.
    message.opt.echo = None
    message.opt.observe = _wrap_sequence(answer.sequence)
    return message


@_answer_message.register
def _(answer: NeedEcho):
    return Message(code=codes.UNAUTHORIZED)


@_answer_message.register
def _(answer: Refused):
    message = Message(code=codes.SERVICE_UNAVAILABLE)
    message.opt.max_age = max(0, answer.retry_after_s)
    message.payload = _diagnostic(answer.reason)
    return message


@_answer_message.register
def _(answer: Unknown):
    return Message(code=codes.GATEWAY_TIMEOUT, payload=_diagnostic(answer.reason))


@_answer_message.register
def _(answer: Rejected):
    return Message(code=codes.BAD_REQUEST, payload=_diagnostic(answer.reason))


def _diagnostic(reason):
    text = reason.encode("utf-8", "replace")[:MAX_DIAGNOSTIC_BYTES]
    # Truncation may have split a character.
    return text.decode("utf-8", "ignore").encode()


def _wrap_sequence(sequence):
    return None if sequence is None else sequence % OBSERVE_MODULUS


def encode_notification(action: NotifyCaller):
    """Encode a notification on an open line.

    Args:
        action: The notification, with the upstream's datagram.

    Returns:
        The datagram, or ``Malformed`` when the upstream's datagram can't be decoded.
    """
    message = decode_message(action.body)
    if isinstance(message, Malformed):
        return message
    message.direction = Direction.OUTGOING
    message.mtype = CON if action.confirmable else NON
    message.mid = action.message_id
    message.token = action.token
    message.opt.echo = action.echo or None
    # An error ends the line, so it carries no sequence number (RFC 7641, 3.2).
    ends_line = not message.code.is_successful()
    message.opt.observe = None if ends_line else _wrap_sequence(action.sequence)
    return message.encode()


def encode_upstream(action: SendUpstream, message_id):
    """Encode a request to a target.

    Args:
        action: The request, with the caller's datagram.
        message_id: Message id of the datagram.

    Returns:
        The datagram, or ``Malformed`` when the caller's datagram can't be decoded.
    """
    message = decode_message(action.body)
    if isinstance(message, Malformed):
        return message
    message.direction = Direction.OUTGOING
    message.mtype = NON
    message.mid = message_id
    message.token = action.token
    for number in _HOP_BY_HOP_OPTIONS:
        message.opt.delete_option(number)
    _set_hop_by_hop_options(message, action.host, action.remaining_ms)
    message.opt.observe = _OBSERVE_BY_KIND[action.kind]
    return message.encode()


def encode_get(path, host, token, message_id, remaining_ms):
    """Encode a GET that the balancer itself sends to a target.

    Args:
        path: Segments of the URI path.
        host: Value of Uri-Host, ``service.workspace``.
        token: Token of the exchange.
        message_id: Message id of the datagram.
        remaining_ms: Time left until its deadline.

    Returns:
        The datagram.
    """
    message = Message(code=codes.GET)
    message.mtype = NON
    message.mid = message_id
    message.token = token
    message.opt.uri_path = path
    _set_hop_by_hop_options(message, host, remaining_ms)
    return message.encode()


def _set_hop_by_hop_options(message, host, remaining_ms):
    message.opt.uri_host = host
    left_ms = min(max(0, remaining_ms), MAX_REMAINING_MS)
    value = left_ms.to_bytes((left_ms.bit_length() + 7) // 8, "big")
    message.opt.add_option(_REMAINING_MS.create_option(value=value))


def decode_upstream(data):
    """Decode a datagram that came from a target.

    Args:
        data: The whole datagram.

    Returns:
        ``UpstreamDatagram`` or ``Malformed``.
    """
    message = decode_message(data)
    if isinstance(message, Malformed):
        return message
    if not message.code.is_response() or message.mtype == RST:
        return Malformed("the datagram isn't a response")
    shed = message.code == codes.SERVICE_UNAVAILABLE
    max_age_s = message.opt.max_age
    if max_age_s is None:
        max_age_s = DEFAULT_RETRY_AFTER_S
    return UpstreamDatagram(
        message.token,
        ReplyStatus.SHED if shed else ReplyStatus.ANSWERED,
        message.opt.observe is not None,
        max_age_s if shed else 0,
        message.mtype == CON,
        message.mid,
    )


def decode_content(data):
    """Return the payload of a 2.05 answer, or ``Malformed``."""
    message = decode_message(data)
    if isinstance(message, Malformed):
        return message
    if message.code != codes.CONTENT:
        return Malformed(f"answered {message.code.dotted}")
    return message.payload


def encode_empty(mtype, message_id):
    """Encode an empty acknowledgement or reset of the message id."""
    message = Message(code=codes.EMPTY)
    message.mtype = mtype
    message.mid = message_id
    return message.encode()
