"""Events: inputs from the edges to the core.

All times are milliseconds of the balancer's own monotonic clock. Payloads are
encoded datagrams that the core doesn't parse.
"""

from enum import Enum, IntEnum
from typing import Any, NamedTuple

from lagoontally_model import Template


class RequestKind(IntEnum):
    """Kinds of requests that the core handles differently."""

    IDEMPOTENT = 0
    COMMAND = 1
    LINE_OPEN = 2
    LINE_CLOSE = 3


class Flow(NamedTuple):
    """A caller's endpoint at one service.

    Attributes:
        service: Name of the service in the balancer's workspace.
        caller: ``IP:port`` that the caller's packets come from.
    """

    service: str
    caller: str


class Request(NamedTuple):
    """A request as a caller sent it.

    Attributes:
        kind: Kind of the request.
        token: The caller's token, 0 to 8 bytes.
        message_id: The message id of this datagram.
        confirmable: True when the answer acknowledges the message id.
        echo: The Echo that the caller returned, empty when there is none.
        remaining_ms: Time left to the caller's deadline.
        body: The whole datagram.
    """

    kind: RequestKind
    token: bytes
    message_id: int
    confirmable: bool
    echo: bytes
    remaining_ms: int
    body: bytes


class ReplyStatus(Enum):
    """Whether an upstream ran the request."""

    ANSWERED = "answered"
    SHED = "shed"


class CallerRequest(NamedTuple):
    """A caller's request has arrived at the entry port of its service."""

    flow: Flow
    request: Request


class CallerAck(NamedTuple):
    """A caller has acknowledged a confirmable notification."""

    flow: Flow
    message_id: int


class CallerReset(NamedTuple):
    """A caller no longer wants the notification with this message id."""

    flow: Flow
    message_id: int


class UpstreamReply(NamedTuple):
    """A target's answer, or a notification of a line.

    Attributes:
        target: ``IP:port`` that the reply came from.
        path: Number of the receiving socket, as in ``SendUpstream``.
        token: The token of the exchange, chosen by this balancer.
        status: Whether the request was run, or shed with the documented refusal.
        observed: True when it belongs to an open line.
        retry_after_s: Retry delay that the target gave when it shed the request.
        body: The whole datagram.
    """

    target: str
    path: int
    token: bytes
    status: ReplyStatus
    observed: bool
    retry_after_s: int
    body: bytes


class IdentityReply(NamedTuple):
    """The workspace and service that a target reports to serve."""

    target: str
    workspace: str
    service: str


class SendDiscarded(NamedTuple):
    """A request wasn't sent to its target, as the process paused after the decision."""

    token: bytes


class PeerMessage(NamedTuple):
    """A message from another balancer, of a type in ``_peer_messages``."""

    sender: int
    message: Any


class TemplateRead(NamedTuple):
    """A valid template was read; ``document`` is its encoded form."""

    template: Template
    document: bytes


class TemplateRejected(NamedTuple):
    """A published template failed validation."""

    version: int
    reason: str


class Instance(NamedTuple):
    """An entry instance on the platform's list.

    Attributes:
        name: Name of the instance.
        data_centre: Data centre that it runs in.
        peer_address: ``IP:port`` that receives peer messages.
        leaving: True when the platform marks it as leaving.
    """

    name: str
    data_centre: str
    peer_address: str
    leaving: bool


class InstancesRead(NamedTuple):
    """The platform's list of entry instances of this workspace was read."""

    instances: tuple[Instance, ...]


class LeaveRequested(NamedTuple):
    """The operator or the host requests this balancer to leave."""


class OperatorQuery(NamedTuple):
    """An operator's query.

    Attributes:
        query_id: Identifies the query in its answer.
        name: ``status``, ``explain`` or ``drain``.
        argument: Subject of ``explain``; otherwise empty.
    """

    query_id: int
    name: str
    argument: str


class Tick(NamedTuple):
    """Clock tick; sent at least every ``TICK_MS`` and when a timer is due."""


class Received(NamedTuple):
    """An event that was queued at ``received_ms``."""

    received_ms: int
    event: Any
