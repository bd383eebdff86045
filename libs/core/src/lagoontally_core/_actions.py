"""Actions: outputs of the core that the edges execute."""

from enum import IntEnum
from typing import Any, NamedTuple

from ._events import Flow


class ReplyTo(NamedTuple):
    """Destination of an answer and the request that it answers."""

    flow: Flow
    token: bytes
    message_id: int
    confirmable: bool


class Forwarded(NamedTuple):
    """A target's answer, passed on unchanged.

    Attributes:
        body: The target's datagram.
        sequence: The line's sequence number; None where no line is open.
    """

    body: bytes
    sequence: int | None = None


class NeedEcho(NamedTuple):
    """The request wasn't run; the caller repeats it with the given Echo."""

    reason: str


class Refused(NamedTuple):
    """The request wasn't and won't be run; retry after ``retry_after_s``."""

    retry_after_s: int
    reason: str


class Unknown(NamedTuple):
    """The request may or may not have been run."""

    reason: str


class Rejected(NamedTuple):
    """The request is invalid and can't be served."""

    reason: str


Answer = Forwarded | NeedEcho | Refused | Unknown | Rejected


class AnswerCaller(NamedTuple):
    """Send the final answer to a request; ``echo`` may be empty."""

    reply_to: ReplyTo
    answer: Answer
    echo: bytes


class NotifyCaller(NamedTuple):
    """Send a notification on an open line."""

    flow: Flow
    token: bytes
    message_id: int
    confirmable: bool
    sequence: int
    echo: bytes
    body: bytes


class SendKind(IntEnum):
    """Kinds of datagrams sent to a target."""

    REQUEST = 0
    LINE_OPEN = 1
    LINE_CLOSE = 2


class SendUpstream(NamedTuple):
    """Send a request to a target in one datagram, without retransmission.

    Attributes:
        target: ``IP:port`` of the target.
        path: Number of the local socket; an unused number opens a new one.
        token: Token of the exchange, 8 bytes.
        kind: Whether it opens or closes a line.
        host: ``service.workspace``, sent to the target as the host.
        remaining_ms: Time left to the deadline at this hop.
        body: The caller's datagram.
    """

    target: str
    path: int
    token: bytes
    kind: SendKind
    host: str
    remaining_ms: int
    body: bytes


class AskIdentity(NamedTuple):
    """Query which workspace and service a target serves."""

    target: str
    host: str


class SendPeer(NamedTuple):
    """Send a message to another balancer; it may be lost."""

    peer_address: str
    message: Any


class ServeEntries(NamedTuple):
    """Accept callers' packets at these ports only.

    Attributes:
        ports: The entry port of each service.
    """

    ports: dict[str, int]


class ReadTemplate(NamedTuple):
    """Read the template from the platform now."""

    reason: str


class ReadInstances(NamedTuple):
    """Read the platform's list of instances now."""


class Count(NamedTuple):
    """Add to a counter."""

    name: str
    value: int = 1


class RecordLatency(NamedTuple):
    """Add a latency to the histogram of a service and request kind."""

    service: str
    kind: str
    latency_ms: int


class LogChange(NamedTuple):
    """Log a change of state.

    Attributes:
        level: Name of a level of ``logging``.
        text: What changed.
        fields: Names and values logged with it.
    """

    level: str
    text: str
    fields: dict[str, Any]


class AnswerOperator(NamedTuple):
    """Answer an operator's query with plain data."""

    query_id: int
    result: dict[str, Any]


class Stop(NamedTuple):
    """The balancer has left: end the process."""
