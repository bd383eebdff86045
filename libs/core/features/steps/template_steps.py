"""Steps for templates around pauses, conflicts, and what suspicions say of members."""

from behave import given, then, when
from fixtures import OTHER_PEER, PEER, Core, document, record

from lagoontally_core import (
    PAUSE_MS,
    LogChange,
    Received,
    State,
    TemplateDigest,
    TemplateRead,
    TemplateRejected,
    Welcome,
)
from lagoontally_core._members import MemberStatus
from lagoontally_model import Timing, document_digest, parse_template


@when("version {version:d} is read before a pause and handled after it")
def step_read_before_pause(context, version):
    """The edge doesn't post a version twice unless it is read again."""
    data = document(version)
    handle_after_pause(context.core, TemplateRead(parse_template(data), data))


@given("a balancer that hasn't made a step")
def step_no_step(context):
    """Its edges may already read."""
    context.core = Core()
    context.core.state = State(context.core.state.info, Timing())


@when("version {version:d}, queued before, is handled in its first step")
def step_read_before_first_step(context, version):
    """The first step takes the time of the start for the end of a pause."""
    data = document(version)
    event = TemplateRead(parse_template(data), data)
    context.core.handle_event(Received(context.core.now_ms - 1, event))


@when("a document is rejected before a pause and handled after it")
def step_rejected_before_pause(context):
    """The edge posts a rejection once."""
    handle_after_pause(context.core, TemplateRejected(2, "nothing in it"))


def handle_after_pause(core, event):
    """Handle an event that was queued before a pause."""
    received = Received(core.now_ms, event)
    core.now_ms += PAUSE_MS
    core.handle_event(received)


@then("its view isn't refreshed")
def step_not_refreshed(context):
    """The template may be older than the pause."""
    assert not context.core.state.refreshed


@then("an error names version {version:d}")
def step_error_logged(context, version):
    """The balancer logs the error once."""
    errors = [item.fields["version"] for item in logged_errors(context.core)]
    assert errors == [version], context.core.actions


@then("no error is logged")
def step_no_error(context):
    """Nothing is wrong."""
    assert not logged_errors(context.core), context.core.actions


def logged_errors(core):
    """Return the errors logged among the latest actions."""
    return [item for item in core.actions_of_type(LogChange) if item.level == "ERROR"]


@when("the peer announces another document as version {version:d}")
def step_announce_other(context, version):
    """Two documents were published under one version."""
    context.digest = context.core.state.digest
    message = TemplateDigest(version, document_digest(document(version + 1)))
    context.core.receive_message(context.peer, message)


@when("the peer announces the same document as version {version:d}")
def step_announce_same(context, version):
    """The usual case."""
    message = TemplateDigest(version, document_digest(document(version)))
    context.core.receive_message(context.peer, message)


@then("the document in force stays")
def step_document_stays(context):
    """A balancer keeps the document that it saw first."""
    assert context.core.state.digest == context.digest


@given("a peer that sent version {version:d} and pause count {pauses:d}")
@when("the peer sends version {version:d} and pause count {pauses:d}")
def step_peer_sends(context, version, pauses):
    """A probe contains the sender's record of itself."""
    context.peer = record(PEER, version=version, pause_count=pauses)
    context.core.receive_ping(context.peer)


@given(
    "another peer that suspects the peer, from its record with version {version:d}"
    " and pause count {pauses:d}"
)
@when(
    "another peer suspects it, from its record with version {version:d}"
    " and pause count {pauses:d}"
)
def step_other_suspects(context, version, pauses):
    """The other peer has an older record of it."""
    context.other = record(OTHER_PEER)
    suspected = record(
        PEER, version=version, pause_count=pauses, status=MemberStatus.SUSPECT
    )
    context.core.receive_ping(context.other, updates=[suspected])


@when("the other peer welcomes it with version 1")
def step_other_welcomes(context):
    """The other peer has no newer template."""
    context.core.receive_message(context.other, Welcome(context.other, [], []))


@then("its record has version {version:d} and pause count {pauses:d}")
def step_record_has(context, version, pauses):
    """Both only rise, whichever record came last."""
    known = context.core.state.membership.records[PEER]
    assert (known.template_version, known.pause_count) == (version, pauses), known
