"""The state of one balancer."""

from enum import Enum
from typing import NamedTuple

from lagoontally_model import Template, Timing

from ._decision_log import DecisionLog
from ._dispatch_table import DispatchTable
from ._members import Membership
from ._timers import Timers

FIRST_PATH = 0
INITIAL_RETRY_TOKENS = 2.0
NO_MESSAGE_ID = -1


class Phase(Enum):
    """Lifecycle phase, which decides whether new work is accepted."""

    JOINING = "joining"
    SERVING = "serving"
    LEAVING = "leaving"
    LEFT = "left"


class Identity(Enum):
    """Whether a target has confirmed the service that it serves."""

    ASKED = "asked"
    CONFIRMED = "confirmed"
    FOREIGN = "foreign"


class SelfInfo(NamedTuple):
    """Identity and addresses of this balancer.

    Attributes:
        incarnation: Random 64-bit number drawn at the start.
        name: Instance name.
        workspace: The workspace that it serves.
        data_centre: Data centre that it runs in.
        peer_address: ``IP:port`` that receives peer messages.
        echo_key: Random MAC key of this incarnation's Echoes.
        wall_offset_ms: Wall clock minus monotonic clock at the start.
        seeds: Peer addresses to contact whether the platform lists them or not.
    """

    incarnation: int
    name: str
    workspace: str
    data_centre: str
    peer_address: str
    echo_key: bytes
    wall_offset_ms: int
    seeds: tuple[str, ...] = ()


class TargetState:
    """State of one target, as seen by this balancer.

    Attributes:
        address: ``IP:port`` of the target.
        name: Its name in the template.
        service: Name of its service.
        data_centre: Its data centre.
        slots: Number of requests that it runs concurrently.
        leaving: True once it must get no new work.
        identity: Whether it has confirmed its service.
        in_flight: Requests of this balancer that it hasn't answered.
        lines: Lines of this balancer that it serves.
        failures: Unanswered exchanges since the last answer.
        closed_until_ms: It gets no new work before this time.
        last_received_ms: When it last sent anything.
        unanswered_checks: Health checks in a row that it hasn't answered.
        unreachable: True while it doesn't answer health checks.
    """

    __slots__ = (
        "address",
        "closed_until_ms",
        "data_centre",
        "failures",
        "identity",
        "in_flight",
        "last_received_ms",
        "leaving",
        "lines",
        "name",
        "service",
        "slots",
        "unanswered_checks",
        "unreachable",
    )

    def __init__(self, *, address, name, service, data_centre, slots, leaving):
        self.address = address
        self.name = name
        self.service = service
        self.data_centre = data_centre
        self.slots = slots
        self.leaving = leaving
        self.identity = Identity.ASKED
        self.in_flight = 0
        self.lines = 0
        self.failures = 0
        self.closed_until_ms = 0
        self.last_received_ms = 0
        self.unanswered_checks = 0
        self.unreachable = False


class Exchange:
    """An unanswered request to a target.

    Attributes:
        token: Token of the exchange towards the target.
        kind: The ``RequestKind``.
        reply_to: Where the answer goes.
        session: The caller's session; 0 for an idempotent request.
        key: Key of the remembered request, None for an idempotent one.
        body: The caller's datagram.
        target: ``IP:port`` that it was sent to; empty before that.
        dispatcher: Peer address that its outcome is reported to, or empty.
        tried: Targets that shed it or didn't answer it.
        may_have_run: True once one of them may have run it.
        started_ms: When the request arrived.
        deadline_ms: When it times out.
    """

    __slots__ = (
        "body",
        "deadline_ms",
        "dispatcher",
        "key",
        "kind",
        "may_have_run",
        "reply_to",
        "session",
        "started_ms",
        "target",
        "token",
        "tried",
    )

    def __init__(
        self, *, token, kind, reply_to, session, key, body, started_ms, deadline_ms
    ):
        self.token = token
        self.kind = kind
        self.reply_to = reply_to
        self.session = session
        self.key = key
        self.body = body
        self.started_ms = started_ms
        self.deadline_ms = deadline_ms
        self.target = ""
        self.dispatcher = ""
        self.tried = ()
        self.may_have_run = False


class RememberedRequest:
    """A request that may run only once, kept to recognize copies of it.

    Attributes:
        session: The caller's session.
        answer: Its final answer; None while it runs.
        exchange: The exchange that runs it, None once answered.
    """

    __slots__ = ("answer", "exchange", "session")

    def __init__(self, session):
        self.session = session
        self.answer = None
        self.exchange = None


class Line:
    """An open line of which this balancer is the home.

    Attributes:
        flow: The caller's endpoint and service, as last seen.
        session: The session that it belongs to.
        token: The caller's token.
        body: The caller's registration.
        target: ``IP:port`` of the target that serves it.
        path: Number of the local socket that it is registered from.
        upstream_token: Token of the registration at the target.
        replacement: The pending registration that will replace it, or None.
        sequence: Last sequence number sent.
        lease_until_ms: When it is closed unless renewed or acknowledged.
        last_received_ms: When the target last sent anything on it.
        confirmable_sent_ms: When a confirmable notification was last sent.
        message_id: Message id of the last notification.
        confirmable_id: Message id of the last confirmable notification.
        pending_reply: Where the answer to a registration goes, or None.
        unanswered_registrations: Registrations in a row without an answer.
        shed_by: Targets that shed it since it was last taken or put off.
    """

    __slots__ = (
        "body",
        "confirmable_id",
        "confirmable_sent_ms",
        "flow",
        "last_received_ms",
        "lease_until_ms",
        "message_id",
        "path",
        "pending_reply",
        "replacement",
        "sequence",
        "session",
        "shed_by",
        "target",
        "token",
        "unanswered_registrations",
        "upstream_token",
    )

    def __init__(self, *, flow, session, token, body, now_ms, lease_until_ms):
        self.flow = flow
        self.session = session
        self.token = token
        self.body = body
        self.target = ""
        self.path = FIRST_PATH
        self.upstream_token = b""
        self.replacement = None
        self.sequence = 0
        self.lease_until_ms = lease_until_ms
        self.last_received_ms = now_ms
        self.confirmable_sent_ms = now_ms
        self.message_id = NO_MESSAGE_ID
        self.confirmable_id = NO_MESSAGE_ID
        self.pending_reply = None
        self.unanswered_registrations = 0
        self.shed_by = ()


class FlowLines:
    """The open lines of one flow.

    Attributes:
        lines: The lines.
        counter: Counter of the flow's notifications, used in message ids.
    """

    __slots__ = ("counter", "lines")

    def __init__(self, counter):
        self.lines = []
        self.counter = counter


class Registration(NamedTuple):
    """An unanswered registration that is to replace a line's current one.

    Attributes:
        target: ``IP:port`` of the target.
        path: Number of the local socket that it was sent from.
        token: Its token.
        sent_ms: When it was sent.
    """

    target: str
    path: int
    token: bytes
    sent_ms: int


class State:
    """Everything that a balancer's decisions depend on.

    Attributes:
        info: Identity and addresses of this balancer.
        timing: Its time limits.
        phase: Whether it joins, serves or leaves.
        clock_ms: Time of the latest step; None before the first.
        resumed_ms: When the latest pause was detected.
        pause_count: Number of pauses detected so far.
        next_list_ms: When the platform's list is read next.
        unknown_homes: Requests that wait for an unknown home, by incarnation.
        welcomed: True once a ``Welcome`` has arrived.
        refreshed: False after a pause until the view has been refreshed.
        template: The template in force, or None.
        sections: The encoded sections of the template in force, by name.
        digest: Digest of the whole document.
        targets: The workspace's targets by address.
        service_targets: Addresses of each service's targets.
        exchanges: Unanswered requests by token.
        remembered: Requests that may run only once, by key.
        lines: Open lines by session and token.
        line_tokens: The line of each registration token.
        flow_lines: The ``FlowLines`` of each flow that has any.
        membership: The other balancers.
        successions: Successors of the balancers that left, by incarnation.
        origins: Incarnations whose requests this balancer has inherited.
        departure: Progress of this balancer's own leave, or None.
        staged: Handovers received and not yet announced.
        timers: Pending timers.
        dispatch: Requests placed as a dispatcher, and the dispatchers in use.
        decision_log: The latest decisions.
        retry_tokens: Retry budget; each retry takes one token.
        newest_path: Number of the local socket opened last.
        path_opened_ms: When it was opened.
    """

    def __init__(self, info: SelfInfo, timing: Timing):
        self.info = info
        self.timing = timing
        self.phase = Phase.JOINING
        self.clock_ms = None
        self.started_ms = None
        self.resumed_ms = 0
        self.pause_count = 0
        self.refreshed = True
        self.template: Template | None = None
        self.sections: dict[str, bytes] = {}
        self.digest = b""
        self.next_list_ms = 0
        self.unknown_homes: dict[int, list] = {}
        self.welcomed = False
        self.targets: dict[str, TargetState] = {}
        self.service_targets: dict[str, list[str]] = {}
        self.exchanges: dict[bytes, Exchange] = {}
        self.remembered: dict[bytes, RememberedRequest] = {}
        self.lines: dict[tuple, Line] = {}
        self.line_tokens: dict[bytes, Line] = {}
        self.flow_lines: dict = {}
        self.membership = Membership(info, timing)
        self.successions = {}
        self.origins = {}
        self.departure = None
        self.staged = {}
        self.timers = Timers()
        self.dispatch = DispatchTable()
        self.decision_log = DecisionLog()
        self.retry_tokens = INITIAL_RETRY_TOKENS
        self.newest_path = FIRST_PATH
        self.path_opened_ms = 0

    @property
    def template_version(self):
        """Version in force; 0 before the first."""
        return self.template.version if self.template else 0
