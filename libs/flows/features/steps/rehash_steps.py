"""Steps for several balancers whose flows routers rehash."""

from behave import given, then, when
from fixtures import REQUEST_BYTES, World, make_target

from lagoontally_flows import DealtAnew, FlowReset, Verdict

TICK_MS = 50


@given("{count:d} balancers that share {targets:d} targets")
def step_balancers(context, count, targets):
    """They exchange their verdicts."""
    context.targets = [make_target(number + 1) for number in range(targets)]
    context.worlds = [World(seed=number + 1) for number in range(count)]
    for number, world in enumerate(context.worlds):
        world.next_port += 100 * number
        world.list_targets(*context.targets)
        world.effects.clear()
    context.requesting_flows = []


@when("callers of {count:d} balancers send requests to the same target")
def step_request_same(context, count):
    """Each has its own open flow to that target."""
    context.target = context.targets[0]
    for world in context.worlds:
        target = None
        while target != context.target:
            flow, target = world.open_flow()
        context.requesting_flows.append(flow)
    pass_time(context, 1_000)
    for world, flow in list(zip(context.worlds, context.requesting_flows, strict=True))[
        :count
    ]:
        cookie = context.target.cookie
        world.send(flow, cookie=cookie, ack=5_000, length=REQUEST_BYTES)
    del context.requesting_flows[count:]


@when("routers rehash all flows")
def step_rehash(context):
    """Flows continue through balancers without pending requests."""
    pass_time(context, TICK_MS)
    others = context.worlds[len(context.requesting_flows) :]
    context.new_worlds = others * len(context.requesting_flows)


@when("every request is answered")
def step_all_answered(context):
    """Callers acknowledge the answers, through other balancers."""
    cookie = context.target.cookie
    for world, flow in zip(context.new_worlds, context.requesting_flows, strict=False):
        world.send(flow, cookie=cookie, sequence=269, ack=6_000)


@when("the request of one of them is answered")
def step_one_answered(context):
    """The other acknowledgements are lost."""
    (flow, *_), cookie = context.requesting_flows, context.target.cookie
    context.new_worlds[0].send(flow, cookie=cookie, sequence=269, ack=6_000)


@when("an idle flow sends a request to another target through a new balancer")
def step_idle_request(context):
    """It may have been rehashed long ago."""
    world = context.worlds[-1]
    cookie = context.targets[1].cookie
    world.send(world.new_flow(), cookie=cookie, ack=5_000, length=REQUEST_BYTES)


@when("{duration_ms:d} ms pass at all balancers")
def step_pass_all(context, duration_ms):
    """Verdicts reach the peers meanwhile."""
    pass_time(context, duration_ms)


def pass_time(context, duration_ms):
    """Advance the time at all balancers and deliver their verdicts."""
    spread_verdicts(context)
    for _ in range(0, duration_ms, TICK_MS):
        now_ms = max(world.now_ms for world in context.worlds)
        for world in context.worlds:
            world.now_ms = now_ms
            world.wait(TICK_MS)
        spread_verdicts(context)


def spread_verdicts(context):
    """Deliver verdicts until none are left."""
    sent = True
    while sent:
        sent = False
        for number, world in enumerate(context.worlds):
            others = [other for other in context.worlds if other is not world]
            for verdict in world.take_effects_of(Verdict):
                sent = True
                for other in others:
                    host = f"balancer-{number}"
                    other.balancer.on_verdict(verdict, host, other.now_ms)
                    other.collect()
            if world.take_effects_of(DealtAnew):
                for other in others:
                    other.balancer.on_flows_rehashed(other.now_ms)


@then("no balancer resets a flow")
def step_no_resets(context):
    """The target is alive and has answered."""
    assert not any(world.take_effects_of(FlowReset) for world in context.worlds)


@then("no balancer suspects a target")
def step_no_suspects(context):
    """New flows go to all targets."""
    assert not any(world.balancer.stuck_targets.suspects for world in context.worlds)


@then("all balancers reset its flows")
def step_all_reset(context):
    """Each resets those that go through it."""
    for world in context.worlds:
        assert world.take_effects_of(FlowReset)
