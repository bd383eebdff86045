"""Steps for the soak test."""

import itertools
import os
import socket
import sys
import tempfile
from pathlib import Path

from behave import given, then, when
from click.testing import CliRunner

from lagoontally_soak import Soak, soak
from lagoontally_soak.__main__ import FIRST_NETWORK as FIRST_SEED_NETWORK
from lagoontally_soak.__main__ import main
from lagoontally_standins.packets import (
    DELAYED,
    ONE_WAY,
    PASS,
    RESET,
    SILENT,
    Loop,
    Proxy,
    Store,
    release_network,
    reserve_network,
)

HOST = "127.0.0.1"
# The features of the forwarder use lower networks.
FIRST_NETWORK, NETWORK_COUNT = 140, 100
NETWORKS = (  # one for each run
    FIRST_NETWORK + number % NETWORK_COUNT
    for number in itertools.count(os.getpid() * 7)
)
CALL = b"GET /api/kv-range?prefix= HTTP/1.1\r\nHost: x\r\n\r\n"
WAIT_S = 0.2
MAX_MUTATION_RUN_S = 30.0  # a run ends as soon as the broken build is detected


@when("seed {seed:d} is run for {seconds:d} s")
def step_run(context, seed, seconds):
    """Inject faults while callers send requests."""
    network = reserve_network(NETWORKS)
    context.run = soak(seed=seed, seconds=seconds, network=network)


@when("seed {seed:d} is run for {seconds:d} s with planned work alone")
def step_planned(context, seed, seconds):
    """Nothing that the platform's rules excuse happens meanwhile."""
    network = reserve_network(NETWORKS)
    context.run = soak(seed=seed, seconds=seconds, network=network, planned=True)


@when('seed {seed:d} is run with "{mutation}"')
def step_mutation(context, seed, mutation):
    """Run the broken build in all balancers."""
    network = reserve_network(NETWORKS)
    context.run = soak(
        seed=seed, seconds=MAX_MUTATION_RUN_S, network=network, mutation=mutation
    )


@when('seed {seed:d} is run for {seconds:d} s with "{mutation}"')
def step_short_mutation(context, seed, seconds, mutation):
    """What the broken build leaves behind shows once the faults are over."""
    network = reserve_network(NETWORKS)
    context.run = soak(seed=seed, seconds=seconds, network=network, mutation=mutation)


@then("a violation of the promise that it breaks is found")
def step_detected(context):
    """Check the promise; others may be broken too."""
    promises = {item.promise for item in context.run.violations}
    assert context.run.mutation.promise in promises, promises


@when("a soak test is run whose balancers exit at once")
def step_no_start(context):
    """Run balancers that fail as if a library couldn't be imported."""
    network = reserve_network(NETWORKS)
    with tempfile.TemporaryDirectory() as folder:
        context.run = Soak(seed=1, network=network, balancers=1, folder=Path(folder))
        for balancer in context.run.deployment.balancers.values():
            balancer.command = [sys.executable, "-c", "raise SystemExit(1)"]
        context.run.run(1)


@then('the only broken promise is "{promise}"')
def step_violation(context, promise):
    """Check that the report holds this violation only."""
    assert [item.promise for item in context.run.violations] == [promise]


@then("no promise is broken")
def step_no_violation(context):
    """Check that there are no violations."""
    assert not context.run.violations, context.run.violations


@then("at least {count:d} requests were answered")
def step_answered(context, count):
    """Check that enough requests were answered despite the faults."""
    assert context.run.outcomes["answered"] >= count, context.run.outcomes


@given("a loopback network that another process has reserved")
def step_reserved(context):
    """The command runs its seeds in processes of their own."""
    context.network = reserve_network(NETWORKS)
    context.add_cleanup(release_network, context.network)


@when("the command is run with a seed that needs it")
def step_command(context):
    """Nothing is started."""
    context.seed = context.network - FIRST_SEED_NETWORK
    context.result = CliRunner().invoke(main, ["--seed", str(context.seed)])


@then("it exits with status {status:d} and names the seed and the network")
def step_refused(context, status):
    """In one line."""
    assert context.result.exit_code == status, context.result
    for text in (f"seed {context.seed} ", f"127.{context.network}.0.0/16"):
        assert text in context.result.output, context.result.output


@then("a call through the proxy is answered, dropped, reset or delayed by its mode")
def step_proxy(context):
    """Make a call in each mode."""
    loop = Loop()
    store = Store(loop, (HOST, 0))
    proxy = Proxy(loop, (HOST, 0), store.address)
    address = proxy.listener.getsockname()
    assert call(loop, address) == "answered"
    for mode in (SILENT, ONE_WAY, DELAYED):
        proxy.set_mode(mode)
        assert call(loop, address) == "silent", mode
    proxy.set_mode(RESET)
    assert call(loop, address) == "reset"
    proxy.set_mode(PASS)
    assert call(loop, address) == "answered"


def call(loop, address):
    """Make a call and return its outcome after at most ``WAIT_S``."""
    answers = []
    sock = socket.create_connection(address)

    def read():
        try:
            answers.append(sock.recv(65_536))
        except OSError:
            answers.append(b"")

    sock.sendall(CALL)
    loop.watch(sock, read)
    loop.run_until(lambda: answers, WAIT_S)
    loop.unwatch(sock)
    if not answers:
        return "silent"
    return "answered" if answers[0].startswith(b"HTTP/1.1 200") else "reset"
