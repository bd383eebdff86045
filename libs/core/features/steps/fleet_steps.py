"""Steps for balancers among each other: joins, templates, members, helpers."""

from behave import given, then, when
from fixtures import Core, document, record

from lagoontally_core import (
    HandoverPart,
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
from lagoontally_model import document_digest, split_sections

PEER = 3_000_003
OTHER_PEER = 4_000_004


@given("a newcomer that read version {version:d}")
def step_newcomer(context, version):
    """A newcomer's first read of the platform may be stale."""
    context.core = Core()
    context.core.read(version)


@when("a peer with version {version:d} welcomes it")
def step_welcomed(context, version):
    """A welcome tells of the peer's version."""
    context.peer = record(PEER, version=version)
    context.core.tell(context.peer, Welcome(context.peer, [], []))


@when("time passes")
def step_time(context):
    """A few ticks pass, fewer than a newcomer waits at most."""
    context.core.wait(300)


@when("the peer sends it version {version:d}")
@when("a peer sends it version {version:d}")
def step_sections(context, version):
    """A peer sends all sections of its template."""
    data = document(version)
    sections = split_sections(data)
    message = TemplateSections(version, document_digest(data), list(sections), sections)
    context.core.tell(record(PEER, version=version), message)


@when("the platform answers with version {first:d}, then {second:d}")
def step_reads(context, first, second):
    """Two reads of the platform."""
    context.core.read(first)
    context.core.read(second)


@when("a peer spreads that it is suspected")
def step_suspected_by_others(context):
    """A probe's news may be about its receiver."""
    own = context.core.state.membership.own_record(0, 1)
    context.revision = own.revision
    updates = [own._replace(status=MemberStatus.SUSPECT)]
    context.peer = record(PEER)
    context.core.hear(context.peer, updates=updates)


@given("a peer that doesn't answer probes")
def step_silent_peer(context):
    """A peer speaks once."""
    context.peer = record(PEER)
    step_heard(context)


@when("the peer has been silent for {duration_ms:d} ms")
def step_silence(context, duration_ms):
    """Probes go unanswered."""
    context.core.wait(duration_ms)


@when("the peer is heard")
def step_heard(context):
    """The peer sends a probe of its own."""
    context.core.hear(context.peer)


@then("it takes no callers' packets")
def step_not_serving(context):
    """A joining balancer opens no entry port."""
    assert context.core.state.phase is Phase.JOINING
    assert not context.core.of(ServeEntries), context.core.actions


@then("it serves version {version:d}")
def step_serves(context, version):
    """The newcomer opens its entry ports with the newer version."""
    assert context.core.state.phase is Phase.SERVING
    assert context.core.state.template_version == version


@then("version {version:d} is in force")
def step_version(context, version):
    """The version in force is the one named."""
    assert context.core.state.template_version == version


@then("it spreads a higher revision of itself")
def step_refutes(context):
    """The answer to the probe says that it is alive, at a higher revision."""
    (ack,) = context.core.sent_to(context.peer)
    assert ack.sender.status == MemberStatus.ALIVE
    assert ack.sender.revision > context.revision


@then("the peer is {status}")
def step_status(context, status):
    """The membership holds the peer for what is named."""
    held = context.core.state.membership.records[PEER].status
    expected = {"suspected": "SUSPECT"}.get(status, status.upper())
    assert held == MemberStatus[expected], held


@given("another peer")
def step_other_peer(context):
    """A second peer speaks once."""
    context.other = record(OTHER_PEER)
    context.core.hear(context.other)


@when("it is asked to leave, and the peer hands over to it")
def step_both_leave(context):
    """The peer doesn't know yet that this balancer leaves."""
    context.core.take(LeaveRequested())
    address = context.peer.peer_address
    part = HandoverPart(PEER, address, 1, 0, 1, b"k" * 32, 0, [], [], [])
    context.core.tell(context.peer, part)


@then("the peer gets no acknowledgement but the word that it leaves")
def step_declined(context):
    """A leaver that hears this tries without this balancer."""
    (message,) = context.core.sent_to(context.peer)
    assert isinstance(message, Ping), message
    assert message.sender.status == MemberStatus.LEAVING, message


@when("it hands over and the first peer says that it leaves")
def step_heir_leaves(context):
    """Both get a part; one of them answers that it leaves."""
    context.core.take(LeaveRequested())
    context.core.wait(100)
    leaving = MemberStatus.LEAVING
    context.core.hear(context.peer._replace(status=leaving, revision=1))
    context.core.wait(100)


@then("only the other peer gets the next attempt")
def step_next_attempt(context):
    """The next attempt's only heir is the one that stays."""
    parts = {
        peer.incarnation: [
            item.attempt
            for item in context.core.sent_to(peer)
            if isinstance(item, HandoverPart)
        ]
        for peer in (context.peer, context.other)
    }
    assert parts == {PEER: [], OTHER_PEER: [2]}, parts


@given("the heirs 11, 12, 13 and 14 of 200 sessions")
def step_heirs(context):
    """Sessions are spread over the heirs by rendezvous."""
    context.heirs = [11, 12, 13, 14]
    context.sessions = range(200)


@then("their order doesn't matter")
def step_heir_order(context):
    """The heir follows from the set of heirs."""
    turned = context.heirs[::-1]
    for session in context.sessions:
        assert pick_successor(session, context.heirs) == pick_successor(session, turned)


@then("without heir {heir:d} only its sessions move")
def step_heir_lost(context, heir):
    """A session keeps its heir while that one is there."""
    left = [item for item in context.heirs if item != heir]
    for session in context.sessions:
        before = pick_successor(session, context.heirs)
        assert before == heir or pick_successor(session, left) == before


@given("timers due at 900, 100, 500 and 101 ms")
def step_timers(context):
    """Timers are added in any order."""
    context.timers = Timers()
    for due_ms in (900, 100, 500, 101):
        context.timers.add(due_ms, due_ms)


@when("the time is 499, then 500, then 2000 ms")
def step_take_due(context):
    """The due ones are taken three times."""
    context.taken = [context.timers.take_due(now_ms) for now_ms in (499, 500, 2_000)]


@then("they come as 100 101, as 500, and as 900")
def step_taken(context):
    """Each comes once, never early."""
    assert context.taken == [[100, 101], [500], [900]], context.taken


@given("a journal of 3 entries that got 5 about two subjects")
def step_journal(context):
    """The journal is a ring."""
    context.journal = DecisionLog(3)
    for number in range(5):
        subject = ("odd:1", "even:2")[number % 2]
        context.journal.note(number, (subject,), "done", "so")


@then("the latest of each are found by a part of their subject")
def step_journal_found(context):
    """The oldest entries are gone."""
    found = {
        part: [entry.at_ms for entry in context.journal.about(part)]
        for part in ("odd", ":2")
    }
    assert found == {"odd": [2, 4], ":2": [3]}, found


@when("the peer hands over to it, and it is asked to leave")
def step_leave_between(context):
    """The leave comes between the acknowledgement and the announcement."""
    address = context.peer.peer_address
    part = HandoverPart(PEER, address, 1, 0, 1, b"k" * 32, 0, [], [], [])
    context.core.tell(context.peer, part)
    context.core.take(LeaveRequested())
    context.core.wait(500)


@then("it hands over to the other peer only once the peer has announced it")
def step_takes_up_first(context):
    """What was inherited is part of what is handed over."""
    other = record(OTHER_PEER)
    assert not handover_parts(context.core, other)
    own = context.core.state.info.incarnation
    context.core.tell(context.peer, Succession(PEER, [own], 0))
    context.core.wait(200)
    parts = handover_parts(context.core, other)
    assert [origin.incarnation for origin in parts[0].origins] == [PEER], parts


def handover_parts(core, peer):
    """Return the handover's parts sent to a peer among the latest actions."""
    return [item for item in core.sent_to(peer) if isinstance(item, HandoverPart)]
