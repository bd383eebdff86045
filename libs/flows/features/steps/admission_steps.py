"""Steps for admission where targets have too little room."""

import itertools
from random import Random

from behave import given, then, when
from fixtures import IDLE_TIMEOUT_MS, SERVICE, World, make_target

from lagoontally_flows import (
    ACK,
    FIN,
    Answer,
    Configuration,
    LogEvent,
    Reset,
    Route,
    Service,
)
from lagoontally_flows._admission._evidence import ServiceEvidence

LOOKUP = (0xC6120001, 443)
CONFIRMATION = (0xC6120002, 443)
OTHER_LOOKUP = (0xC6120003, 443)
SHARES = ((SERVICE, 1),)
ROUTES = {
    LOOKUP: Route("lookup", SHARES, True, 600, 3_600, 2),
    OTHER_LOOKUP: Route("other", SHARES, True, 600, 3_600, 2),
    CONFIRMATION: Route("confirmation", SHARES, False, 600, 3_600, 1),
}
REFUSAL_WAIT_MS = 80
CONFIRMATIONS_EVERY = 5


@given("lookups and confirmations to {count:d} targets")
def step_routes(context, count):
    """Two routes of different rank use the same targets."""
    world = context.world = World()
    context.services = {}
    world.balancer.configure(Configuration(2, ROUTES, IDLE_TIMEOUT_MS))
    world.list_targets(*[make_target(number + 1) for number in range(count)])
    context.refusing = None
    context.refusing_share = 1.0
    context.others_every = 0
    context.random = Random(5)
    context.short_share = 0.0
    context.lengths = (160, 600)
    context.seconds = []
    context.due = []
    context.tokens = 0.0


@when(
    "a service gives {first:d} answers of {long:d} bytes, {count:d} of {short:d} and "
    "one of {last:d}"
)
def step_turns_short(context, first, long, count, short, last):
    """All on one route, 20 ms apart."""
    context.evidence = ServiceEvidence()
    lengths = [long] * first + [short] * count + [last]
    for context.now_ms, length in zip(itertools.count(step=20), lengths):
        answer = Answer((1, 1, *LOOKUP), 1, SERVICE, 10, length)
        context.evidence.on_answer(answer, context.now_ms)


@then("its targets aren't found to refuse more than usual")
def step_usual(context):
    """One answer doesn't stand for more than came, 50 a second."""
    evidence, now_ms = context.evidence, context.now_ms
    assert evidence.refused_share(now_ms) < 0.01, evidence.refused_share(now_ms)
    assert 0.0 <= evidence.served_per_s(now_ms) <= 60.0
    assert not evidence.exceeds_usual(now_ms)


@given("one target that refuses")
def step_one_refuses(context):
    """A target refuses each request at once."""
    context.refusing = make_target(1).cookie


@given("one target that refuses half of its requests")
def step_one_is_grey(context):
    """A target refuses some requests at once and serves the others."""
    context.refusing = make_target(1).cookie
    context.refusing_share = 0.5


@given("{share:g} of what targets serve of lookups has a short answer")
def step_short(context, share):
    """Some answers to lookups that took work are as short as a refusal."""
    context.short_share = share


@given("refusals of {refusal:d} bytes and other answers of {served:d}")
def step_lengths(context, refusal, served):
    """Lengths depend on the headers that targets send."""
    context.lengths = (refusal, served)


@given("a second route of lookups that gets every twelfth caller")
def step_second_route(context):
    """Few callers use the second route."""
    context.others_every = 12


@given("admission is off")
def step_off(context):
    """The operator has switched admission off."""
    context.world.balancer.admission.enabled = False


@given("targets that hold {most:d} connections, and {members:d} balancers")
def step_connections(context, most, members):
    """Balancers share the connections of targets."""
    services = {SERVICE: Service(SERVICE, 0, 0, most)}
    configured = Configuration(3, ROUTES, IDLE_TIMEOUT_MS, services)
    context.world.balancer.configure(configured)
    context.world.balancer.admission.members = members


@when("{rate:d} callers a second come for {seconds:d} s and targets {how}")
def step_load(context, rate, seconds, how):
    """Callers come one by one and targets answer them."""
    for _ in range(seconds):
        context.seconds.append(_second(context, rate, how))


@when("{count:d} flows are opened and stay open")
def step_stay_open(context, count):
    """Flows are opened and not closed."""
    context.placed = [context.world.open_flow(LOOKUP)[1] for _ in range(count)]


@then("nobody is refused")
def step_nobody(context):
    """Every caller got a target."""
    refused = _refused(context.seconds)
    assert not refused, (len(refused), refused[0])


@then("nobody is refused in the last second")
def step_nobody_late(context):
    """Every caller of the last second got a target."""
    assert not _refused(context.seconds[-1:]), context.seconds[-1]


@then("at most {most:d} flows went to the target that refuses")
def step_few(context, most):
    """The refusing target was left out most of the time."""
    sent = [one for second in context.seconds for one in second]
    count = sum(cookie == context.refusing for _, _, cookie, _ in sent)
    assert 0 < count <= most, count


@then("targets refuse less than {share:g} of what they get in the last second")
def step_targets_refuse(context, share):
    """Few flows are sent in vain."""
    sent = [one for one in context.seconds[-1] if one[2]]
    in_vain = sum(not served for _, _, _, served in sent)
    assert in_vain < share * len(sent), (in_vain, len(sent))


@then(
    "the balancer refuses between {least:g} and {most:g} of the callers "
    "in the last second"
)
def step_balancer_refuses(context, least, most):
    """The callers that targets have no room for are refused."""
    share = len(_refused(context.seconds[-1:])) / len(context.seconds[-1])
    assert least <= share <= most, share


@then(
    "at least {first:g} of the confirmations and {second:g} of the lookups are let in"
)
def step_kinds(context, first, second):
    """Kinds are let in by their rank."""
    for route, least in ((CONFIRMATION, first), (LOOKUP, second)):
        asked = [one for part in context.seconds[1:] for one in part if one[0] == route]
        share = sum(one[1] is None for one in asked) / len(asked)
        assert share >= least, (route, share)


@then("the second route gets at least {least:g} of its callers let in")
def step_second_floor(context, least):
    """The crowd on the first one doesn't shut them out."""
    asked = [one for second in context.seconds[2:] for one in second]
    asked = [one for one in asked if one[0] == OTHER_LOOKUP]
    share = sum(one[1] is None for one in asked) / len(asked)
    assert share >= least, share


@then("both routes of lookups get some callers let in each second")
def step_both(context):
    """Neither route starves the other."""
    for second in context.seconds:
        let_in = {one[0] for one in second if one[1] is None}
        assert {LOOKUP, OTHER_LOOKUP} <= let_in, let_in


@then("shedding was logged from its begin to its end")
def step_logged(context):
    """Operators see one line for the begin, the kind and the end."""
    context.world.wait(1_500)
    events = [one for one in context.world.effects if isinstance(one, LogEvent)]
    names = [one.event for one in events if one.event.startswith("shedding")]
    assert names[0] == "shedding_began" and names[-1] == "shedding_ended", names
    assert names.count("shedding_began") == names.count("shedding_ended"), names


@then("the begin of shedding was logged with what it was decided by")
def step_inputs(context):
    """The evidence at the begin, not what is left of it afterwards."""
    effects = context.world.effects
    began = [one for one in effects if getattr(one, "event", "") == "shedding_began"]
    fields = dict(began[0].fields)
    assert fields["reason"] == "no_room" and fields["refused_share"] >= 0.15, fields
    assert fields["mean_wait_ms"] >= 50 and fields["answer_age_ms"] <= 100, fields


@then("the rate of the service is shown while it is shed")
def step_rate(context):
    """It ends with shedding."""
    admission = context.world.balancer.admission
    assert admission.rates()[SERVICE] >= 1.0
    assert admission.mean_waits(context.world.now_ms)[SERVICE] > 0
    context.world.wait(3_000)
    assert SERVICE not in admission.rates()


@then("refusals were counted by kind and reason")
def step_counted(context):
    """Operators see whom the balancer refused, and why."""
    refusals = context.world.balancer.admission.refusals
    assert (SERVICE, "priority-2-repeatable", "no_room") in refusals, refusals
    refused = len(_refused(context.seconds))
    assert sum(refusals.values()) == refused, (refusals, refused)


@then("a copy of a SYN that came another way is let in")
def step_copy(context):
    """The first SYN may have opened the flow through another balancer."""
    world = context.world
    for _ in range(50):
        assert not isinstance(world.syn(world.new_flow(LOOKUP), copy=1), Reset)


@then("a copy of a refused SYN is refused")
def step_refused_copy(context):
    """The caller hears the same again."""
    world = context.world
    flows = [world.new_flow(LOOKUP) for _ in range(50)]
    refused = [flow for flow in flows if isinstance(world.syn(flow), Reset)]
    assert refused
    assert all(isinstance(world.syn(flow, copy=1), Reset) for flow in refused)


@then("some callers are refused because the wait exceeds their deadline")
def step_deadline(context):
    """A run that comes too late would help nobody."""
    reasons = {one[1] for one in _refused(context.seconds)}
    assert reasons == {"wait_exceeds_deadline"}, reasons


@then("each target has at most {most:d} of them")
def step_share(context, most):
    """The connections of targets are shared among balancers."""
    counts = context.world.balancer.flows.open_flows
    assert max(counts.values()) <= most, counts


def _second(context, rate, how):
    """Play one second; return route, reason, cookie and whether it was served."""
    world, results, due = context.world, [], context.due
    tokens = context.tokens
    for number in range(rate):
        route = LOOKUP if number % CONFIRMATIONS_EVERY else CONFIRMATION
        if context.others_every and number % context.others_every == 1:
            route = OTHER_LOOKUP
        flow = world.new_flow(route)
        action = world.syn(flow)
        if isinstance(action, Reset):
            results.append((route, action.reason, 0, False))
        else:
            cookie = action.target.cookie
            wait_ms, (length, served_length) = REFUSAL_WAIT_MS, context.lengths
            tokens = min(3.0, tokens)
            grey = context.random.random() < context.refusing_share
            if how == "refuse all" or (cookie == context.refusing and grey):
                served = False
            elif how.startswith("serve all"):
                served = True
                wait_ms = int(how.split()[3])
            else:
                served = tokens >= 1.0
                tokens -= served
                if served:
                    wait_ms = 100
            short = route == LOOKUP and context.random.random() < context.short_share
            if served and not short:
                length = served_length
            world.send(flow, cookie=cookie, ack=5_000)
            world.send(flow, cookie=cookie, ack=5_000, length=169)
            due.append((world.now_ms + wait_ms, flow, cookie, length))
            results.append((route, None, cookie, served))
        if how.endswith("a second"):
            tokens += int(how.split()[1]) / rate
        due = _answer(world, due, world.now_ms + 1_000 // rate)
    context.due, context.tokens = due, tokens
    return results


def _answer(world, due, until_ms):
    """Let time pass and callers acknowledge the answers that are due."""
    later = []
    for at_ms, flow, cookie, length in sorted(due):
        if at_ms > until_ms:
            later.append((at_ms, flow, cookie, length))
            continue
        world.wait(max(0, at_ms - world.now_ms))
        world.send(flow, ACK | FIN, cookie=cookie, ack=5_000 + length)
    world.wait(until_ms - world.now_ms)
    return later


def _refused(seconds):
    return [one for second in seconds for one in second if one[1] is not None]
