"""Steps for changes of the configuration."""

from behave import given, then, when
from hypothesis import given as for_all
from hypothesis import settings
from hypothesis import strategies as st

from lagoontally_flows import (
    Configuration,
    ConfigurationDelta,
    ConfigurationDeltas,
    Route,
    configuration_delta,
)

SHARES = st.lists(st.tuples(st.sampled_from("abc"), st.integers(0, 9)), min_size=1)
ROUTES = st.dictionaries(
    st.tuples(st.integers(0, 3), st.integers(80, 82)),
    st.builds(Route, st.sampled_from("rst"), SHARES.map(tuple), st.booleans()),
)


def routes(count):
    """Return a number of routes by destination."""
    return {(1, port): Route("r", (("a", 1),), True) for port in range(count)}


@given("a member with version {version:d}")
def step_member(context, version):
    """It has one route."""
    context.configuration = Configuration(version, routes(1), 5_000)
    context.deltas = ConfigurationDeltas()


@given("a member without a configuration")
def step_new_member(context):
    """It has just started."""
    context.configuration = None
    context.deltas = ConfigurationDeltas()


@when(
    "the parts {order} of a change from {previous:d} to {version:d} in 3 parts arrive"
)
def step_parts(context, order, previous, version):
    """Each part adds one route."""
    for part in map(int, order.split(", ")):
        added = [((2, part), Route("r", (("a", 1),), True))]
        delta = ConfigurationDelta(previous, version, 9_000, part, 3, added)
        changed = context.deltas.apply(context.configuration, delta)
        context.configuration = changed or context.configuration


@then("version {version:d} is in force")
def step_version(context, version):
    """A change is applied whole or not at all."""
    assert context.configuration.version == version, context.configuration
    changed = version == 7 and len(context.configuration.routes) > 1
    assert len(context.configuration.routes) == (4 if changed else 1)


@then("no version is in force")
def step_no_version(context):
    """There was nothing to change."""
    assert context.configuration is None


@then("a change of {count:d} routes yields no delta")
def step_large(context, count):
    """Neither routes that are added nor routes that are removed."""
    small, large = (
        Configuration(1, routes(1), 5_000),
        Configuration(2, routes(count), 5_000),
    )
    assert configuration_delta(small, large) is None
    assert configuration_delta(large, small._replace(version=3)) is None


@then("for {count:d} pairs of configurations the delta leads from one to the other")
def step_any(context, count):
    """Generate two versions."""

    @settings(max_examples=count, deadline=None, derandomize=True)
    @for_all(ROUTES, ROUTES, st.integers(1, 9_000))
    def check(before, after, idle_ms):
        one, other = Configuration(1, before, 5_000), Configuration(2, after, idle_ms)
        delta = configuration_delta(one, other)
        assert ConfigurationDeltas().apply(one, delta) == other

    check()
