"""Steps for the state space exploration of the protocols."""

from unittest.mock import patch

from behave import given, then, when

from lagoontally_bench._explore import (
    CROSSWISE_SUCCESSORS,
    EXPLORATIONS,
    STRAIGHT_SUCCESSORS,
    TWO_LEAVES_PRELUDE,
    explore,
)
from lagoontally_bench._explore_once import AtMostOnceModel, Scope
from lagoontally_bench._mutations import apply_mutation
from lagoontally_bench._once_state import Budget
from lagoontally_bench._walk import walk
from lagoontally_edges import PlatformEdge, Unavailable

STATES_LIMIT = 20_000
POST_REJECTED = PlatformEdge.post_rejected
HANDLE_TEMPLATE_OUTCOME = PlatformEdge.__dict__["handle_template_outcome"]


def _watch_rejected_for_good(edge, body, reason):
    posted = POST_REJECTED(edge, body, reason)
    edge.served_rejected = False
    return posted


def _keep_version_after_outage(edge, outcome):
    version = edge.served_version
    delay_s = HANDLE_TEMPLATE_OUTCOME.__get__(edge)(outcome)
    if isinstance(outcome, Unavailable):
        edge.served_version = version
    return delay_s


STEP_MUTATIONS = {
    "inherited runs forgotten": (
        "lagoontally_core._inherit._restore_remembered",
        lambda record, step_context: None,
    ),
    "joining members don't ask": (
        "lagoontally_core._step._is_known_to_members",
        lambda step_context: True,
    ),
    "templates lost in a pause": (
        "lagoontally_core._step.handle_outdated",
        lambda event, step_context: None,
    ),
    "rejected versions watched for good": (
        "lagoontally_edges.PlatformEdge.post_rejected",
        _watch_rejected_for_good,
    ),
    "the watch outlives an outage": (
        "lagoontally_edges.PlatformEdge.handle_template_outcome",
        _keep_version_after_outage,
    ),
}


def _exploration_named(name):
    (found,) = [item for item in EXPLORATIONS if item.name == name]
    return found


@given("the core is mutated: {name}")
@given("the platform edge is mutated: {name}")
def step_mutated(context, name):
    """The mutated part breaks one promise."""
    if name in STEP_MUTATIONS:
        context.undo.enter_context(patch(*STEP_MUTATIONS[name]))
    else:
        context.undo.enter_context(apply_mutation(name))


@when('"{name}" is explored')
def step_explored(context, name):
    """The search stops at a maximum number of states."""
    context.report = explore(_exploration_named(name), states_limit=STATES_LIMIT).report


@when('"{name}" is walked {walks:d} times for {length:d} moves')
def step_walked(context, name, walks, length):
    """The walks are derandomized."""
    context.walk = lambda: walk(
        _exploration_named(name).model(), walks=walks, length=length
    )
    context.walked = context.walk()


@then("every state is visited and no promise is broken")
def step_complete(context):
    """The search is exhaustive and finds no violation."""
    assert context.report.violation is None, context.report.violation
    assert context.report.complete, context.report


@then('some states show "{outcome}"')
def step_shows(context, outcome):
    """The search covers states with the outcome, so that its result means something."""
    assert context.report.outcomes.get(outcome), context.report.outcomes


@then("the search reports: {broken}")
def step_found(context, broken):
    """The search ends at a state that breaks the promise."""
    assert context.report.violation is not None, context.report
    assert broken in context.report.violation.detail, context.report.violation


@then("no walk breaks a promise")
def step_walks_hold(context):
    """The walks make moves and reach no state that breaks a promise."""
    assert not context.walked.violation, context.walked.violation
    assert context.walked.steps, context.walked


@then("the same walks again give the same report")
def step_walks_alike(context):
    """The moves don't depend on the run."""
    assert context.walk() == context.walked


@then("a walk breaks a promise")
def step_walk_breaks(context):
    """A violation is reported."""
    assert context.walked.violation, context.walked


@given("three balancers, and a command run by A with the successors B and then C")
def step_crosswise(context):
    """The session's successor is B among B and C, and C among A and C."""
    _start_model(context, CROSSWISE_SUCCESSORS)


@given("three balancers, and a command run by A with the successor C")
def step_straight(context):
    """The session's successor is C among B and C, and among A and C."""
    _start_model(context, STRAIGHT_SUCCESSORS)


@given("a leaving successor that doesn't wait for an announcement")
def step_impatient(context):
    """The announcement arrives after the leaving successor stopped waiting."""
    patched = patch(
        "lagoontally_core._leave.awaits_succession", lambda step_context: False
    )
    patched.start()
    context.add_cleanup(patched.stop)


def _start_model(context, successor_choices):
    budget = Budget(copies=2, leaves=2, ticks=4)
    scope = Scope(3, 1, budget, True, successor_choices, TWO_LEAVES_PRELUDE[:4])
    context.model = AtMostOnceModel(scope)
    context.states = [context.model.initial()]


@when("these moves are made, where possible")
def step_moves(context):
    """Moves of messages that weren't sent are skipped."""
    for prefix in context.text.splitlines():
        for move, next_state in context.model.successors(context.states[-1]):
            if move.startswith(prefix):
                context.states.append(next_state)
                break


@then("no promise is broken in any state")
def step_moves_hold(context):
    """The initial state and the state after each move break no promise."""
    breaches = [context.model.find_violation(state) for state in context.states]
    assert not any(breaches), breaches


@then("a copy of the command is answered: {kind}")
def step_copy_answered(context, kind):
    """The last move adds one answer to the caller, of type ``kind``."""
    before, after = (set(state.messages) for state in context.states[-2:])
    (new,) = (context.states[-1].messages[key].text for key in after - before)
    assert new == f"{kind} to datagram 0.1", new
