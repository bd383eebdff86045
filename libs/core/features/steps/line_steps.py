"""Steps for open lines at their home."""

from behave import given, then, when
from fixtures import SERVICE, TARGETS

from lagoontally_core import Refused, SendKind

LINE_OPEN, LINE_CLOSE = SendKind.LINE_OPEN, SendKind.LINE_CLOSE
STEP_MS, PATIENCE_MS = 100, 4_000
MOST_ASKED = 100  # more are registrations without end


@given("an open line")
def step_line(context):
    """A target has answered the registration."""
    context.sent = context.core.open_line()
    step_notifies(context)


@when("the target notifies")
def step_notifies(context):
    """A notification carries the registration's token."""
    context.core.notify(context.sent)


@when("the target sends nothing for {duration_ms:d} ms")
def step_quiet(context, duration_ms):
    """Advance the clock without a notification."""
    context.core.wait(duration_ms)


@then("nothing is sent to a target for the line")
def step_untouched(context):
    """The line is neither refreshed nor moved."""
    assert not context.core.sent_upstream(), context.core.sent_upstream()


@then("its registration is refreshed, with the same token")
def step_refreshed(context):
    """A refresh is a registration with the same token and socket."""
    (sent,) = context.core.sent_upstream()
    assert sent.kind is SendKind.LINE_OPEN, sent
    assert (sent.token, sent.path) == (context.sent.token, context.sent.path)


@then("it is registered again, from another socket")
def step_registered_again(context):
    """A new socket may get through where the old one's path is broken."""
    refresh, replacement = context.core.sent_upstream()
    assert refresh.token == context.sent.token, refresh
    assert replacement.kind is SendKind.LINE_OPEN, replacement
    assert replacement.token != context.sent.token
    assert replacement.path != context.sent.path


@given("{count:d} targets")
@given("{count:d} targets, {leaving:d} of which is leaving")
def step_targets(context, count, leaving=0):
    """The line is at the first one."""
    assert context.sent.target == TARGETS[SERVICE]
    context.core.read_template(2, targets=count, leaving=leaving)
    context.core.confirm_targets(count)


@when("a caller opens another line, and every target sheds what it gets")
def step_shed_line(context):
    """Until nothing is sent any more."""
    context.asked = []
    context.core.open_line()
    shed_registrations(context, 1)


@when(
    "every target sheds what it gets for {duration_ms:d} ms, and wants {pause_s:d} s "
    "of pause"
)
def step_shed_for(context, duration_ms, pause_s):
    """The line's own target goes on serving it."""
    context.asked = []
    until_ms = context.core.now_ms + duration_ms
    while context.core.now_ms < until_ms:
        context.core.wait(STEP_MS)
        shed_registrations(context, pause_s)


def shed_registrations(context, pause_s):
    """Shed the registrations among the latest actions, and what follows."""
    while registrations := [
        sent for sent in context.core.sent_upstream() if sent.kind is LINE_OPEN
    ]:
        context.asked += [sent.target for sent in registrations]
        assert len(context.asked) <= MOST_ASKED, context.asked
        context.core.shed(registrations[0], pause_s)


@when("a target takes the line")
def step_taken(context):
    """The next one that is asked."""
    for _ in range(PATIENCE_MS // STEP_MS):
        context.core.wait(STEP_MS)
        opened = [one for one in context.core.sent_upstream() if one.kind is LINE_OPEN]
        if opened:
            context.core.notify(opened[0])
            return
    raise AssertionError("no target was asked")


@then("each target was asked once")
def step_asked_once(context):
    """A target that has shed a line isn't asked again at once."""
    assert len(context.asked) == len(set(context.asked)) == 3, context.asked


@then("the {count:d} others were asked at most {most:d} times each")
def step_asked(context, count, most):
    """After each pause once."""
    times = [context.asked.count(target) for target in set(context.asked)]
    assert len(times) == count and max(times) <= most, context.asked


@then("the caller is refused")
def step_refused(context):
    """It can come back."""
    (answer,) = context.core.answers()
    assert isinstance(answer.answer, Refused), answer


@then("it has left the target that is leaving")
def step_left(context):
    """The former registration is cancelled."""
    closed = [one for one in context.core.sent_upstream() if one.kind is LINE_CLOSE]
    assert [one.target for one in closed] == [TARGETS[SERVICE]], closed
