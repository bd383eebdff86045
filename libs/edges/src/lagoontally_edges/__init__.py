"""Sockets, codecs and clients around the core."""

from ._caller_edge import CallerEdge
from ._coap import (
    Acknowledged,
    PingReceived,
    ResetReceived,
    UpstreamDatagram,
    decode_caller_datagram,
    decode_upstream,
    encode_answer,
    encode_notification,
    encode_upstream,
)
from ._coap_checks import Malformed
from ._datagrams import BindFailed
from ._pause import PAUSE_MS, monotonic_ms
from ._peer_codec import (
    MESSAGE_TYPES,
    DecodeError,
    EncodeError,
    decode_peer,
    encode_peer,
)
from ._peer_edge import PeerEdge
from ._upstream_edge import UpstreamEdge

__all__ = [
    "MESSAGE_TYPES",
    "PAUSE_MS",
    "Acknowledged",
    "BindFailed",
    "CallerEdge",
    "DecodeError",
    "EncodeError",
    "Malformed",
    "PeerEdge",
    "PingReceived",
    "ResetReceived",
    "UpstreamDatagram",
    "UpstreamEdge",
    "decode_caller_datagram",
    "decode_peer",
    "decode_upstream",
    "encode_answer",
    "encode_notification",
    "encode_peer",
    "encode_upstream",
    "monotonic_ms",
]
