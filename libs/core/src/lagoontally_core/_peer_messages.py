"""Messages between balancers.

Each is a ``NamedTuple`` of plain data, so that a typed codec can encode it.
Incarnations are random 64-bit numbers, drawn when a balancer starts.
"""

from typing import NamedTuple

from ._events import Flow, Request
from ._member_status import MemberStatus


class MemberRecord(NamedTuple):
    """State of one balancer, as gossiped between members.

    Attributes:
        incarnation: The balancer's incarnation.
        name: Its instance name.
        data_centre: Its data centre.
        peer_address: ``IP:port`` that takes peer messages.
        status: Its ``MemberStatus``.
        revision: Rises each time the balancer refutes a suspicion or changes.
        pause_count: Pauses of its process that it has noticed.
        template_version: The version that it has in force.
    """

    incarnation: int
    name: str
    data_centre: str
    peer_address: str
    status: MemberStatus
    revision: int
    pause_count: int
    template_version: int


class Ping(NamedTuple):
    """Asks whether a balancer is alive; carries member updates."""

    number: int
    sender: MemberRecord
    updates: list[MemberRecord]
    successions: list["Succession"]


class PingAck(NamedTuple):
    """Answers a ping; also forwarded to the requester of an indirect probe."""

    number: int
    subject: int
    sender: MemberRecord
    updates: list[MemberRecord]
    successions: list["Succession"]


class PingRequest(NamedTuple):
    """Requests an indirect probe of ``subject_address``."""

    number: int
    sender: MemberRecord
    subject: int
    subject_address: str


class Join(NamedTuple):
    """Introduces a balancer; answered with ``Welcome``."""

    sender: MemberRecord


class Welcome(NamedTuple):
    """Every member and succession that the sender knows."""

    sender: MemberRecord
    members: list[MemberRecord]
    successions: list["Succession"]


class Relay(NamedTuple):
    """Forwards a request from the ingress that received it to its flow's home.

    Attributes:
        home: The incarnation that the Echo names.
        pause_count: The home's, as known at the ingress; the home discards the
            request when it differs from its own.
        flow: The caller's endpoint and service.
        request: The request, with the time left as measured at the ingress.
    """

    home: int
    pause_count: int
    flow: Flow
    request: Request


class RelayAck(NamedTuple):
    """Forwards a caller's acknowledgement or reset to the home of a line."""

    flow: Flow
    message_id: int
    reset: bool


class RelayFresh(NamedTuple):
    """Forwards a request that the sender won't run, to be handled as new.

    The receiver answers it as a request without an Echo.
    """

    flow: Flow
    request: Request


class RememberedRecord(NamedTuple):
    """One remembered request, as handed to a successor.

    Attributes:
        key: Digest of the service and of the request's datagram.
        session: The session that it belongs to.
        answer_kind: Name of the answer's type; ``Unknown`` when unanswered.
        answer_body: The target's datagram, for a forwarded answer.
        retry_after_s: When to retry, for a refusal.
        remaining_ms: How long it stays remembered.
    """

    key: bytes
    session: int
    answer_kind: str
    answer_body: bytes
    retry_after_s: int
    remaining_ms: int


class LineRecord(NamedTuple):
    """One open line, as handed to a successor.

    Attributes:
        flow: The caller's endpoint and service.
        session: The session that it belongs to.
        token: The caller's token.
        sequence: The last sequence number used.
        target: ``IP:port`` of the target that serves the line.
        remaining_ms: Time left of the line's lease.
        body: The caller's registration.
    """

    flow: Flow
    session: int
    token: bytes
    sequence: int
    target: str
    remaining_ms: int
    body: bytes


class HandoverPart(NamedTuple):
    """A part of what a leaving balancer hands to one successor.

    Attributes:
        predecessor: The incarnation that leaves.
        predecessor_address: ``IP:port`` that acknowledgements go to.
        attempt: Number of the attempt; parts of an earlier one are void.
        part: Number of this part, from 0.
        parts: Number of parts.
        echo_key: The key of the predecessor's Echoes.
        echo_clock_ms: The predecessor's clock, which its Echoes are dated by.
        origins: Earlier incarnations whose requests it has inherited.
        lines: Open lines.
        remembered: Remembered requests.
    """

    predecessor: int
    predecessor_address: str
    attempt: int
    part: int
    parts: int
    echo_key: bytes
    echo_clock_ms: int
    origins: list["Origin"]
    lines: list[LineRecord]
    remembered: list[RememberedRecord]


class Origin(NamedTuple):
    """An earlier incarnation whose Echoes a successor can verify.

    Attributes:
        incarnation: The incarnation that left.
        echo_key: The key of its Echoes.
        echo_clock_ms: Its clock, which its Echoes are dated by, when sent.
        successors: The incarnations among which its flows were spread.
        accepted: Successors that accepted their share, and that, if they have
            left since, handed it on along the chain of this handover.
    """

    incarnation: int
    echo_key: bytes
    echo_clock_ms: int
    successors: list[int]
    accepted: list[int]


class HandoverAck(NamedTuple):
    """Acknowledges one part of a handover."""

    predecessor: int
    successor: int
    attempt: int
    part: int


class Succession(NamedTuple):
    """Announces which balancers answer for one that has left.

    Attributes:
        predecessor: The incarnation that left.
        successors: Incarnations among which its flows are spread by rendezvous.
        age_ms: How long ago it was announced.
    """

    predecessor: int
    successors: list[int]
    age_ms: int


class SuccessionAck(NamedTuple):
    """Confirms that a successor has accepted its share of a succession."""

    predecessor: int
    successor: int


class TemplateDigest(NamedTuple):
    """Announces the template that a balancer has in force.

    Attributes:
        version: Version in force.
        digest: Digest of the whole document.
    """

    version: int
    digest: bytes


class TemplateWant(NamedTuple):
    """Requests the sections that differ from those held.

    Attributes:
        version: Version in force at the sender; 0 for none.
        sections: Digest of each section that the sender holds, by name.
    """

    version: int
    sections: dict[str, bytes]


class TemplateSections(NamedTuple):
    """The sections that the requesting balancer lacks.

    Attributes:
        version: Version of the document.
        digest: Digest of the whole document.
        order: Names of all its sections.
        sections: The encoded sections that differ.
    """

    version: int
    digest: bytes
    order: list[str]
    sections: dict[str, bytes]


class PlaceAsk(NamedTuple):
    """Requests a target from the dispatcher of a service.

    Attributes:
        token: Token of the request's exchange.
        service: Name of the service.
        kind: A value of ``RequestKind``.
        caller: ``IP:port`` of the caller.
        preferred: ``IP:port`` of the target that the flow is kept on, or empty.
        tried: ``IP:port`` of targets that must not be chosen.
        remaining_ms: Time left until the request's deadline.
    """

    token: bytes
    service: str
    kind: int
    caller: str
    preferred: str
    tried: list[str]
    remaining_ms: int


class Placed(NamedTuple):
    """The dispatcher's selection.

    Attributes:
        token: Token of the request's exchange.
        target: ``IP:port`` of the target; empty when there is none.
        refusal: Why the request must not be sent now, or empty.
    """

    token: bytes
    target: str
    refusal: str


class PlaceDone(NamedTuple):
    """Notifies the dispatcher that a placed request has ended.

    Attributes:
        token: Token of the request's exchange.
        outcome: A value of ``Outcome``.
    """

    token: bytes
    outcome: int


# The message types; the other types are only parts of them.
PEER_MESSAGES = (
    HandoverAck,
    HandoverPart,
    Join,
    Ping,
    PingAck,
    PingRequest,
    PlaceAsk,
    Placed,
    PlaceDone,
    Relay,
    RelayAck,
    RelayFresh,
    Succession,
    SuccessionAck,
    TemplateDigest,
    TemplateSections,
    TemplateWant,
    Welcome,
)
