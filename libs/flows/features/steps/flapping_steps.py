"""Steps for targets that fail again and again, and for orders of targets."""

from math import gcd

from behave import then, when
from load_reports import report_for, waits_of

from lagoontally_flows import ACCEPTED, REFUSED, target_cookie, target_order


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
