"""Steps for open flows whose route isn't in the configuration in force."""

from random import Random

from behave import given, then, when
from fixtures import LOCAL, UNKNOWN_ROUTE, configuration
from sync_fixtures import OWN, beacon, position

from lagoontally_flows import Balancer, Forward


@when("a configuration without its route is in force")
def step_drop_route(context):
    """The operator removes the route, and a reader confirms that."""
    context.world.balancer.configure(configuration(9, place=UNKNOWN_ROUTE))
    step_confirmed(context)


@when("a configuration without its route is in force that may be old")
def step_old_route(context):
    """The balancer has just started; the route may have been added since."""
    step_drop_route(context)
    context.world.balancer.configuration_confirmed_ms = None


@when("the configuration is confirmed")
def step_confirmed(context):
    """It was read consistently, or a reader has the same version."""
    context.world.balancer.configuration_confirmed_ms = context.world.now_ms


@when("{duration_ms:d} ms pass and the configuration is confirmed")
def step_pass_newest(context, duration_ms):
    """A reader's beacon names the same version."""
    context.world.wait(duration_ms)
    step_confirmed(context)


@given("a configuration without the route is in force and was confirmed just now")
def step_without_route(context):
    """This balancer hasn't fetched the newest one yet."""
    step_drop_route(context)


@when("a configuration with the route is in force")
def step_with_route(context):
    """It was fetched."""
    context.world.balancer.configure(configuration(10))


@given("a balancer that knows targets and no configuration")
def step_no_configuration(context):
    """It has just started."""
    world = context.world
    world.balancer = Balancer(data_centre=LOCAL, random=Random(1))
    world.list_targets(*context.targets)


@when("a packet of a flow arrives that another balancer opened")
def step_foreign_packet(context):
    """Routers have dealt the flows anew."""
    context.flow, context.target = context.world.new_flow(), context.targets[0]
    context.action = context.world.send(context.flow, cookie=context.target.cookie)


@then("it is forwarded to the flow's target")
def step_forwarded(context):
    """Its caller goes on."""
    action = context.action
    assert isinstance(action, Forward) and action.target == context.target, action


@then("its next packet is forwarded to the flow's target")
def step_next_forwarded(context):
    """The cookie names the target, whatever the routes."""
    action = context.world.send(context.flow, cookie=context.target.cookie)
    assert isinstance(action, Forward) and action.target == context.target, action


@when(
    "the beacon of a reader with version {version:d} that knows all up to {known:d}"
    " arrives"
)
def step_known_beacon(context, version, known):
    """Up to 0, it doesn't know whether its configuration is the newest."""
    message = beacon(40, OWN, version)._replace(known=position(known))
    context.store_sync.on_beacon(message, "10.0.0.2", context.now_ms, digest=OWN)


@when("the answer to a watch from {after:d} to {revision:d} arrives")
def step_watch_answer(context, after, revision):
    """Nothing has changed."""
    context.store_sync.on_changes(
        revision, context.now_ms, after=after, targets_changed=False
    )


@then("its configuration was confirmed {age_ms:d} ms ago")
def step_confirmed_ago(context, age_ms):
    """The first consistent read confirmed it at 0 ms."""
    found = context.store_sync.configuration_confirmed_ms
    assert context.now_ms - found == age_ms, found
