"""A deployment, its callers and its changes, for the steps of several files."""

import itertools
import os
import tempfile
from collections import Counter
from pathlib import Path

from lagoontally_standins.packets import (
    Deployment,
    Outcome,
    release_network,
    reserve_network,
)

# The soak uses the networks above these, since both suites run at the same time.
NETWORKS = (30 + (os.getpid() * 13 + n) % 100 for n in itertools.count())
ANSWER_S = 4.0
LOCAL, OTHER = "tifton", "camilla"


def start(context, invalid_entries=0, command=None, **settings):
    """Start a deployment that is stopped after the scenario.

    Args:
        context: The scenario's context.
        invalid_entries: Number of entries that no balancer can use.
        command: Command line of the balancers, None for the program.
        settings: Further settings of every balancer.
    """
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    context.folder = folder.name
    network = reserve_network(NETWORKS)
    context.add_cleanup(release_network, network)
    context.deployment = Deployment(
        Path(folder.name), network, data_centres=(LOCAL, OTHER), balancers=2, targets=2
    )
    context.add_cleanup(context.deployment.stop)
    for balancer in context.deployment.balancers.values():
        balancer.settings.update(settings)
        balancer.write_settings()
    for number in range(invalid_entries):
        context.deployment.store.put(f"servers/i-{number:04x}ffff", {"service": 5})
    for balancer in context.deployment.balancers.values():
        balancer.command = command or balancer.command
    assert context.deployment.start(), state_of(context.deployment)
    context.flows = []
    context.numbers = itertools.count()


def request_all(context, flows):
    """Send a request on each flow and wait until all have ended."""
    for flow in flows:
        flow.send_request(f"q{next(context.numbers)}")
    context.deployment.loop.run_until(
        lambda: all(flow.outcome is not Outcome.PENDING for flow in flows), ANSWER_S
    )


def assert_answered(context, flows):
    """Check that the latest request of each flow was answered."""
    outcomes = Counter(flow.outcome for flow in flows)
    assert set(outcomes) == {Outcome.ANSWERED}, (outcomes, refusals(context))


def refusals(context):
    """Return the latest log lines of each balancer about resets and drops."""
    return {
        name: [
            line for line in balancer.read_log() if line["event"] in ("reset", "drop")
        ][-3:]
        for name, balancer in context.deployment.balancers.items()
    }


def open_flows(context, count):
    """Open flows, alternating between the routes."""
    callers = context.deployment.callers[LOCAL]
    routes = itertools.cycle(context.deployment.routes)
    return [callers.open(next(routes)) for _ in range(count)]


def first_balancer(context):
    """Return one of the callers' balancers."""
    return context.deployment.balancers[f"{LOCAL}-1"]


def eventually(context, condition, timeout_s):
    """Open flows until a condition holds for the targets that answered."""
    loop = context.deployment.loop
    end = loop.now + timeout_s
    while loop.now < end:
        flows = open_flows(context, 8)
        request_all(context, flows)
        if condition({flow.target for flow in flows}):
            return True
        loop.run_for(0.1)
    return False


def add_target(context):
    """Add a target in the callers' data centre."""
    number = 10 + next(context.numbers) % 100
    context.added = context.deployment.add_target(0, "pivot-link", number).identity


def add_route(context):
    """Publish a configuration with an additional route."""
    context.route = (next(iter(context.deployment.routes))[0], 9_443)
    context.deployment.routes[context.route] = "usage-ledger"
    context.deployment.publish()


def state_of(deployment):
    """Describe why the balancers of a deployment didn't get into rotation."""
    states = [
        f"{name}: alive {balancer.alive()}, log ends {balancer.read_log()[-2:]}"
        for name, balancer in deployment.balancers.items()
    ]
    return "the balancers didn't get into rotation; " + "; ".join(states)
