"""The state of one balancer."""

from enum import Enum
from typing import NamedTuple

from lagoontally_model import Template, Timing

from ._decision_log import DecisionLog
from ._dispatch_book import DispatchBook
from ._members import Membership
from ._timers import Timers

FIRST_PATH = 0
FIRST_RETRY_TOKENS = 2.0
NO_MESSAGE_ID = -1


class Phase(Enum):
    """What the balancer does with new work."""

    JOINING = "joining"
    SERVING = "serving"
    LEAVING = "leaving"
    LEFT = "left"


class Identity(Enum):
    """Whether a target has proved which service it serves."""

    ASKED = "asked"
    CONFIRMED = "confirmed"
    FOREIGN = "foreign"


class SelfInfo(NamedTuple):
    """Who this balancer is.

    Attributes:
        incarnation: Random 64-bit number drawn at the start.
        name: Instance name.
        workspace: The workspace that it serves.
        data_centre: Data centre that it runs in.
        peer_address: ``IP:port`` that takes peer messages.
        echo_key: Random key of this incarnation's Echoes.
        wall_offset_ms: Wall clock minus monotonic clock at the start.
        seeds: Peer addresses to greet whatever the platform lists.
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
    """What this balancer knows of one target.

    Attributes:
        address: ``IP:port`` of the target.
        name: Its name in the template.
        service: Name of the service that it stands behind.
        data_centre: Its data centre.
        slots: Requests that it runs at the same time.
        leaving: True once it must get no new work.
        identity: Whether it has proved its service.
        in_flight: Requests of this balancer that it hasn't answered.
        lines: Lines of this balancer that it serves.
        failures: Exchanges without an answer since the last answer.
        closed_until_ms: It gets no new work before this time.
        heard_ms: When it was last heard.
        misses: Questions in a row that it hasn't answered.
        unreachable: True while it answers nothing.
    """

    __slots__ = (
        "address",
        "closed_until_ms",
        "data_centre",
        "failures",
        "heard_ms",
        "identity",
        "in_flight",
        "leaving",
        "lines",
        "misses",
        "name",
        "service",
        "slots",
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
        self.heard_ms = 0
        self.misses = 0
        self.unreachable = False


class Exchange:
    """A request sent to a target that hasn't been answered.

    Attributes:
        token: Token of the exchange towards the target.
        kind: The ``RequestKind``.
        reply_to: Where the answer goes.
        session: The session that it came in; 0 for an idempotent one.
        key: Key of the remembered request, None for an idempotent one.
        body: The caller's datagram.
        target: ``IP:port`` that it was sent to; empty before that.
        dispatcher: Where the end of it is told; empty when nowhere.
        tried: Targets that shed it or didn't answer it.
        uncertain: True once one of them may have run it.
        started_ms: When the request arrived.
        deadline_ms: When it is given up.
    """

    __slots__ = (
        "body",
        "deadline_ms",
        "dispatcher",
        "key",
        "kind",
        "reply_to",
        "session",
        "started_ms",
        "target",
        "token",
        "tried",
        "uncertain",
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
        self.uncertain = False


class Remembered:
    """A request that may run only once, from its arrival until it is forgotten.

    Attributes:
        session: The session that it came in.
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
        path: Local socket that it is registered from.
        upstream_token: Token of the registration at the target.
        successor: The registration that is to replace it, or None.
        sequence: Last sequence number sent.
        lease_until_ms: The line is closed unless renewed or acknowledged.
        heard_ms: When the target was last heard on it.
        confirmed_ms: When a confirmable notification was last sent.
        message_id: Message id of the last notification.
        confirm_id: Message id of the last confirmable notification.
        pending_reply: Where the answer to a registration goes, or None.
        missed: Refreshes that the target hasn't answered.
    """

    __slots__ = (
        "body",
        "confirm_id",
        "confirmed_ms",
        "flow",
        "heard_ms",
        "lease_until_ms",
        "message_id",
        "missed",
        "path",
        "pending_reply",
        "sequence",
        "session",
        "successor",
        "target",
        "token",
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
        self.successor = None
        self.sequence = 0
        self.lease_until_ms = lease_until_ms
        self.heard_ms = now_ms
        self.confirmed_ms = now_ms
        self.message_id = NO_MESSAGE_ID
        self.confirm_id = NO_MESSAGE_ID
        self.pending_reply = None
        self.missed = 0


class FlowLines:
    """The open lines of one flow.

    Attributes:
        lines: The lines.
        counter: Counts the flow's notifications.
    """

    __slots__ = ("counter", "lines")

    def __init__(self, counter):
        self.lines = []
        self.counter = counter


class Registration(NamedTuple):
    """A line's registration at another target, not answered yet.

    Attributes:
        target: ``IP:port`` of the target.
        path: Local socket that it was sent from.
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
        info: Who this balancer is.
        timing: Its time limits.
        phase: What it does with new work.
        clock_ms: Time of the latest step; None before the first.
        resumed_ms: When the latest pause was noticed.
        wake: Pauses noticed so far.
        listed_alone: True while the platform lists this balancer and no other.
        next_list_ms: When the platform's list is read next, while joining.
        strangers: Requests that wait for an unknown home, by incarnation.
        welcomed: True once a peer has told what it knows.
        refreshed: False after a pause, until its view has been refreshed.
        template: The template in force, or None.
        sections: The encoded sections of the template in force, by name.
        digest: Digest of the whole document.
        targets: The workspace's targets by address.
        service_targets: Addresses of each service's targets.
        exchanges: Unanswered requests by their token.
        remembered: Requests that may run only once, by key.
        lines: Open lines by session and token.
        line_tokens: The line of each registration token.
        flow_lines: The ``FlowLines`` of each flow that has any.
        membership: The other balancers.
        successions: Heirs of the balancers that left, by incarnation.
        origins: Incarnations whose requests this balancer has inherited.
        departure: The progress of its own leave, or None.
        staged: Handovers received and not yet announced.
        timers: What is due at a later time.
        dispatch: What it placed as a dispatcher, and which ones it asks.
        journal: The latest decisions.
        retry_tokens: Retries that may be made now.
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
        self.listed_alone = False
        self.next_list_ms = 0
        self.strangers: dict[int, list] = {}
        self.welcomed = False
        self.targets: dict[str, TargetState] = {}
        self.service_targets: dict[str, list[str]] = {}
        self.exchanges: dict[bytes, Exchange] = {}
        self.remembered: dict[bytes, Remembered] = {}
        self.lines: dict[tuple, Line] = {}
        self.line_tokens: dict[bytes, Line] = {}
        self.flow_lines: dict = {}
        self.membership = Membership(info, timing)
        self.successions = {}
        self.origins = {}
        self.departure = None
        self.staged = {}
        self.timers = Timers()
        self.dispatch = DispatchBook()
        self.journal = DecisionLog()
        self.retry_tokens = FIRST_RETRY_TOKENS
        self.newest_path = FIRST_PATH
        self.path_opened_ms = 0

    @property
    def template_version(self):
        """Version in force; 0 before the first."""
        return self.template.version if self.template else 0
