"""Steps for entries that another writer than a target has written."""

from behave import then, when
from fixtures import REMOTE, ROUTE, World, configuration, make_target

from lagoontally_flows import Drop, FlowReset, LogEvent

OTHER_KEY = "servers/other-1"
ELSEWHERE = ("10.0.0.99", 8080)
BORN_LATER = 9
NUMBER = 0xC0FFEE % 251


def write(context, target, key=OTHER_KEY):
    """Change one entry."""
    world = context.world
    world.balancer.on_entries([(key, target)], world.now_ms)
    world.collect()


def other(service, address, **fields):
    """Return the target that another writer's entry describes."""
    target = make_target(NUMBER, service=service, born=BORN_LATER, **fields)
    return target._replace(address=address)


@when('an entry of the service "{service}" is listed at its target\'s address')
def step_same_address(context, service):
    """A second registration of the process, by some other tool."""
    write(context, other(service, context.target.address))


@when('an entry of the service "{service}" is listed at an address of its own')
def step_own_address(context, service):
    """It says that it is in a data centre of its own, too."""
    context.other = other(service, ELSEWHERE, data_centre=REMOTE)
    write(context, context.other)


@when(
    'an entry of the service "{service}" with its target\'s id and another address is'
    " listed"
)
def step_same_id(context, service):
    """Its key ends in the same digits."""
    write(context, context.target._replace(service=service, address=ELSEWHERE))


@when('another writer replaces its target\'s entry by one of "{service}" elsewhere')
def step_replace(context, service):
    """The key is the target's own."""
    replaced = context.target._replace(service=service, address=ELSEWHERE)
    write(context, replaced, key=context.target.name.hex())


@when("an entry with its target's id tells a warm-up of {warm_up_ms:d} ms, under {key}")
def step_warm_up(context, warm_up_ms, key):
    """Nothing names its service."""
    told = context.target._replace(service="print-spooler", warm_up_ms=warm_up_ms)
    write(context, told, context.target.name.hex() if "same" in key else OTHER_KEY)


@then("its target isn't warming up")
def step_warm(context):
    """It has run for long."""
    world = context.world
    assert not world.balancer.warm_ups.left_ms(context.target, world.now_ms)


@when("its target writes its entry again")
def step_write_again(context):
    """It does so with each change."""
    write(context, context.target, key=context.target.name.hex())


@when("that entry is gone")
def step_gone(context):
    """The other writer removes it."""
    write(context, None)


@when('a configuration that names "{service}" is in force')
def step_named(context, service):
    """A route gives it a share."""
    shares = (("pivot-link", 1), (service, 0))
    context.world.balancer.configure(configuration(20, shares))
    context.world.collect()


@when('a configuration that names only "{service}" on its route is in force')
def step_named_only(context, service):
    """The route moves to the other service."""
    context.world.balancer.configure(configuration(20, ((service, 1),)))
    context.world.collect()


@when("a packet of a flow to it arrives that another balancer opened")
def step_packet(context):
    """That one has the configuration already."""
    context.flow, context.target = context.world.new_flow(ROUTE), context.other
    context.action = context.world.send(context.flow, cookie=context.other.cookie)


@when("a target and an earlier one at its address are listed in any order")
def step_any_order(context):
    """Keys of entries have nothing to do with the targets' starts."""
    earlier, later = make_target(41, born=5), make_target(42, born=6)
    later = later._replace(address=earlier.address)
    context.ended = []
    for listed in ((earlier, later), (later, earlier)):
        world = World()
        world.list_targets(*listed)
        context.ended.append(world.balancer.health.ended)
    context.earlier = earlier


@then("only the earlier one has ended")
def step_earlier_ended(context):
    """Whichever entry came first."""
    assert context.ended == [{context.earlier.cookie}] * 2, context.ended


@then("no flow has been reset yet")
def step_none_reset(context):
    """No packet is sent to find out, which would change the reset that follows."""
    assert not context.world.take_effects_of(FlowReset)


@then("its packets still go to its target's address")
def step_address(context):
    """The cookie alone doesn't show where they go."""
    action = context.world.send(context.flow, cookie=context.target.cookie)
    assert action.target.address == context.target.address, action


@then("its packets go to the other address")
def step_other_address(context):
    """The other entry is the only one with the id now."""
    action = context.world.send(context.flow, cookie=context.target.cookie)
    assert action.target.address == ELSEWHERE, action


@then('the entry is logged as unused since "{reason}"')
def step_logged(context, reason):
    """Operators see why it has no effect."""
    events = context.world.take_effects_of(LogEvent)
    fields = [dict(one.fields) for one in events if one.event == "target_unused"]
    assert [one["reason"] for one in fields] == [reason], events
    assert fields[0]["key"] == OTHER_KEY, fields


@then("its target has no control target")
def step_no_control(context):
    """Nothing answers at the other address."""
    selector = context.world.balancer.target_selector
    assert selector.control_target(context.target.cookie) is None


@then("the balancer knows no data centre but those of its targets")
def step_data_centres(context):
    """No callers are sent to the one that the entry names."""
    assert context.world.balancer.view.data_centres() == {context.target.data_centre}


@then("its next packet is dropped as unknown")
def step_unknown(context):
    """The target left long ago."""
    action = context.world.send(context.flow, cookie=context.target.cookie)
    assert isinstance(action, Drop) and action.reason == "unknown_cookie", action
