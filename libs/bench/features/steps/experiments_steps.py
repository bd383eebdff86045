"""Steps for the queueing experiments."""

from behave import given, then, when

from lagoontally_bench._experiment import Condition, Experiment, Fleet
from lagoontally_bench._runs import plan_runs, run_one

REQUESTS = 4_000
REQUESTS_IN_STORM = 12_000
REQUESTS_UNEVEN = 60_000


def run_all(context, seed, condition=None):
    """Run every policy once; return the results by policy."""
    condition = condition or context.condition
    experiment = Experiment(
        name="test",
        seed=seed,
        requests=REQUESTS_IN_STORM if condition.commands else context.requests,
        mean_work_ms=context.mean_work_ms,
        queue=context.queue,
        fleets=[context.fleet],
        loads=[context.load],
        work=["exponential"],
        policies=context.policies,
        conditions=[condition],
    )
    return {plan.policy: run_one(plan) for plan in plan_runs(experiment)}


@given("7 targets of 2 slots, 14 balancers and load {load:g}")
def step_fleet(context, load):
    """Use the sizes of the franchise tenant's service."""
    context.load = load
    context.fleet = Fleet("dossier-desk", 7)
    context.requests, context.mean_work_ms, context.queue = REQUESTS, 100.0, 16
    context.condition = Condition("honest")


@given("21 targets in 3 data centres, {count:d} balancers and demand of 3 to 1 to 1")
def step_uneven(context, count):
    """Work is short, as field lookups are."""
    context.load = 0.7
    context.fleet = Fleet(
        "lookup", 21, balancers=count, centres=3, hop_ms=3.0, demand=(3, 1, 1)
    )
    context.requests, context.mean_work_ms, context.queue = REQUESTS_UNEVEN, 14.0, 8


@given("{count:d} targets that turn slow by {factor:d} when demand turns uneven")
def step_turn_slow(context, count, factor):
    """Both after a third of the run."""
    context.condition = Condition(
        "slow", half_speed=count, slow_factor=factor, onset=0.33
    )


@then('p99 of the wait with "{one}" is at most {factor:g} times that with "{other}"')
def step_wait(context, one, factor, other):
    """Latency less the work at normal speed."""
    waits = [context.results[name].wait_p99_ms for name in (one, other)]
    assert waits[0] <= factor * waits[1], waits


@given("a caller that sends {times:d} times the load of all others for a while")
def step_storm(context, times):
    """Add a storm of reads; a fifth of the others' requests are commands."""
    context.condition = Condition("storm", storm=times, commands=0.2)


@given("{count:d} targets that shed everything for a while")
def step_shedding(context, count):
    """Make some targets shed every request in the middle third of the run."""
    context.condition = Condition("shedding", shedding=count)


@given("an outage of {seconds:d} s")
def step_outage(context, seconds):
    """Make all targets silent for a while."""
    context.condition = Condition("outage", outage_ms=seconds * 1_000)


@when('"{policies}" and "{last}" run with seed {seed:d}')
def step_run(context, policies, last, seed):
    """Run every policy with the same seed."""
    context.policies = [*policies.split(", "), last]
    context.seed = seed
    context.results = run_all(context, seed)


@then(
    '"{policy}" has the lowest imbalance and p99 of the policies without a dispatcher'
)
def step_least(context, policy):
    """Compare with the baseline policies of the same run."""
    own = context.results[policy]
    for name in ("random", "round-robin", "least-own", "two-own"):
        other = context.results[name]
        assert own.jobs_imbalance < other.jobs_imbalance, (own, other)
        assert own.p99_ms < other.p99_ms, (own, other)


@then('"{policy}" is within a tenth of "{model}"')
def step_near(context, policy, model):
    """Compare the real cores with the modelled dispatcher."""
    own, other = context.results[policy], context.results[model]
    assert own.p99_ms <= 1.1 * other.p99_ms, (own.p99_ms, other.p99_ms)
    assert own.jobs_imbalance <= 1.1 * other.jobs_imbalance


@then('no command fails with "{policy}" and some fail with "{baseline}"')
def step_commands(context, policy, baseline):
    """Compare failed commands; the storm's own requests are only reads."""
    assert context.results[policy].commands_failed == 0
    assert context.results[baseline].commands_failed > 0


@then(
    'p99 of commands with "{policy}" is at most {ratio:g} times that without the storm'
)
def step_command_p99(context, policy, ratio):
    """Compare command latency with a run without the storm."""
    calm = run_all(context, context.seed, Condition("calm", commands=0.2))[policy]
    limit_ms = ratio * calm.command_p99_ms
    assert context.results[policy].command_p99_ms <= limit_ms, limit_ms


@then('"{policy}" sends at most {limit:g} requests upstream per request')
def step_amplification(context, policy, limit):
    """Check that retries stay within their budget."""
    assert context.results[policy].amplification <= limit


@then('"{policy}" refuses less than "{baseline}"')
def step_refuses(context, policy, baseline):
    """Compare the number of refused requests."""
    assert context.results[policy].refused < context.results[baseline].refused


@then('"{policy}" has recovered within {seconds:d} s')
def step_recovered(context, policy, seconds):
    """Check the time to the last failure that follows the outage."""
    assert context.results[policy].recovery_s <= seconds


@then("another run with seed {seed:d} gives the same")
def step_same(context, seed):
    """Repeat the run and compare the results."""
    assert run_all(context, seed) == context.results
