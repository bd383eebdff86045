"""Steps for data centres that an operator empties."""

from behave import given, then, when
from fixtures import REMOTE

from lagoontally_flows import Drop, EvacuationChange


@when('"{data_centre}" is emptied')
def step_emptied(context, data_centre):
    """The balancer learns it from the store."""
    change = EvacuationChange(data_centre, 1, True)
    context.world.balancer.evacuations.on_changes([change], context.world.now_ms)
    context.world.collect()


@when('"{data_centre}" is no longer emptied')
def step_not_emptied(context, data_centre):
    """The request is withdrawn."""
    change = EvacuationChange(data_centre, 2, False)
    context.world.balancer.evacuations.on_changes([change], context.world.now_ms)
    context.world.collect()


@given("a flow to a local target")
def step_local_flow(context):
    """Its caller has completed the handshake."""
    context.flow, context.target = context.world.open_flow()
    assert context.target in context.targets


@given("a SYN that a local target got")
def step_local_syn(context):
    """Its answer hasn't been acknowledged."""
    context.flow = context.world.new_flow()
    assert context.world.syn(context.flow).target in context.targets


@when("the local targets are no longer listed")
def step_local_lapse(context):
    """The store has lost their leases."""
    context.world.list_targets(*context.remote)


@when("the remote targets are no longer listed")
def step_remote_lapse(context):
    """The store has lost their leases."""
    context.world.list_targets(*context.targets)


@then("{count:d} new flows go to remote targets, and to none more than {most:d}")
def step_remote_flows(context, count, most):
    """Those of one data centre share them."""
    found = [context.world.open_flow()[1] for _ in range(count)]
    assert {target.data_centre for target in found} == {REMOTE}, found
    assert max(map(found.count, found)) <= most, found


@then("a new flow goes to a local target")
def step_local_again(context):
    """Callers are served where they arrive."""
    assert context.world.open_flow()[1] in context.targets


@then("packets of the flow go to its target")
def step_open_flow_stays(context):
    """Also those of another balancer, by the cookie."""
    action = context.world.send(context.flow, cookie=context.target.cookie)
    assert action.target == context.target, action


@then("a copy of its SYN is dropped after {duration_ms:d} ms")
@then("a copy of the SYN is dropped after {duration_ms:d} ms")
def step_copy_dropped(context, duration_ms):
    """The SYN before it has reached the target."""
    context.world.wait(duration_ms)
    assert context.world.syn(context.flow, 1) == Drop("evacuated")


@then("a copy of the SYN goes to a remote target after {duration_ms:d} ms")
def step_copy_moves(context, duration_ms):
    """The target that got the SYN has not answered."""
    context.world.wait(duration_ms)
    action = context.world.syn(context.flow, 1)
    assert action.target in context.remote, action


@then('a copy of the SYN is reset as "{reason}" after {duration_ms:d} ms')
def step_copy_reset(context, reason, duration_ms):
    """No target may get it."""
    context.world.wait(duration_ms)
    action = context.world.syn(context.flow, 1)
    assert action.reason == reason, action


@then('{count:d} SYNs are reset as "{reason}"')
def step_syns_reset(context, count, reason):
    """At once, without a target."""
    for _ in range(count):
        action = context.world.syn(context.world.new_flow())
        assert action.reason == reason, action
    context.world.wait(100)


@then('a line says that "{data_centre}" is emptied and has {count:d} targets')
def step_logged(context, data_centre, count):
    """Its name may be wrong."""
    (line,) = [e for e in context.world.effects if "evacuation_began" in e]
    fields = dict(line.fields)
    assert (fields["data_centre"], fields["targets"]) == (data_centre, count), fields
