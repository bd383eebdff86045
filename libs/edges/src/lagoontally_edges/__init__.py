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
from ._coap_validation import Malformed
from ._datagrams import BindFailed
from ._logging import configure_logging, log_change
from ._metrics import Metrics, merge_snapshots
from ._operator_edge import OperatorEdge
from ._pause import PAUSE_MS, monotonic_ms
from ._peer_codec import (
    MESSAGE_TYPES,
    DecodeError,
    EncodeError,
    decode_peer,
    encode_peer,
)
from ._peer_edge import PeerEdge
from ._platform_edge import PlatformEdge
from ._platform_http import Document, Unavailable, Unchanged
from ._upstream_edge import UpstreamEdge

__all__ = [
    "MESSAGE_TYPES",
    "PAUSE_MS",
    "Acknowledged",
    "BindFailed",
    "CallerEdge",
    "DecodeError",
    "Document",
    "EncodeError",
    "Malformed",
    "Metrics",
    "OperatorEdge",
    "PeerEdge",
    "PingReceived",
    "PlatformEdge",
    "ResetReceived",
    "Unavailable",
    "Unchanged",
    "UpstreamDatagram",
    "UpstreamEdge",
    "configure_logging",
    "decode_caller_datagram",
    "decode_peer",
    "decode_upstream",
    "encode_answer",
    "encode_notification",
    "encode_peer",
    "encode_upstream",
    "log_change",
    "merge_snapshots",
    "monotonic_ms",
]
