"""Steps for uneven demand and uneven targets."""

from math import gcd

from behave import given, then, when
from fixtures import LOCAL, REMOTE, SERVICE, configuration

from lagoontally_flows import (
    ACCEPTED,
    ACK,
    FIN,
    REFUSED,
    DemandDigest,
    LoadAdvice,
    LoadReport,
    Service,
    target_cookie,
    target_order,
)
from lagoontally_flows._load import slow_share, spill_parts

USUAL_MS = 20
REFUSED_MS = 3  # the way to the target and back
REPORT_MS = 500
HOSTS = ("10.1.0.1", "10.1.0.2", "10.1.0.3")


def report(context, answers, arrivals=(), hosts=HOSTS, flows=()):
    """Let members report and the reader advise, then pass half a second."""
    world = context.world
    sharing = world.balancer.load_sharing
    sharing.advise(world.now_ms - REPORT_MS, reader=True)
    for host in hosts:
        sharing.on_report(
            LoadReport(list(arrivals), list(answers), list(flows)), host, world.now_ms
        )
    advice, digest, events = sharing.advise(world.now_ms, reader=True)
    context.sent = [*getattr(context, "sent", ()), advice, digest]
    context.events = [*getattr(context, "events", ()), *events]
    world.wait(REPORT_MS)
    return sharing.speeds.shares


def report_for(context, seconds, waits, **fields):
    """Report answer times by target, three answers a member, for some seconds."""
    answers = [(cookie, wait_ms) for cookie, wait_ms in waits.items() for _ in range(3)]
    return [
        dict(report(context, answers, **fields))
        for _ in range(seconds * 1_000 // REPORT_MS)
    ]


def waits_of(context, slow, factor):
    """Return answer times by cookie of all targets."""
    listed = context.targets + context.remote
    return {
        target.cookie: USUAL_MS * (factor if target in slow else 1) for target in listed
    }


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


def flap_slow(context, targets):
    """Let targets be slow for 2 s."""
    report_for(context, 2, waits_of(context, targets, 6))


def flap_dead(context, targets):
    """Let probes find targets dead, for a second."""
    balancer, now_ms = context.world.balancer, context.world.now_ms
    for target in targets:
        balancer.on_probe_result(target.cookie, REFUSED, now_ms)
    report_for(context, 1, waits_of(context, (), 1))
    for target in targets:
        balancer.on_probe_result(target.cookie, ACCEPTED, context.world.now_ms)


def flap_restart(context, targets):
    """List targets with other ids at the same addresses."""
    flap_dead(context, targets)
    for target in targets:
        name = bytes([target.name[0] + 1]) + target.name[1:]
        restarted = target._replace(name=name, cookie=target_cookie(name, 0))
        context.targets[context.targets.index(target)] = restarted
    context.world.list_targets(*context.targets)


FLAPS = {
    "is slow and then fast again": flap_slow,
    "dies and comes back": flap_dead,
    "restarts with another id": flap_restart,
}


@when("{count:d} target {fault} {times:d} times")
def step_flap(context, count, fault, times):
    """They are listed and fast for at most 30 s between the faults."""
    context.back_ms = []
    for number in range(times):
        FLAPS[fault](context, context.targets[:count])
        since_ms = context.world.now_ms
        shares = report_for(context, 1, waits_of(context, (), 1))[-1]
        while (
            shares and number < times - 1 and context.world.now_ms < since_ms + 30_000
        ):
            shares = report_for(context, 1, waits_of(context, (), 1))[-1]
        context.back_ms.append(context.world.now_ms - since_ms)


@when("{count:d} other targets die")
def step_die(context, count):
    """They are listed still."""
    balancer, now_ms = context.world.balancer, context.world.now_ms
    for target in context.targets[-count:]:
        balancer.on_probe_result(target.cookie, REFUSED, now_ms)


@then(
    "of {count:d} targets each is first, and next to each other, for as many balancers"
)
def step_orders(context, count):
    """As many balancers as there are orders with different steps."""
    cookies = range(1, count + 1)
    steps = [step for step in range(1, count) if gcd(step, count) == 1] or [1]
    orders = [target_order(rank, cookies) for rank in range(count * len(steps))]
    for places in zip(
        *(sorted(order, key=order.get)[:2] for order in orders), strict=True
    ):
        assert {places.count(cookie) for cookie in cookies} == {len(steps)}, places
    pairs = {tuple(sorted(order, key=order.get)[:2]) for order in orders}
    assert len(pairs) == len(orders), len(pairs)


@when("another balancer reads for {seconds:d} s")
def step_other_reads(context, seconds):
    """This one drops what only a reader keeps."""
    context.world.balancer.load_sharing.advise(context.world.now_ms, reader=False)
    context.world.wait(1_000 * seconds)


@then("each time takes longer to come back than the one before, up to {most:d} s")
def step_longer(context, most):
    """The last time is open, as its end isn't waited for."""
    context.first_ms = context.back_ms[0]
    first, *others = context.back_ms[:-1]
    assert others == sorted(others) and others[0] > first, context.back_ms
    assert others[1] > others[0] and others[-1] <= 1_000 * most, context.back_ms


@then("its return takes as long as the first time")
def step_as_first(context):
    """Good time is worth as much as it was before the faults."""
    shares = [context.world.balancer.load_sharing.speeds.shares]
    while shares[-1] and context.back_ms[0] < 30_000:
        shares += report_for(context, 1, waits_of(context, (), 1))
        context.back_ms[0] += 1_000
    assert context.back_ms == [context.first_ms], context.back_ms


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


@given("a target holds at most {most:d} connections")
def step_cap(context, most):
    """The configuration states it; as many balancers as hosts share them."""
    services = {SERVICE: Service(SERVICE, 0, 0.0, most)}
    balancer = context.world.balancer
    balancer.configure(configuration(2)._replace(services=services))
    balancer.admission.members = len(HOSTS)


@given("admission is switched off")
def step_no_admission(context):
    """By the settings."""
    context.world.balancer.admission.enabled = False


@when("{members:d} members report {flows:d} flows to {count:d} target")
def step_report_flows(context, members, flows, count):
    """The others hold few of them."""
    context.slow = context.targets[:count]
    counts = [(target.cookie, flows) for target in context.slow]
    for hosts, said in ((HOSTS[members:], ()), (HOSTS[:members], counts)):
        report(context, (), hosts=hosts, flows=said)
    report(context, (), hosts=())


@when("3 members report {flows:d} flows to a remote target")
def step_report_remote(context, flows):
    """Callers of another data centre have theirs."""
    report(context, (), flows=[(context.remote[0].cookie, flows)])
    report(context, (), hosts=())


@then("{count:d} target is at its cap")
def step_at_cap(context, count):
    """As the reader finds."""
    full = context.world.balancer.load_sharing.connections.full
    assert len(full) == count, full


@then("this balancer with {flows:d} open flows reports {said} of them")
def step_reports(context, flows, said):
    """Caps that are far away cost no bytes."""
    world, cookie = context.world, context.targets[0].cookie
    world.balancer.flows.open_flows[cookie] = flows
    world.wait(REPORT_MS)
    sent = world.balancer.load_sharing.take_report(world.now_ms, members=len(HOSTS))
    wanted = [] if said == "none" else [(cookie, int(said))]
    assert (sent.flows if sent else []) == wanted, sent


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


def keep_busy(context, slots, seconds, waited_ms):
    """Report arrivals, and answers that took this long."""
    arrivals = [(SERVICE, round(slots / USUAL_MS * REPORT_MS / len(HOSTS)))]
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
    digest = DemandDigest(REMOTE, [(SERVICE, slots)], True)
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
    digest = DemandDigest(data_centre, [(SERVICE, 30)], passed_on)
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
