"""Messages between balancers.

Each is a ``NamedTuple`` whose fields are plain data, so that a typed codec can
carry it. Incarnations are random 64-bit numbers, drawn when a balancer starts.
"""

from typing import NamedTuple

from ._events import Flow, Request


class MemberRecord(NamedTuple):
    """What is known of one balancer.

    Attributes:
        incarnation: The balancer's incarnation.
        name: Its instance name.
        data_centre: Its data centre.
        peer_address: ``IP:port`` that takes peer messages.
        status: A ``MemberStatus`` value.
        revision: Rises each time the balancer refutes a suspicion or changes.
        wake: How many pauses it has noticed; a relay names the wake it knows.
        template_version: The version that it has in force.
    """

    incarnation: int
    name: str
    data_centre: str
    peer_address: str
    status: int
    revision: int
    pause_count: int
    template_version: int


class Ping(NamedTuple):
    """Asks whether a balancer is alive; carries news of members."""

    number: int
    sender: MemberRecord
    updates: list[MemberRecord]
    successions: list["Succession"]


class PingAck(NamedTuple):
    """Answers a ping, also on behalf of another balancer."""

    number: int
    subject: int
    sender: MemberRecord
    updates: list[MemberRecord]
    successions: list["Succession"]


class PingRequest(NamedTuple):
    """Asks a third balancer to ping ``subject_address`` in the sender's place."""

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
    """Takes a request, as an ingress received it, to the home of its flow.

    Attributes:
        home: The incarnation that the Echo names.
        wake: The home's wake that the ingress knows; an older one is discarded.
        flow: The caller's endpoint and service.
        request: The request, its time left measured at the ingress.
    """

    home: int
    pause_count: int
    flow: Flow
    request: Request


class RelayAck(NamedTuple):
    """Takes a caller's acknowledgement or reset to the home of a line."""

    flow: Flow
    message_id: int
    reset: bool


class RelayFresh(NamedTuple):
    """Hands a request that the sender won't run to a peer, to start afresh.

    The receiver answers it as a request that came without an Echo.
    """

    flow: Flow
    request: Request


class RememberedRecord(NamedTuple):
    """One remembered request, as handed to an heir.

    Attributes:
        key: Digest of the service and of the request's datagram.
        session: The session that it came in.
        answer_kind: Name of the answer's type; ``Unknown`` while it ran.
        answer_body: The target's datagram, for a forwarded answer.
        retry_after_s: For a refusal.
        remaining_ms: How long it stays remembered.
    """

    key: bytes
    session: int
    answer_kind: str
    answer_body: bytes
    retry_after_s: int
    remaining_ms: int


class LineRecord(NamedTuple):
    """One open line, as handed to an heir.

    Attributes:
        flow: The caller's endpoint and service.
        session: The session that it belongs to.
        token: The caller's token.
        sequence: The last sequence number used.
        target: ``IP:port`` of the target that serves the line.
        remaining_ms: Time left to the line's lease.
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
    """A part of what a leaving balancer hands to one heir.

    Attributes:
        leaver: The incarnation that leaves.
        leaver_address: Where acknowledgements go.
        attempt: Number of the attempt; parts of an earlier one are void.
        part: Number of this part, from 0.
        parts: How many parts there are.
        echo_key: The key of the leaver's Echoes.
        echo_clock_ms: The leaver's clock, in which its Echoes are dated.
        origins: Earlier incarnations whose requests are among them.
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
    """An earlier incarnation whose Echoes an heir can judge.

    Attributes:
        incarnation: The incarnation that left.
        echo_key: The key of its Echoes.
        echo_clock_ms: Its clock, in which its Echoes are dated, at the sending.
        heirs: The incarnations among which its flows were spread.
        takers: Those of the heirs that took up their share, and whose own
            share, if they have left since, is in this handover's line.
    """

    incarnation: int
    echo_key: bytes
    echo_clock_ms: int
    successors: list[int]
    accepted: list[int]


class HandoverAck(NamedTuple):
    """An heir holds one part of a handover."""

    predecessor: int
    successor: int
    attempt: int
    part: int


class Succession(NamedTuple):
    """Announces that the heirs answer for a balancer that has left.

    Attributes:
        leaver: The incarnation that left.
        heirs: Incarnations among which its flows are spread by rendezvous.
        age_ms: How long ago it was announced.
    """

    predecessor: int
    successors: list[int]
    age_ms: int


class SuccessionAck(NamedTuple):
    """An heir has taken up its part of a succession."""

    predecessor: int
    successor: int


class TemplateDigest(NamedTuple):
    """Says which template a balancer has in force.

    Attributes:
        version: Version in force.
        digest: Digest of the whole document.
    """

    version: int
    digest: bytes


class TemplateWant(NamedTuple):
    """Asks for the sections that differ from those held.

    Attributes:
        version: Version in force at the sender; 0 for none.
        sections: Digest of each section that the sender holds, by name.
    """

    version: int
    sections: dict[str, bytes]


class TemplateSections(NamedTuple):
    """The sections that the asking balancer lacks.

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
    """Asks the dispatcher of a service for a target.

    Attributes:
        token: Names the request; that of its exchange.
        service: Name of the service.
        kind: A value of ``RequestKind``.
        caller: ``IP:port`` of the caller.
        preferred: ``IP:port`` of the target that the flow is kept on, or empty.
        tried: ``IP:port`` of targets that must not be chosen.
        remaining_ms: Time left to the request's deadline.
    """

    token: bytes
    service: str
    kind: int
    caller: str
    preferred: str
    tried: list[str]
    remaining_ms: int


class Placed(NamedTuple):
    """The dispatcher's choice.

    Attributes:
        token: Names the request.
        target: ``IP:port`` of the target; empty when there is none.
        refusal: Why the request isn't to be sent now, or empty.
    """

    token: bytes
    target: str
    refusal: str


class PlaceDone(NamedTuple):
    """Tells the dispatcher that a placed request has ended.

    Attributes:
        token: Names the request.
        outcome: A value of ``Outcome``.
    """

    token: bytes
    outcome: int


# Every type that travels by itself; the others are parts of these.
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
