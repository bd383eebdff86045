"""Steps for the checks, on records made by hand."""

from random import Random
from types import SimpleNamespace

from behave import given, then, when

from lagoontally_soak._checks import Checks, SentRequest
from lagoontally_soak._cold_returns import ColdReturns, ColdSpell
from lagoontally_soak._disturbances import Disturbances
from lagoontally_soak._evacuations import Evacuations, Request
from lagoontally_soak._route_history import RouteHistory
from lagoontally_soak._views import view_violations
from lagoontally_standins.packets import Outcome

ROUTE = (3_322_019_841, 443)
OTHER_ROUTE = (3_322_019_841, 8_443)
FLOW = (1_677_721_607, 40_001, *ROUTE)
FORMER, LATER = "pivot-link", "usage-ledger"


def checks(deployment, faults):
    """Return checks of a run without evacuations and cold targets."""
    evacuations = Evacuations(deployment, faults.disturbances, None)
    cold_returns = ColdReturns(deployment, faults.disturbances, Random(1))
    return Checks(deployment, faults, evacuations, cold_returns)


@given("a route that was moved at {moved_at:d} s")
def step_moved(context, moved_at):
    """The first configuration was published at 0 s."""
    context.history = RouteHistory({ROUTE: FORMER}, 0)
    context.history.record({ROUTE: LATER}, moved_at)
    context.disturbances = Disturbances()


@given('"{subject}" was disturbed from {start:d} s to {end:d} s')
def step_disturbed(context, subject, start, end):
    """One disturbance, of the store or of a balancer."""
    context.disturbances.record(subject, start, end)


@when('a flow that opens at {at:f} s through "{name}" is run by the former service')
def step_run(context, at, name):
    """The SYN arrives 10 ms and the request 20 ms later."""
    balancers = {
        other: SimpleNamespace(settings={"host": f"127.0.1.{number}"})
        for number, other in enumerate(("tifton-1", "tifton-2"))
    }
    run = SimpleNamespace(request="q1", target="i-1", service=FORMER, at=at + 0.02)
    deployment = SimpleNamespace(ledger=[run], balancers=balancers, targets={})
    faults = SimpleNamespace(
        route_history=context.history,
        disturbances=context.disturbances,
        drain_started_at={},
    )
    opening = SimpleNamespace(at=at + 0.01, host=balancers[name].settings["host"])
    target = SimpleNamespace(first_syns={FLOW: opening})
    context.violations = checks(deployment, faults).violations_of_run(
        {"q1": SentRequest(FLOW, at)}, {"i-1": target}, {"i-1": "tifton"}
    )


@then("{count:d} runs by an older configuration are reported")
def step_reported(context, count):
    """No other promise is broken."""
    promises = [violation.promise for violation in context.violations]
    assert promises == ["a request runs by the newest configuration"] * count, promises


@given("a route that was added at {added_at:d} s and a target that started at {at:d} s")
def step_added(context, added_at, at):
    """A configuration without the route was published at 0 s."""
    context.target = SimpleNamespace(started_at=at)
    context.history = RouteHistory({}, 0)
    context.history.record({ROUTE: FORMER}, added_at)
    context.disturbances = Disturbances()


@given(
    "a route that was dropped at {dropped_at:d} s and a flow on it that opened at"
    " {at:f} s"
)
def step_dropped(context, dropped_at, at):
    """It was there from the start."""
    opening = SimpleNamespace(at=at)
    context.target = SimpleNamespace(started_at=0, first_syns={FLOW: opening})
    context.history = RouteHistory({ROUTE: FORMER}, 0)
    context.history.record({}, dropped_at)
    context.disturbances = Disturbances()


@when("its requests, sent at {times} s, are answered")
def step_answered(context, times):
    """One after the other, by its target."""
    run, flow = run_of(context, "tifton", Outcome.ANSWERED, at=0)
    context.violations = [
        violation
        for sent_at in map(float, times.split(", "))
        for violation in run.outcome_violations(flow, sent_at)
    ]


@then("{count:d} answers on a dropped route are reported")
def step_dropped_reported(context, count):
    """No other promise is broken."""
    promises = [violation.promise for violation in context.violations]
    assert promises == ["a dropped route takes no request"] * count, promises


def outcome_violations(context, data_centre, outcome, *, sent_at, at):
    """Return the violations that a flow's outcome shows; its target lives."""
    run, flow = run_of(context, data_centre, outcome, at=at)
    return run.outcome_violations(flow, sent_at)


def run_of(context, data_centre, outcome, *, at):
    """Return the checks of a run and a flow with an outcome; its target lives."""
    callers = object()
    balancers = {
        f"{name}-1": SimpleNamespace(settings={"data_centre": name})
        for name in (data_centre, "camilla")
    }
    deployment = SimpleNamespace(
        balancers=balancers,
        callers={data_centre: callers},
        loop=SimpleNamespace(now=at),
        routes={ROUTE: FORMER},
        targets={"i-1": (0, context.target)},
    )
    faults = SimpleNamespace(
        route_history=context.history,
        disturbances=context.disturbances,
        drain_started_at={},
    )
    flow = SimpleNamespace(
        outcome=outcome, flow=FLOW, target="i-1", request="q1", callers=callers
    )
    return checks(deployment, faults), flow


@when('an open flow from "{data_centre}" to the target is reset at {at:d} s')
def step_reset(context, data_centre, at):
    """It was sent at once."""
    context.violations = outcome_violations(
        context, data_centre, Outcome.RESET, sent_at=at, at=at
    )


@when('a flow from "{data_centre}", sent at {sent:d} s, is refused at {at:d} s')
def step_refused(context, data_centre, sent, at):
    """None of its SYNs was answered."""
    context.violations = outcome_violations(
        context, data_centre, Outcome.NOT_OPENED, sent_at=sent, at=at
    )


@then("{count:d} refused flows are reported")
def step_refused_reported(context, count):
    """No other promise is broken."""
    promises = [violation.promise for violation in context.violations]
    assert promises == ["a route in force takes flows"] * count, promises


@then("{count:d} resets are reported")
def step_resets(context, count):
    """No other promise is broken."""
    promises = [violation.promise for violation in context.violations]
    assert promises == ["an open flow isn't reset"] * count, promises


@given("a balancer that knows the store's targets and configuration")
def step_view(context):
    """Two routes and two targets, one of which is leaving."""
    context.targets = {("servers/i-1", False), ("servers/i-2", True)}
    context.version = 8
    context.routes = {ROUTE: [(FORMER, 1)], OTHER_ROUTE: [(LATER, 1)]}
    balancer = SimpleNamespace(
        name="tifton-1",
        fetch_targets=lambda: context.targets,
        fetch_configuration=lambda: (
            context.version and (context.version, context.routes)
        ),
    )
    published, listed = (8, dict(context.routes)), set(context.targets)
    context.deployment = SimpleNamespace(
        balancers={"tifton-1": balancer},
        published_configuration=lambda: published,
        listed_targets=lambda: listed,
    )
    assert view_violations(context.deployment) == []


@when("it has {difference}")
def step_difference(context, difference):
    """One difference."""
    if difference == "an older version":
        context.version = 6
    elif difference == "no configuration":
        context.version = None
    elif difference == "a route too many":
        context.routes[(1, 1)] = [(FORMER, 1)]
    elif difference == "a route less":
        del context.routes[ROUTE]
    elif difference == "another service":
        context.routes[ROUTE] = [(LATER, 1)]
    elif difference == "a target too many":
        context.targets.add(("servers/i-3", False))
    else:
        context.targets ^= {("servers/i-2", True), ("servers/i-2", False)}


@then('"{promise}" is the only violation of its view')
def step_view_violation(context, promise):
    """The report names the balancer."""
    [violation] = view_violations(context.deployment)
    assert violation.promise == promise, violation
    assert violation.detail.startswith("tifton-1"), violation


@given("a data centre that was emptied from {began:d} s to {ended:d} s")
def step_emptied(context, began, ended):
    """Its targets live on."""
    context.disturbances = Disturbances()
    context.evacuations = Evacuations(None, context.disturbances, None)
    context.evacuations.requests.append(Request("tifton", began, ended))


@when('a flow opens in "{data_centre}" at {at:f} s through "{name}"')
def step_opens(context, data_centre, at, name):
    """Its SYN is what the target saw."""
    opening = SimpleNamespace(at=at, host="127.0.1.0")
    target = SimpleNamespace(first_syns={FLOW: opening})
    context.violations = context.evacuations.violations(
        {"i-1": (data_centre, target)}, lambda _host: name
    )


@then("{count:d} flows to an emptied data centre are reported")
def step_emptied_reported(context, count):
    """Each names the target."""
    assert len(list(context.violations)) == count


@given("a target that {change} at {at:d} s and bears {limit:d} flows in a second")
def step_cold(context, change, at, limit):
    """It is cold for 4 s."""
    context.disturbances = Disturbances()
    deployment = SimpleNamespace(targets={})
    context.cold_returns = ColdReturns(deployment, context.disturbances, Random(1))
    context.cold_returns.limit = limit
    spell = ColdSpell("i-1", at, at + 4, change == "returned")
    context.cold_returns.spells.append(spell)


@when('{count:d} flows, {apart:f} s apart from {at:f} s, open through "{name}"')
def step_flows_open(context, count, apart, at, name):
    """Their SYNs are what the target saw."""
    arrivals = [
        SimpleNamespace(at=at + number * apart, host="127.0.1.0")
        for number in range(count)
    ]
    context.violations = context.cold_returns.violations(
        {"i-1": SimpleNamespace(syns=arrivals)}, lambda _host: name
    )


@then("{count:d} cold targets with too many flows are reported")
def step_cold_reported(context, count):
    """Each is named."""
    assert len(list(context.violations)) == count
