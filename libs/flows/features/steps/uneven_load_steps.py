"""Steps for uneven demand and uneven targets."""

from behave import then, when
from fixtures import LOCAL, REMOTE, SERVICE
from load_reports import HOSTS, REPORT_MS, USUAL_MS, report, report_for, waits_of

from lagoontally_flows import ACK, FIN, DemandDigest, LoadAdvice
from lagoontally_flows._load import slow_share, spill_parts

REFUSED_MS = 3  # the way to the target and back
LISTED_SLOTS = 20


@when("{count:d} target takes {factor:d} times as long as the others for {seconds:d} s")
@when("{count:d} targets take {factor:d} times as long as the others for {seconds:d} s")
def step_slow(context, count, factor, seconds):
    """All members see it."""
    context.slow = context.targets[:count]
    report_for(context, seconds, waits_of(context, context.slow, factor))


@when(
    "the remote targets take {factor:d} times as long as the others for {seconds:d} s"
)
def step_remote_slow(context, factor, seconds):
    """The way is longer."""
    report_for(context, seconds, waits_of(context, context.remote, factor))


@when(
    "one balancer says that 1 target takes {factor:d} times as long for {seconds:d} s"
)
def step_one_says(context, factor, seconds):
    """The others see nothing of it."""
    waits = waits_of(context, context.targets[:1], factor)
    report_for(context, seconds, waits, hosts=HOSTS[:1])


@when(
    "one balancer says that 1 target takes {factor:d} times as long for {seconds:d} s, "
    "others that it doesn't"
)
def step_slow_balancer(context, factor, seconds):
    """It saw most of the answers."""
    slow = waits_of(context, context.targets[:1], factor)
    usual = waits_of(context, (), 1)
    for _ in range(seconds):
        report_for(context, 1, slow, hosts=HOSTS[:1])
        report(context, usual.items(), hosts=HOSTS[1:2])


@when(
    "{count:d} targets refuse at once and {rest:d} take {factor:d} times as long "
    "for {seconds:d} s"
)
def step_refuse(context, count, rest, factor, seconds):
    """Their queues are full."""
    waits = waits_of(context, context.targets[count:], factor)
    for target in context.targets[:count]:
        waits[target.cookie] = REFUSED_MS
    assert len(context.targets) == count + rest
    report_for(context, seconds, waits)


@when("each target takes {factor:d} times as long for 1 request in {count:d}")
def step_tail(context, factor, count):
    """Some requests are long."""
    for number in range(40):
        waits = waits_of(context, (), 1)
        for index, cookie in enumerate(waits):
            waits[cookie] *= factor if (index + number) % count == 0 else 1
        report(context, waits.items())
        assert not context.world.balancer.load_sharing.speeds.shares


@when("all targets are equally fast for {seconds:d} s")
def step_fast(context, seconds):
    """The slow ones have recovered."""
    shares = report_for(context, seconds, waits_of(context, (), 1))
    context.steps = [share for one in shares for share in one.values()]


@when("no answer is reported for {seconds:d} s")
def step_no_answer(context, seconds):
    """No flow went there."""
    report_for(context, seconds, {})


@when("a reader advises a share of {percent:d}% for a target")
def step_advice(context, percent, cookie=None):
    """Its advice arrives once."""
    cookie = cookie or context.targets[0].cookie
    advice = LoadAdvice([(cookie, percent)], [], [])
    context.world.balancer.load_sharing.advice.on_advice(advice, context.world.now_ms)


@when("a reader advises a share of {percent:d}% for an unknown target")
def step_advice_unknown(context, percent):
    """The reader's view is another."""
    step_advice(context, percent, cookie=77)


@when("callers keep {slots:d} slots busy for {seconds:d} s")
def step_busy(context, slots, seconds):
    """New flows come at the rate that takes these slots."""
    keep_busy(context, slots, seconds, USUAL_MS)


@when(
    "callers keep {slots:d} slots busy for {seconds:d} s while targets refuse at once"
)
def step_busy_refused(context, slots, seconds):
    """Most answers are refusals."""
    keep_busy(context, slots, seconds, REFUSED_MS)


@when(
    "all local targets take {factor:d} times as long "
    "while callers keep {slots:d} slots busy for {seconds:d} s"
)
def step_busy_slow(context, factor, slots, seconds):
    """The same callers, and each is served later."""
    keep_busy(context, slots, seconds, factor * USUAL_MS)


@when("{count:d} targets warm up and take {factor:d} times as long for {seconds:d} s")
def step_warm_up(context, count, factor, seconds):
    """They have returned, and say so in their entries."""
    context.targets = [
        target._replace(warm_up_ms=5_000 if index < count else 0)
        for index, target in enumerate(context.targets)
    ]
    context.world.list_targets(*context.targets)
    step_slow(context, count, factor, seconds)


@when(
    "all slots of {count:d} targets are busy "
    "and callers wait {factor:d} times as long for {seconds:d} s"
)
def step_queues(context, count, factor, seconds):
    """Each slot serves a request after another."""
    for _ in range(seconds * 1_000 // REPORT_MS):
        answers = [(target.cookie, USUAL_MS) for target in context.targets[count:]] * 3
        for target in context.targets[:count]:
            served = round(target.slots * REPORT_MS / USUAL_MS / len(HOSTS))
            answers += [(target.cookie, factor * USUAL_MS)] * served
        report(context, answers)


def keep_busy(context, slots, seconds, waited_ms):
    """Report arrivals, and answers that took this long."""
    arrivals = [(SERVICE, round(slots / USUAL_MS * REPORT_MS / len(HOSTS)), 0)]
    local = {target.cookie: waited_ms for target in context.targets}
    report_for(context, seconds, local, arrivals=arrivals)


@when("demand varies between {least:d} and {most:d} slots for {seconds:d} s")
def step_varies(context, least, most, seconds):
    """A second each."""
    for second in range(seconds):
        step_busy(context, (least, most)[second % 2], 1)


@when("{count:d} flows come and go")
def step_come_and_go(context, count):
    """Through many balancers, each flow closed before the next opens."""
    context.counts = {}
    for number in range(count):
        context.world.balancer.target_selector.order.rank = number
        flow = context.world.new_flow()
        target = context.world.syn(flow).target
        context.counts[target.cookie] = context.counts.get(target.cookie, 0) + 1
        context.world.send(flow, ACK | FIN, cookie=target.cookie, ack=6_000)


@then("the slow targets together get between {least:d} and {most:d} flows")
def step_slow_share(context, least, most):
    """They aren't left without any."""
    count = sum(context.counts.get(target.cookie, 0) for target in context.slow)
    assert least <= count <= most, context.counts


@then("each target gets {count:d} flows")
def step_each(context, count):
    """They are divided among the balancers."""
    counts = [context.counts.get(target.cookie) for target in context.targets]
    assert counts == [count] * len(counts), counts


@then("each target gets between {least:d} and {most:d} flows")
def step_each_between(context, least, most):
    """None is left with few."""
    counts = [context.counts.get(target.cookie, 0) for target in context.targets]
    assert least <= min(counts) <= max(counts) <= most, counts


@then("between {least:d}% and {most:d}% of them are local")
def step_local(context, least, most):
    """The rest goes to other data centres."""
    local = sum(context.counts.get(target.cookie, 0) for target in context.targets)
    percent = 100 * local / sum(context.counts.values())
    assert least <= percent <= most, percent


@then("at speed {speed:g} and load {load:g} its share is {percent:d}%")
def step_slow_share_of(context, speed, load, percent):
    """All the slots that are left count where all are busy."""
    assert round(100 * slow_share(speed, load)) == percent, slow_share(speed, load)


@then("no target is set aside")
@then("at most {most:d} targets are set aside")
def step_set_aside(context, most=0):
    """The ceiling holds."""
    shares = context.world.balancer.load_sharing.speeds.shares
    assert len(shares) <= most, shares
    assert bool(shares) == bool(most), shares


@then("{count:d} targets are set aside")
def step_set_aside_exactly(context, count):
    """By slowness or by faults."""
    shares = context.world.balancer.load_sharing.speeds.shares
    assert len(shares) == count, shares


@then("its share rises in at least {count:d} steps")
def step_steps(context, count):
    """It isn't flooded at once."""
    assert context.steps == sorted(set(context.steps)), context.steps
    assert len(context.steps) >= count, context.steps


@then('"{event}" is logged once')
@then('"{event}" is logged {count:d} times')
def step_logged(context, event, count=1):
    """Changes are logged, not states."""
    names = [one.event for one in context.events]
    assert names.count(event) == count, names


@then('"{event}" is never logged')
def step_not_logged(context, event):
    """Nothing of the kind happened."""
    assert event not in [one.event for one in context.events], context.events


@then("neither advice nor digests were sent")
def step_silent(context):
    """Bytes between data centres are dear."""
    assert context.sent and not any(context.sent), context.sent


@then('with {slots:d} slots each and demand "{demands}", "{own}" sends {parts}')
def step_parts(context, slots, demands, own, parts):
    """The division follows the demand known."""
    known = dict(item.split() for item in demands.split(", "))
    known = {name: float(busy) for name, busy in known.items()}
    found = spill_parts(own, dict.fromkeys("abc", slots), known)
    wanted = (
        {} if parts == "nothing" else dict(one.split() for one in parts.split(", "))
    )
    assert found.keys() == wanted.keys(), found
    for name, percent in wanted.items():
        assert abs(100 * found[name] - int(percent[:-1])) <= 1, found


@when("the remote data centre tells that {slots:d} slots are busy")
def step_told(context, slots):
    """A seed passed it on."""
    step_told_both(context, slots, LISTED_SLOTS)


@when(
    "the remote data centre tells that {busy:d} slots are busy of {slots:d} that it has"
)
def step_told_both(context, busy, slots):
    """Slow targets count in part."""
    digest = DemandDigest(REMOTE, [(SERVICE, busy, slots)], True)
    world = context.world
    world.balancer.load_sharing.on_digest(digest, HOSTS[0], world.now_ms)


def remote_demand(context):
    """Return what is known of the remote data centre's demand."""
    demand = context.world.balancer.load_sharing.demand
    return demand.by_data_centre(SERVICE, LOCAL, context.world.now_ms).get(REMOTE)


@then("its demand counts as {slots:d} slots")
def step_counts(context, slots):
    """It is fresh."""
    assert remote_demand(context) == slots


@then("{duration_ms:d} ms later it isn't known")
def step_unknown(context, duration_ms):
    """Nothing was heard since."""
    context.world.wait(duration_ms)
    assert remote_demand(context) is None


def pass_on(context, data_centre, host, *, passed_on=False):
    """Deliver a digest; return where it goes."""
    world = context.world
    digest = DemandDigest(data_centre, [(SERVICE, 30, LISTED_SLOTS)], passed_on)
    return world.balancer.load_sharing.on_digest(digest, host, world.now_ms)


@when('readers of "{first}", "{second}" and "{third}" send digests to this seed')
def step_readers(context, first, second, third):
    """Each from its own host."""
    context.hosts = dict(zip((first, second, third), HOSTS, strict=True))
    for name, host in context.hosts.items():
        pass_on(context, name, host)


@then('the next of "{first}" goes to the readers of "{second}" and "{third}"')
def step_passed(context, first, second, third):
    """Not back to its sender."""
    found = pass_on(context, first, context.hosts[first])
    assert found == [context.hosts[second], context.hosts[third]], found


@then("one that was passed on goes to nobody")
def step_no_loop(context):
    """Seeds don't pass on each other's."""
    assert pass_on(context, "camilla", "10.9.0.1", passed_on=True) == []


@then("{duration_ms:d} ms later it goes to nobody else")
def step_forgotten(context, duration_ms):
    """Readers that are silent aren't loaded, or have ended."""
    context.world.wait(duration_ms)
    assert pass_on(context, "tifton", HOSTS[0]) == []
