"""Steps for the ``explain`` query of operators."""

from behave import given, then

from lagoontally_bench._scenario import DRAIN_MS, PIVOT_SERVICE, Scenario
from lagoontally_core import AnswerOperator, OperatorQuery, step
from lagoontally_standins import UpstreamMode

SEED = 1
FIRST_SHEDS_MS = 6_000
ALL_SHED_MS = 9_000
CALLER = "pivot"


@given("a run in which targets shed and one is drained")
def step_run(context):
    """Make one target shed, then all, then none; drain one later."""
    scenario = Scenario(SEED)
    world = scenario.world
    targets = [
        item for item in world.upstreams.values() if item.service == PIVOT_SERVICE
    ]
    world.run_until(FIRST_SHEDS_MS)
    targets[0].set_mode(UpstreamMode.SHED)
    world.run_until(ALL_SHED_MS)
    for target in targets:
        target.set_mode(UpstreamMode.SHED)
    world.run_until(ALL_SHED_MS + 2_000)
    for target in targets:
        target.set_mode(UpstreamMode.UP)
    world.run_until(DRAIN_MS + 8_000)
    context.world = world


@then('"explain" reports these decisions and reasons')
def step_explained(context):
    """Check that some balancer reports each decision for the caller."""
    found = [
        (entry["what"], entry["why"])
        for node in context.world.balancers.values()
        for entry in explain(node)
    ]
    for what, why in context.table.rows:
        assert any(what in one and why in other for one, other in found), (what, why)


def explain(node):
    """Return the decisions that a balancer reports for the callers' flows."""
    query = OperatorQuery(1, "explain", CALLER)
    actions = step(node.state, query, node.clock_ms, node.random)
    answers = [item for item in actions if isinstance(item, AnswerOperator)]
    return answers[0].result["decisions"]
