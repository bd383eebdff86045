"""Steps for the balancer's decisions on packets and targets."""

from behave import given, then, when
from fixtures import (
    SERVICE,
    UNKNOWN_ROUTE,
    World,
    check_goes_on,
    configuration,
    flows_by_target,
    make_target,
    place,
    replace_target,
    set_up,
)

from lagoontally_flows import (
    ACK,
    FIN,
    RST,
    SYN,
    Drop,
    Packet,
    Reset,
)

UNKNOWN_COOKIE = 77


@given("a balancer with {local:d} targets")
def step_targets(context, local):
    """A balancer with targets in its own data centre."""
    set_up(context, local)


@given("a balancer with {local:d} targets of which {warming:d} warms up")
def step_warming(context, local, warming):
    """Some of the targets have just started."""
    set_up(context, local, warming=warming)


@given("a balancer with {local:d} targets and {remote:d} remote ones")
def step_remote(context, local, remote):
    """Targets in two data centres."""
    set_up(context, local, remote)


@when("a flow is opened")
def step_open(context):
    """One flow gets a target."""
    context.flow, context.target = context.world.open_flow()


@when("{count:d} flows are opened")
def step_open_many(context, count):
    """Flows are opened, one after the other."""
    context.placed = place(context, count)


@when("{duration_ms:d} ms pass")
def step_pass(context, duration_ms):
    """Time passes."""
    context.world.wait(duration_ms)


@when("{duration_ms:d} ms pass and the view is confirmed")
def step_pass_confirmed(context, duration_ms):
    """Time passes and the platform answers at the end."""
    context.world.wait(duration_ms)
    context.world.balancer.view_confirmed_ms = context.world.now_ms


@when("its target starts again under the same id")
def step_start_again(context):
    """The target's entry has a new start time."""
    context.restarted = make_target(int.from_bytes(context.target.name, "big"), born=5)
    replace_target(context, context.restarted)


@when("its target leaves")
def step_leave(context):
    """The target's entry says that it is leaving."""
    replace_target(context, context.target._replace(leaving=True))


@when("its target is delisted")
def step_delist(context):
    """The target's entry is gone."""
    replace_target(context, None)


@when("all targets are delisted at once")
def step_delist_all(context):
    """The store shows no target."""
    context.world.list_targets()


@when("a packet with an unknown cookie arrives")
def step_unknown_cookie(context):
    """The cookie belongs to no known target."""
    context.flow = context.world.new_flow()
    step_repeat_unknown(context)


@when("the packet with an unknown cookie is repeated")
def step_repeat_unknown(context):
    """It is of the same flow."""
    context.action = context.world.send(context.flow, cookie=UNKNOWN_COOKIE)


@when("a SYN arrives")
def step_syn(context):
    """A caller opens a flow."""
    context.action = context.world.syn(context.world.new_flow())


@when("copy {copy:d} of a SYN arrives after it waited for {waited_ms:d} ms")
def step_late_syn(context, copy, waited_ms):
    """The process was paused while the SYN was queued."""
    world = context.world
    packet = Packet(world.new_flow(), SYN, 0, 99, copy, 0)
    context.action = world.balancer.on_packet(packet, world.now_ms, waited_ms=waited_ms)


@then("it is placed")
def step_placed(context):
    """It goes to a target."""
    assert context.action.target in context.targets, context.action


@when("a SYN to an unknown route arrives")
def step_unknown_route(context):
    """A caller opens a flow to a route that isn't configured."""
    context.action = context.world.syn(context.world.new_flow(UNKNOWN_ROUTE))


@when("a SYN and its copy arrive at the same time")
def step_late_syns(context):
    """Both were queued in the socket."""
    flow = context.world.new_flow()
    context.pair = [context.world.syn(flow), context.world.syn(flow, copy=1)]


@when("a SYN arrives and its copy 200 ms later")
def step_syn_copy(context):
    """The target didn't answer the first one."""
    flow = context.world.new_flow()
    context.target = context.world.syn(flow).target
    context.world.wait(200)
    context.action = context.world.syn(flow, copy=1)


@when("configuration {version:d} is in force")
@when("configuration {version:d} arrives")
def step_configure(context, version):
    """A configuration arrives."""
    context.world.balancer.configure(configuration(version))


@when("the route is split between its service and one without targets")
def step_split(context):
    """Half of the weight is on the service without targets."""
    shares = ((SERVICE, 50), ("nothing-there", 50))
    context.world.balancer.configure(configuration(2, shares))


@when("the flows of one target are closed")
def step_close_some(context):
    """Callers end all flows of one target."""
    context.emptied = context.placed[0]
    for key, flow in list(context.world.balancer.flows.flows.items()):
        if flow.cookie == context.emptied.cookie:
            context.world.send(key, ACK | FIN, cookie=flow.cookie, ack=5_000)


@when("a caller sends {packet}")
def step_stray(context, packet):
    """A packet that belongs to no flow."""
    flow = context.world.new_flow()
    if packet == "a SYN with ACK":
        context.action = context.world.send(flow, SYN | ACK)
    elif packet == "data without a cookie":
        context.action = context.world.send(flow, length=100)
    else:
        context.action = context.world.send(flow, RST)


@then("another balancer that never saw it sends its packets to the same target")
def step_any_balancer(context):
    """Forwarding needs no flow state."""
    other = World(seed=2)
    other.list_targets(*context.targets)
    for _ in range(10):
        action = other.send(context.flow, cookie=context.target.cookie, length=10)
        assert action.target == context.target, action


@then("the cookie of the new incarnation differs")
def step_cookie_differs(context):
    """Old flows can't reach the new incarnation."""
    assert context.restarted.cookie != context.target.cookie


@then("its packets still go to that target")
def step_same_target(context):
    """The flow goes on."""
    check_goes_on(context)


@then("{count:d} new flows go to other targets")
def step_others(context, count):
    """No new flow reaches the target."""
    assert context.target.cookie not in {one.cookie for one in place(context, count)}


@then("{count:d} new flows reach its target too")
def step_reach(context, count):
    """The target gets new flows."""
    assert context.target.cookie in {one.cookie for one in place(context, count)}


@then("{count:d} new flows reach {targets:d} targets")
def step_reach_all(context, count, targets):
    """All targets get new flows."""
    assert len({one.cookie for one in place(context, count)}) == targets


@then("{count:d} new flows reach the service that has targets")
def step_reach_service(context, count):
    """No flow is refused."""
    assert {one.service for one in place(context, count)} == {SERVICE}


@then('it is dropped as "{reason}"')
def step_dropped(context, reason):
    """Nothing is sent."""
    assert context.action == Drop(reason), context.action


@then('it is reset as "{reason}"')
def step_reset(context, reason):
    """The caller is notified at once."""
    assert isinstance(context.action, Reset), context.action
    assert context.action.reason == reason, context.action


@then('a new flow is reset as "{reason}"')
def step_new_reset(context, reason):
    """A new flow is refused at once."""
    context.action = context.world.syn(context.world.new_flow())
    step_reset(context, reason)


@then('its next packet is reset as "{reason}"')
def step_next_reset(context, reason):
    """An open flow ends."""
    context.action = context.world.send(context.flow, cookie=context.target.cookie)
    step_reset(context, reason)


@then("configuration {version:d} is still in force")
def step_in_force(context, version):
    """An older version is never applied."""
    assert context.world.balancer.configuration.version == version


@then("both go to the same target")
def step_same(context):
    """The copy goes to the target of the SYN."""
    first, second = context.pair
    assert first.target == second.target, context.pair


@then("the copy goes to another target")
def step_other(context):
    """The copy leaves the silent target."""
    assert context.action.target != context.target, context.action


@then("each target has {count:d} flows")
def step_each(context, count):
    """The flows are spread evenly."""
    flows = flows_by_target(context)
    assert [flows.get(one.cookie, 0) for one in context.targets] == (
        [count] * len(context.targets)
    ), flows


@then("each remote target has {count:d} flows")
def step_each_remote(context, count):
    """The flows are spread evenly."""
    flows = flows_by_target(context)
    assert all(flows.get(one.cookie) == count for one in context.remote), flows


@then("no remote target has flows")
def step_no_remote(context):
    """All flows stayed in the data centre."""
    flows = flows_by_target(context)
    assert not any(flows.get(one.cookie) for one in context.remote), flows


@then("the warming target has between {least:d} and {most:d} flows")
def step_warming_flows(context, least, most):
    """It has fewer than its share."""
    flows = flows_by_target(context)[context.targets[0].cookie]
    assert least <= flows <= most, flows


@then("the new flows are on the target whose flows were closed")
def step_emptied(context):
    """Closed flows don't count as load."""
    assert {one.cookie for one in context.placed} == {context.emptied.cookie}


@then("the own target has between {least:d} and {most:d} flows")
def step_own_flows(context, least, most):
    """It has a quarter more than an even spread."""
    flows = flows_by_target(context)[context.targets[0].cookie]
    assert least <= flows <= most, flows


@when("another service's target is listed at its target's address")
def step_reused(context):
    """The address is reused by another target."""
    context.new_owner = make_target(90, service="usage-ledger", born=9)
    context.new_owner = context.new_owner._replace(address=context.target.address)
    context.targets.append(context.new_owner)
    context.world.list_targets(*context.targets)


@when("an older target is listed at its target's address")
def step_older(context):
    """The entry is outdated or from a foreign target."""
    replace_target(context, context.target._replace(born=50))
    claimer = make_target(91, born=1)._replace(address=context.target.address)
    context.targets.append(claimer)
    context.world.effects.clear()
    context.world.list_targets(*context.targets)
