"""Steps for limits on new flows by what all balancers saw."""

from behave import given, then, when
from fixtures import SERVICE, configuration
from load_reports import HOSTS, REPORT_MS, USUAL_MS, report, report_for, waits_of

from lagoontally_flows import ACK, FIN, DemandDigest, Forward, LoadAdvice
from lagoontally_flows._load import shortest_objectives

LONG_WAIT_MS = 180
SLOW_MS = 60
LISTED_SLOTS = 8
ANSWER_BYTES = 2_400
RATE_MS = 1_000


@given("an objective of {objective_ms:d} ms")
def step_objective(context, objective_ms):
    """The configuration states it."""
    changed = configuration(2)
    routes = {
        place: route._replace(objective_ms=objective_ms)
        for place, route in changed.routes.items()
    }
    assert shortest_objectives(routes.values()) == {SERVICE: objective_ms}
    context.world.balancer.configure(changed._replace(routes=routes))
    context.world.balancer.admission.members = len(HOSTS)


@given(
    "{seconds:d} s in which all targets are equally fast "
    "and callers take {percent:d}% of the slots"
)
def step_calm(context, seconds, percent):
    """The reader learns what is usual."""
    arrivals = asked(percent)
    report_for(context, seconds, waits_of(context, (), 1), arrivals=arrivals)


def asked(percent):
    """Return a member's new flows that take a part of the slots, in an interval."""
    slots = percent / 100 * LISTED_SLOTS
    return [(SERVICE, round(slots / USUAL_MS * REPORT_MS / len(HOSTS)), 0)]


def tell_remote_load(context):
    """Let the other data centre tell that its slots are all busy."""
    demands = [(SERVICE, 2 * LISTED_SLOTS, LISTED_SLOTS)]
    world = context.world
    digest = DemandDigest(context.remote[0].data_centre, demands, True)
    world.balancer.load_sharing.on_digest(digest, HOSTS[0], world.now_ms)


def report_trouble(context, troubled, state, seconds):
    """Report targets that have queues, or are slow with slots free."""
    waits = {one.cookie: USUAL_MS for one in (*context.targets, *context.remote)}
    for one in troubled:
        waits[one.cookie] = {"have queues": LONG_WAIT_MS, "are slow": SLOW_MS}.get(
            state, USUAL_MS
        )
    count = 1 if state == "are slow" else 3
    for _ in range(seconds * 1_000 // REPORT_MS):
        if set(context.remote) & set(troubled):
            tell_remote_load(context)
        report(
            context,
            [pair for pair in waits.items() for _ in range(count)],
            arrivals=[(SERVICE, 40, 10)],
        )


@when("{local:d} local targets {state} and {remote:d} remote ones for {seconds:d} s")
def step_trouble(context, local, state, remote, seconds):
    """Callers of both data centres ask for more than there is."""
    troubled = [*context.targets[:local], *context.remote[:remote]]
    report_trouble(context, troubled, state, seconds)


@when("callers are refused and no target answers for {seconds:d} s")
def step_few_answers(context, seconds):
    """Little is let in."""
    sharing = context.world.balancer.load_sharing
    context.limit_before = sharing.limits.limited()[SERVICE]
    for _ in range(seconds * 1_000 // REPORT_MS):
        report(context, (), arrivals=[(SERVICE, 30, 30)])


@when("a reader tells a limit of {per_s:d} new flows a second")
def step_told(context, per_s):
    """To each of its members."""
    tell(context, 10 * per_s)


def tell(context, tenths):
    """Take over a reader's advice on the service."""
    advice = LoadAdvice([], [], [], [(SERVICE, tenths)])
    world = context.world
    world.balancer.load_sharing.advice.on_advice(advice, world.now_ms)


@when("{count:d} callers come within a second")
def step_callers(context, count):
    """All targets serve at once."""
    world = context.world
    context.let_in = 0
    for _ in range(count):
        flow = world.new_flow()
        action = world.syn(flow)
        if isinstance(action, Forward):
            context.let_in += 1
            cookie = action.target.cookie
            world.send(flow, cookie=cookie, sequence=100, length=100)
            acknowledged = 1 + ANSWER_BYTES
            world.send(flow, ACK | FIN, cookie=cookie, sequence=200, ack=acknowledged)
        world.wait(RATE_MS // count)


@then("new flows are {state}")
def step_limited(context, state):
    """By what the reader found."""
    limited = context.world.balancer.load_sharing.limits.limited()
    assert bool(limited) == (state == "limited"), limited


@then("the limit is between {least:g} and {most:g} of what targets serve")
def step_limit(context, least, most):
    """Slots stay busy."""
    limit = context.world.balancer.load_sharing.limits.limited()[SERVICE]
    answers = 3 * len(HOSTS) * len([*context.targets, *context.remote])
    served_per_s = answers * 1_000 / REPORT_MS
    assert least * served_per_s <= limit <= most * served_per_s, (limit, served_per_s)


@then("the limit has grown")
def step_grown(context):
    """Nothing speaks for it any more."""
    limited = context.world.balancer.load_sharing.limits.limited()
    assert limited.get(SERVICE, 1e9) > context.limit_before, limited


@then("between {least:d} and {most:d} of them are let in")
@then("{least:d} of them are let in")
def step_let_in(context, least, most=None):
    """The others are refused at once."""
    assert least <= context.let_in <= (most or least), context.let_in
