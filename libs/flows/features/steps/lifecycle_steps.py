"""Steps for the start and the end of a balancer."""

from behave import given, then, when

from lagoontally_flows import Lifecycle

GRACE_MS = 6_000
START_MS = 1_000_000


@given("a balancer that has {view}")
def step_lifecycle(context, view):
    """A balancer that hasn't been told to stop."""
    context.lifecycle = Lifecycle(grace_ms=GRACE_MS)
    context.has_view = view == "a view"
    context.isolated = context.cut_off = False
    context.packets_until_ms = 0


@when("it is running")
def step_running(context):
    """The balancer is in its normal state."""


@when("it is isolated")
def step_isolated(context):
    """No target answers it."""
    context.isolated = True


@when("it is cut off")
def step_cut_off(context):
    """Its data centre can't serve its callers."""
    context.cut_off = True


@when("it is told to stop")
def step_stop(context):
    """The platform wants its process to end."""
    context.lifecycle.stop(START_MS)


@when("it is told to stop again {later_ms:d} ms later")
def step_stop_again(context, later_ms):
    """The platform repeats the signal."""
    context.lifecycle.stop(START_MS + later_ms)


@when("packets arrive for {duration_ms:d} ms")
def step_packets(context, duration_ms):
    """Routers continue to send packets."""
    context.packets_until_ms = START_MS + duration_ms


@then("it is ready")
def step_ready(context):
    """Routers may send packets."""
    assert context.lifecycle.ready(
        has_view=context.has_view,
        isolated=context.isolated,
        cut_off=context.cut_off,
    )


@then("it is not ready")
def step_not_ready(context):
    """Routers shouldn't send packets."""
    assert not context.lifecycle.ready(
        has_view=context.has_view,
        isolated=context.isolated,
        cut_off=context.cut_off,
    )


def end_ms(context):
    """Return how long after the signal the process may end."""
    for now_ms in range(START_MS, START_MS + 10_000, 20):
        if now_ms < context.packets_until_ms:
            context.lifecycle.packet_ms = now_ms
        if context.lifecycle.may_end(now_ms):
            return now_ms - START_MS
    return None


@then("it doesn't end within {duration_ms:d} ms")
def step_not_yet(context, duration_ms):
    """It continues to serve."""
    ended_ms = end_ms(context)
    assert ended_ms is None or ended_ms > duration_ms, ended_ms


@then("it ends within {duration_ms:d} ms")
def step_ends(context, duration_ms):
    """It doesn't wait longer than needed."""
    ended_ms = end_ms(context)
    assert ended_ms is not None, "it doesn't end"
    assert ended_ms <= duration_ms, ended_ms
