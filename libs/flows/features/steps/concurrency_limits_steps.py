"""Steps for limits on requests in hand by what all balancers saw."""

from behave import given, then, when
from fixtures import SERVICE, configuration
from load_reports import HOSTS, REPORT_MS, USUAL_MS, report, report_for, waits_of

from lagoontally_flows import (
    ACCEPTED,
    ACK,
    FIN,
    REFUSED,
    DemandDigest,
    Forward,
    LoadAdvice,
)
from lagoontally_flows._load import shortest_objectives

LONG_WAIT_MS = 180
SLOW_MS = 60
LISTED_SLOTS = 8
ANSWER_BYTES = 2_400
COPY_MS = 200


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


@when("all targets are dead for {seconds:d} s")
def step_dead(context, seconds):
    """They refuse probes."""
    probe(context, [*context.targets, *context.remote], REFUSED)
    for _ in range(seconds * 1_000 // REPORT_MS):
        report(context, (), arrivals=[(SERVICE, 0, 10)])


@when("the first of them is back")
def step_first_back(context):
    """No answer tells anything yet."""
    probe(context, context.targets[:1], ACCEPTED)


@when("all of them are back")
def step_all_back(context):
    """At once."""
    probe(context, [*context.targets, *context.remote], ACCEPTED)


def probe(context, targets, evidence):
    """Let probes of some targets end with the same result."""
    world = context.world
    for target in targets:
        world.balancer.on_probe_result(target.cookie, evidence, world.now_ms)


@when("a reader tells a limit of {in_hand:g} requests in hand at each target")
def step_told(context, in_hand):
    """To each of its members."""
    tell(context, in_hand)


@when(
    "a reader tells a limit of {in_hand:g} requests in hand at each target "
    "but {local:g} at the local ones"
)
def step_told_local(context, in_hand, local):
    """Those have too little room."""
    tell(context, in_hand, {one.cookie: local for one in context.targets})


def tell(context, in_hand, by_target=()):
    """Take over a reader's advice on the service."""
    pairs = [(cookie, round(100 * most)) for cookie, most in dict(by_target).items()]
    advice = LoadAdvice([], [], [], [(SERVICE, round(100 * in_hand), pairs)])
    world = context.world
    world.balancer.load_sharing.advice.on_advice(advice, world.now_ms)


def send_requests(context, count, *, answered):
    """Open flows with a request each; return those that are let in."""
    world, opened = context.world, []
    for _ in range(count):
        flow = world.new_flow()
        action = world.syn(flow)
        if isinstance(action, Forward):
            cookie = action.target.cookie
            opened.append((flow, cookie))
            world.send(flow, cookie=cookie, sequence=100, length=100)
            if answered:
                end(world, flow, cookie, acknowledged=1 + ANSWER_BYTES)
    return opened


def end(world, flow, cookie, *, acknowledged=1):
    """Let a caller end its flow."""
    world.send(flow, ACK | FIN, cookie=cookie, sequence=200, ack=acknowledged)


@when("{count:d} callers come whose requests aren't answered")
def step_unanswered(context, count):
    """They wait on."""
    context.opened = send_requests(context, count, answered=False)


@when("{count:d} callers come who are answered at once")
def step_answered(context, count):
    """Before the next one comes."""
    context.opened = send_requests(context, count, answered=True)


@when("they end their flows")
def step_end(context):
    """Without an answer."""
    for flow, cookie in context.opened:
        end(context.world, flow, cookie)


@when("a caller whose SYN isn't answered sends it again")
def step_repeated(context):
    """Its target is silent."""
    world = context.world
    flow = world.new_flow()
    first = world.syn(flow)
    world.wait(COPY_MS)
    second = world.syn(flow, copy=1)
    context.tried = [action.target.cookie for action in (first, second)]


@when("routers hand the flows to other balancers")
def step_rehashed(context):
    """A peer says so."""
    context.world.balancer.on_flows_rehashed(context.world.now_ms)


@then("only the later target has its request in hand")
def step_moved(context):
    """It counts once."""
    first, second = context.tried
    assert first != second, context.tried
    by_target = context.world.balancer.flows.in_hand.by_target
    assert by_target == {second: 1}, (by_target, context.tried)


@then("requests in hand are {state}")
def step_limited(context, state):
    """By what the reader found."""
    limited = context.world.balancer.load_sharing.limits.limited()
    assert bool(limited) == (state == "limited"), limited


def limit(context):
    """Return the requests in hand that the reader allows its data centre."""
    return context.world.balancer.load_sharing.limits.limited()[SERVICE]


def slots(context):
    """Return the slots of all targets."""
    return sum(target.slots for target in (*context.targets, *context.remote))


@then("the limit is no less than the slots")
def step_busy(context):
    """They stay busy."""
    assert limit(context) >= slots(context), limit(context)


@then("the limit is no less than half of the slots")
def step_half(context):
    """There are two data centres."""
    assert limit(context) >= slots(context) / 2, limit(context)


@then("the limit is at most what targets serve in {duration_ms:d} ms")
def step_bounded(context, duration_ms):
    """By Little's law, nobody waits longer on average."""
    answers = 3 * len(HOSTS) * len([*context.targets, *context.remote])
    most = answers / REPORT_MS * duration_ms
    assert limit(context) <= most, (limit(context), most)


@then("{count:d} of them are let in")
def step_let_in(context, count):
    """The others are refused at once."""
    assert len(context.opened) == count, len(context.opened)


@then(
    "the local targets have {local:d} requests in hand and the remote ones {remote:d}"
)
def step_in_hand(context, local, remote):
    """By their limits."""
    in_hand = context.world.balancer.flows.in_hand
    found = [in_hand.at(targets) for targets in (context.targets, context.remote)]
    assert found == [local, remote], found
