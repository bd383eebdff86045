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
    digest,
)

SHARES = st.lists(st.tuples(st.sampled_from("abc"), st.integers(0, 9)), min_size=1)
ROUTES = st.dictionaries(
    st.tuples(st.integers(0, 3), st.integers(80, 82)),
    st.builds(
        Route,
        st.sampled_from("rst"),
        SHARES.map(tuple),
        st.booleans(),
        priority=st.integers(0, 2),
    ),
)


def routes(count):
    """Return a number of routes by destination."""
    return {(1, port): Route("r", (("a", 1),), True) for port in range(count)}


def delta_between(one, other, *, reader=3):
    """Return the delta that a reader sends."""
    return configuration_delta(one, other, reader=reader, digest=digest(other.routes))


def apply(context, part):
    """Return the configuration after a part of a delta, None if it isn't applied."""
    current = context.configuration
    known = digest(current.routes) if current else 0
    return context.deltas.apply(current, part, digest=known)


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
    additions = {(2, part): Route("r", (("a", 1),), True) for part in range(3)}
    result = digest(routes(1) | additions)
    for part in map(int, order.split(", ")):
        added = [((2, part), additions[2, part])]
        delta = ConfigurationDelta(5, previous, version, 9_000, part, 3, added, result)
        changed = apply(context, delta)
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
    assert delta_between(small, large) is None
    assert delta_between(large, small._replace(version=3)) is None


@then("for {count:d} pairs of configurations the delta leads from one to the other")
def step_any(context, count):
    """Generate two versions."""

    @settings(max_examples=count, deadline=None, derandomize=True)
    @for_all(ROUTES, ROUTES, st.integers(1, 9_000))
    def check(before, after, idle_ms):
        one, other = Configuration(1, before, 5_000), Configuration(2, after, idle_ms)
        delta = delta_between(one, other)
        deltas = ConfigurationDeltas()
        assert deltas.apply(one, delta, digest=digest(one.routes)) == other

    check()


@given("a member with {count:d} routes")
def step_routes(context, count):
    """Its version is 1."""
    context.configuration = Configuration(1, routes(count), 5_000)
    context.deltas = ConfigurationDeltas()


@given("a member with {count:d} routes, one of which is another one's")
def step_other_routes(context, count):
    """A version stands for its routes only if they are those of the store."""
    step_routes(context, count)
    context.expected = context.configuration
    changed = context.configuration.routes | {(1, 3): Route("x", (("b", 1),), True)}
    context.configuration = context.configuration._replace(routes=changed)


@when("two readers send parts of a change that removes them in different orders")
def step_two_readers(context):
    """Part 0 of one arrives before all parts of the other."""
    before, empty = context.configuration, Configuration(2, {}, 5_000)
    turned = before._replace(routes=dict(reversed(before.routes.items())))
    one = _split(delta_between(before, empty, reader=3))
    other = _split(delta_between(turned, empty, reader=4))
    for part in (one[0], other[1], other[2], other[0]):
        changed = apply(context, part)
        context.configuration = changed or context.configuration


def _split(delta, parts=3):
    """Return a delta in a number of parts."""
    size = -(-len(delta.routes) // parts)
    return [
        delta._replace(
            part=part, parts=parts, routes=delta.routes[size * part : size * (part + 1)]
        )
        for part in range(parts)
    ]


@when("a reader sends a change that adds a route")
def step_one_more(context):
    """The reader has all routes right."""
    routes_after = context.expected.routes | {(5, 5): Route("r", (("a", 1),), True)}
    delta = delta_between(context.expected, Configuration(2, routes_after, 5_000))
    context.result = apply(context, delta)


@then("the change of the one whose parts are complete is applied")
def step_whole(context):
    """No route is left under the new version."""
    found = (context.configuration.version, len(context.configuration.routes))
    assert found == (2, 0), found


@then("the change isn't applied")
def step_not_applied(context):
    """The member fetches the configuration when it hears of the version."""
    assert context.result is None, context.result
