"""Steps for a data centre that is cut off."""

from behave import then, when


@when("the platform doesn't answer for {duration_ms:d} ms")
def step_silent(context, duration_ms):
    """Neither this balancer nor a reader."""
    context.world.balancer.platform_heard_ms = context.world.now_ms
    context.world.wait(duration_ms)


@when("the platform never answered")
def step_never_heard(context):
    """The view comes from a peer."""
    context.world.balancer.platform_heard_ms = None


@when("the platform has answered, and the targets may be old")
def step_unconfirmed(context):
    """The balancer has just started."""
    context.world.balancer.view_confirmed_ms = None
    context.world.balancer.platform_heard_ms = context.world.now_ms


@when("all remote targets are found dead")
def step_all_dead(context):
    """Probes of all of them fail."""
    for target in context.remote:
        context.world.balancer.on_probe_result(
            target.cookie, "silent", context.world.now_ms
        )
    context.world.collect()


@when("one remote target is found dead")
def step_one_dead(context):
    """The other may be alive."""
    world = context.world
    world.balancer.on_probe_result(context.remote[0].cookie, "silent", world.now_ms)
    world.collect()


@when("{count:d} SYNs are refused")
def step_refused(context, count):
    """No target can take them."""
    for _ in range(count):
        action = context.world.syn(context.world.new_flow())
        assert action.reason == "no_target", action
    context.world.wait(100)


@when("the platform answers again")
def step_heard(context):
    """The cut has ended."""
    context.world.balancer.platform_heard_ms = context.world.now_ms
    context.world.wait(100)


@then("the balancer leaves the rotation")
def step_leaves(context):
    """Routers send its callers to other data centres."""
    assert context.world.balancer.cut_off


@then("the balancer stays in the rotation")
@then("the balancer is back in the rotation")
def step_stays(context):
    """It serves the callers that it can."""
    assert not context.world.balancer.cut_off
