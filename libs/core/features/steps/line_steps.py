"""Steps for open lines at their home."""

from behave import given, then, when

from lagoontally_core import SendKind


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
    """Time passes on the line."""
    context.core.wait(duration_ms)


@then("nothing is sent to a target for the line")
def step_untouched(context):
    """The line is neither refreshed nor moved."""
    assert not context.core.sent_upstream(), context.core.sent_upstream()


@then("its registration is refreshed, with the same token")
def step_refreshed(context):
    """A refresh opens the line that is open."""
    (sent,) = context.core.sent_upstream()
    assert sent.kind is SendKind.LINE_OPEN, sent
    assert (sent.token, sent.path) == (context.sent.token, context.sent.path)


@then("it is registered anew, from another socket")
def step_registered_anew(context):
    """A new socket may have a way where the old one lost its own."""
    refresh, anew = context.core.sent_upstream()
    assert refresh.token == context.sent.token, refresh
    assert anew.kind is SendKind.LINE_OPEN, anew
    assert anew.token != context.sent.token
    assert anew.path != context.sent.path
