"""A small deployment of real processes and functions that inspect it."""

import asyncio
import tempfile
import time
from pathlib import Path

import aiocoap
from behave import fixture

from lagoontally_standins import (
    IRRIGATION,
    Deployment,
    Options,
    ask_balancer,
    read_ledgers,
)

WAIT_S = 15.0
POLL_S = 0.1
NOTIFY_MS = 200.0
TARGETS = 2
BALANCERS = 2
ENTRY = f"{IRRIGATION.workspace}/pivot-link"


@fixture
def small_deployment(context):
    """Start one tenant with 2 data centres of 2 balancers and one service."""
    service = IRRIGATION.services[0]._replace(targets=TARGETS)
    tenant = IRRIGATION._replace(services=(service,), balancers=BALANCERS)
    with tempfile.TemporaryDirectory() as scratch:
        options = Options(
            directory=Path(scratch), tenants=(tenant,), notify_ms=NOTIFY_MS
        )
        with Deployment(options) as context.deployment:
            yield


@fixture
def stock_client(context):
    """Start an unmodified aiocoap client on its own event loop."""
    with asyncio.Runner() as runner:
        client = runner.run(aiocoap.Context.create_client_context())
        context.runner, context.client = runner, client
        yield
        runner.run(client.shutdown())


def wait_for(condition):
    """Wait until a condition holds and return its value."""
    deadline_s = time.monotonic() + WAIT_S
    while not (value := condition()):
        assert time.monotonic() < deadline_s, "timed out waiting for the condition"
        time.sleep(POLL_S)
    return value


def statuses(deployment):
    """Return each balancer's status by name."""
    plans = deployment.balancers.values()
    return {plan.name: ask_balancer(plan.address, "status") for plan in plans}


def counter_sum(deployment, name):
    """Return the sum of a counter over all balancers."""
    answers = statuses(deployment).values()
    return sum(answer["counters"].get(name, 0) for answer in answers)


def count_runs(deployment, id_):
    """Return how often the ledgers contain a command."""
    return sum(run.id == id_ for run in read_ledgers(deployment.ledgers).runs)
