"""Steps for decisions that are executed late."""

from unittest.mock import Mock

from behave import then, when

from lagoontally_core import SendDiscarded, SendKind, SendUpstream
from lagoontally_daemon._action_executor import ActionExecutor
from lagoontally_edges import monotonic_ms

TOKEN = b"12345678"
REQUEST = SendUpstream("127.0.0.1:7001", 0, TOKEN, SendKind.REQUEST, "a.b", 4_000, b"")


@when("a request that was decided {age_ms:d} ms ago is executed")
def step_execute(context, age_ms):
    """The executor sees the time of the decision."""
    context.edges, context.posted = Mock(), []
    executor = ActionExecutor(
        edges=context.edges, stop=None, post=context.posted.append
    )
    executor.execute(REQUEST, monotonic_ms() - age_ms)


@then("it is sent")
def step_sent(context):
    """The edge towards targets gets it."""
    context.edges.upstreams.send.assert_called_once_with(REQUEST)
    assert not context.posted


@then("it isn't sent, and the core hears so")
def step_not_sent(context):
    """Its caller needn't wait until the deadline."""
    context.edges.upstreams.send.assert_not_called()
    assert context.posted == [SendDiscarded(TOKEN)]
