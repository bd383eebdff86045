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
