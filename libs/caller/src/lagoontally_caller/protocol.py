"""The caller's protocol logic without sockets, threads or a clock."""

from ._codec import (
    ACK,
    CON,
    GET,
    POST,
    PUT,
    RST,
    Block,
    Malformed,
    Request,
    decode_reply,
    encode_empty,
    encode_request,
)
from ._exchange import Exchange
from ._identifiers import EchoStore, Identifiers
from ._line import (
    ANSWER_TIMEOUT_S,
    ChangeSocket,
    Deliver,
    LineState,
    LineStatus,
    SendDatagram,
)

__all__ = [
    "ACK",
    "ANSWER_TIMEOUT_S",
    "CON",
    "GET",
    "POST",
    "PUT",
    "RST",
    "Block",
    "ChangeSocket",
    "Deliver",
    "EchoStore",
    "Exchange",
    "Identifiers",
    "LineState",
    "LineStatus",
    "Malformed",
    "Request",
    "SendDatagram",
    "decode_reply",
    "encode_empty",
    "encode_request",
]
