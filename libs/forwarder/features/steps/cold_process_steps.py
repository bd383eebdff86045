"""Steps for targets that warm up in front of real processes."""

from behave import given, then, when
from deployments import open_flows, request_all, start

WARM_UP_S, PER_S, EXCESS, SLACK = 8.0, 12.0, 1.5, 5
SETTLED_S = 4.0  # balancers divide budgets once they have known each other for 3 s
BATCH_S = 0.1


@given("a running deployment whose settings bound cold targets")
def step_bounded(context):
    """Its services state what a cold target bears."""
    start(context, warm_up_excess=EXCESS, warm_up_slack=SLACK)
    deployment = context.deployment
    services = [
        service | {"warmup-s": WARM_UP_S, "warmup-per-s": PER_S}
        for service in deployment.published["services"]
    ]
    deployment.publish(services=services)
    deployment.loop.run_for(SETTLED_S)


@when("a target of the callers' data centre says that it is cold for {left_ms:d} ms")
def step_says(context, left_ms):
    """One of two of its service there."""
    deployment = context.deployment
    identity, (_, context.cold) = next(iter(deployment.targets.items()))
    context.cold.warm_up_ms = left_ms
    deployment.register(identity)
    deployment.loop.run_for(0.5)
    context.from_s = deployment.loop.now


@when("the target is warm")
def step_warm(context):
    """Its entry still states what it stated."""
    loop = context.deployment.loop
    loop.run_for(max(0.0, context.from_s + 4.0 - loop.now))
    context.from_s = loop.now


@when("callers open {per_s:d} flows a second for {duration_s:d} s")
def step_open_steadily(context, per_s, duration_s):
    """Half of them belong to the cold target's service."""
    loop, flows = context.deployment.loop, []
    end = loop.now + duration_s
    while loop.now < end:
        opened = open_flows(context, 2 * round(per_s * BATCH_S))
        request_all(context, opened)
        flows += opened
        loop.run_for(BATCH_S)
    context.flows = flows


def most_in_a_second(context):
    """Return the most flows that the cold target got in any second."""
    times = sorted(
        syn.at for syn in context.cold.first_syns.values() if syn.at >= context.from_s
    )
    return max(
        (sum(start <= time < start + 1 for time in times) for start in times), default=0
    )


@then("the cold target got between {least:d} and {most:d} flows in every second")
def step_got(context, least, most):
    """From all balancers together."""
    found = most_in_a_second(context)
    assert least <= found <= most, found


@then("the cold target got more than {least:d} flows in a second")
def step_got_more(context, least):
    """It isn't limited any more."""
    found = most_in_a_second(context)
    assert found > least, found
