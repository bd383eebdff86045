"""Steps for joins, templates, membership, handovers and their helpers."""

from behave import given, then, when
from fixtures import OTHER_PEER, PEER, Core, document, record

from lagoontally_core import (
    JOIN_WAIT_MS,
    HandoverPart,
    Instance,
    InstancesRead,
    LeaveRequested,
    Phase,
    Ping,
    ServeEntries,
    Succession,
    TemplateSections,
    Welcome,
)
from lagoontally_core._decision_log import DecisionLog
from lagoontally_core._members import MemberStatus
from lagoontally_core._rendezvous import pick_successor
from lagoontally_core._timers import Timers
from lagoontally_model import (
    document_digest,
    split_sections,
)


@given("a joining balancer that read version {version:d}")
def step_joining(context, version):
    """The first read of the platform may be stale."""
    context.core = Core()
    context.core.read_template(version)


@when("a peer with version {version:d} welcomes it")
def step_welcomed(context, version):
    """A welcome carries the peer's version."""
    context.peer = record(PEER, version=version)
    context.core.receive_message(context.peer, Welcome(context.peer, [], []))


@when("the platform lists it alone")
def step_listed_alone(context):
    """The list lags, so members that started since aren't in it."""
    info = context.core.state.info
    own = Instance(info.name, info.data_centre, info.peer_address, False)
    context.core.handle_event(InstancesRead((own,)))


@when("the time to wait for members has passed")
def step_join_wait(context):
    """No member has answered."""
    context.core.wait(JOIN_WAIT_MS)


@when("time passes")
def step_time(context):
    """Wait less than a joining balancer does at most."""
    context.core.wait(300)


@when("the peer sends it version {version:d}")
@when("a peer sends it version {version:d}")
def step_sections(context, version):
    """Deliver all sections of a peer's template."""
    data = document(version)
    sections = split_sections(data)
    message = TemplateSections(version, document_digest(data), list(sections), sections)
    context.core.receive_message(record(PEER, version=version), message)


@when("the platform answers with version {first:d}, then {second:d}")
def step_reads(context, first, second):
    """Read twice from the platform."""
    context.core.read_template(first)
    context.core.read_template(second)


@when("a peer's probe says that it is suspected")
def step_suspected_by_others(context):
    """A probe's member updates may be about its receiver."""
    own = context.core.state.membership.own_record(0, 1)
    context.revision = own.revision
    updates = [own._replace(status=MemberStatus.SUSPECT)]
    context.peer = record(PEER)
    context.core.receive_ping(context.peer, updates=updates)


@given("a peer that doesn't answer probes")
def step_silent_peer(context):
    """The peer sends one probe and nothing after it."""
    context.peer = record(PEER)
    step_peer_probes(context)


@when("the peer has been unresponsive for {duration_ms:d} ms")
def step_unresponsive(context, duration_ms):
    """Probes go unanswered."""
    context.core.wait(duration_ms)


@when("the peer sends a probe")
def step_peer_probes(context):
    """The peer sends a probe of its own."""
    context.core.receive_ping(context.peer)


@then("it takes no callers' packets")
def step_not_serving(context):
    """A joining balancer opens no entry port."""
    assert context.core.state.phase is Phase.JOINING
    assert not context.core.actions_of_type(ServeEntries), context.core.actions


@then("it serves version {version:d}")
def step_serves(context, version):
    """The balancer serves with the newer version in force."""
    assert context.core.state.phase is Phase.SERVING
    assert context.core.state.template_version == version


@then("version {version:d} is in force")
def step_version(context, version):
    """The version in force is the one named."""
    assert context.core.state.template_version == version


@then("it answers with a higher revision of itself")
def step_refutes(context):
    """The answer to the probe says that it is alive, at a higher revision."""
    (ack,) = context.core.sent_to(context.peer)
    assert ack.sender.status == MemberStatus.ALIVE
    assert ack.sender.revision > context.revision


@then("the peer is {status}")
def step_status(context, status):
    """The peer's record has the status named."""
    actual = context.core.state.membership.records[PEER].status
    expected = {"suspected": "SUSPECT"}.get(status, status.upper())
    assert actual == MemberStatus[expected], actual


@given("another peer")
def step_other_peer(context):
    """A second peer sends one probe."""
    context.other = record(OTHER_PEER)
    context.core.receive_ping(context.other)


@when("it is told to leave, and the peer hands over to it")
def step_both_leave(context):
    """The peer doesn't know yet that this balancer is leaving."""
    context.core.handle_event(LeaveRequested())
    address = context.peer.peer_address
    part = HandoverPart(PEER, address, 1, 0, 1, b"k" * 32, 0, [], [], [])
    context.core.receive_message(context.peer, part)


@then("the peer gets no acknowledgement but a probe that says it is leaving")
def step_declined(context):
    """The peer then retries without this balancer."""
    (message,) = context.core.sent_to(context.peer)
    assert isinstance(message, Ping), message
    assert message.sender.status == MemberStatus.LEAVING, message


@when("it hands over and the first peer announces its own leave")
def step_successor_leaves(context):
    """Both get a part; one of them answers that it is leaving."""
    context.core.handle_event(LeaveRequested())
    context.core.wait(100)
    leaving = MemberStatus.LEAVING
    context.core.receive_ping(context.peer._replace(status=leaving, revision=1))
    context.core.wait(100)


@then("only the other peer gets the next attempt")
def step_next_attempt(context):
    """The next attempt's only successor is the remaining peer."""
    parts = {
        peer.incarnation: [
            item.attempt
            for item in context.core.sent_to(peer)
            if isinstance(item, HandoverPart)
        ]
        for peer in (context.peer, context.other)
    }
    assert parts == {PEER: [], OTHER_PEER: [2]}, parts


@given("the successors 11, 12, 13 and 14 of 200 sessions")
def step_successors(context):
    """Sessions are spread over the successors by rendezvous."""
    context.successors = [11, 12, 13, 14]
    context.sessions = range(200)


@then("their order doesn't matter")
def step_successor_order(context):
    """The successor depends only on the set of successors."""
    reversed_order = context.successors[::-1]
    for session in context.sessions:
        assert pick_successor(session, context.successors) == pick_successor(
            session, reversed_order
        )


@then("without successor {successor:d} only its sessions move")
def step_successor_lost(context, successor):
    """A session keeps its successor while that one remains."""
    remaining = [item for item in context.successors if item != successor]
    for session in context.sessions:
        before = pick_successor(session, context.successors)
        assert before == successor or pick_successor(session, remaining) == before


@given("timers due at 900, 100, 500 and 101 ms")
def step_timers(context):
    """Timers are added in any order."""
    context.timers = Timers()
    for due_ms in (900, 100, 500, 101):
        context.timers.add(due_ms, due_ms)


@when("the time is 499, then 500, then 2000 ms")
def step_take_due(context):
    """Due timers are taken three times."""
    context.taken = [context.timers.take_due(now_ms) for now_ms in (499, 500, 2_000)]


@then("they are returned as 100 101, as 500, and as 900")
def step_taken(context):
    """Each is returned once, never early."""
    assert context.taken == [[100, 101], [500], [900]], context.taken


@given("a decision log of 3 entries that got 5 about two subjects")
def step_decision_log(context):
    """The log is a ring buffer."""
    context.decision_log = DecisionLog(3)
    for number in range(5):
        subject = ("odd:1", "even:2")[number % 2]
        context.decision_log.note(number, (subject,), "done", "so")


@then("the latest of each are found by a part of their subject")
def step_decisions_found(context):
    """The oldest entries have been dropped."""
    found = {
        part: [entry.at_ms for entry in context.decision_log.about(part)]
        for part in ("odd", ":2")
    }
    assert found == {"odd": [2, 4], ":2": [3]}, found


@when("the peer hands over to it, and it is told to leave")
def step_leave_between(context):
    """The leave comes between the acknowledgement and the announcement."""
    address = context.peer.peer_address
    part = HandoverPart(PEER, address, 1, 0, 1, b"k" * 32, 0, [], [], [])
    context.core.receive_message(context.peer, part)
    context.core.handle_event(LeaveRequested())
    context.core.wait(500)


@then("it hands over to the other peer only once the peer has announced it")
def step_accepts_first(context):
    """The inherited origin is part of what is handed over."""
    other = record(OTHER_PEER)
    assert not handover_parts(context.core, other)
    own = context.core.state.info.incarnation
    context.core.receive_message(context.peer, Succession(PEER, [own], 0))
    context.core.wait(200)
    parts = handover_parts(context.core, other)
    assert [origin.incarnation for origin in parts[0].origins] == [PEER], parts


def handover_parts(core, peer):
    """Return the handover parts sent to a peer among the latest actions."""
    return [item for item in core.sent_to(peer) if isinstance(item, HandoverPart)]
