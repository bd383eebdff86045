"""Steps for balancers with a fault in one part of the program."""

import sys
from collections import Counter

from behave import given, then, when
from deployments import first_balancer, start

from lagoontally_standins.packets import BALANCER_PROGRAM

MAX_LINES_PER_S = 1
PARTS = {
    "message of a peer": ("_process", "Process._on_beacon"),
    "watch's response": ("_store_reader", "StoreReader._on_changes"),
    "tick": ("_rereads", "Rereads.on_tick"),
}
FAULT = """
from lagoontally_forwarder.{module} import {owner}
def fail(*_arguments):
    raise KeyError("unforeseen")
{owner}.{method} = fail
"""


def faulty_command(part):
    """Return the command of a balancer in which one part raises an error."""
    module, path = PARTS[part]
    owner, method = path.split(".")
    fault = FAULT.format(module=module, owner=owner, method=method)
    head, call = BALANCER_PROGRAM.rsplit("sys.exit", 1)
    return [sys.executable, "-c", f"{head}{fault}sys.exit{call}"]


@given("a running deployment whose balancers fail at every {part}")
def step_faulty(context, part):
    """All balancers have the fault."""
    start(context, command=faulty_command(part))


@when("a balancer is restarted that fails at every {part}")
def step_restart_faulty(context, part):
    """The others don't have the fault."""
    balancer = first_balancer(context)
    balancer.kill()
    balancer.command = faulty_command(part)
    balancer.start()


@then("it exits with status {status:d} within {timeout_s:d} s")
def step_exits(context, status, timeout_s):
    """The platform starts it again."""
    balancer = first_balancer(context)
    ended = context.deployment.loop.run_until(lambda: not balancer.alive(), timeout_s)
    assert ended and balancer.process.returncode == status, balancer.process.returncode


@then("the errors are counted, and logged once a second at most")
def step_errors(context):
    """The log names the part, the error and its place."""
    reported = 0
    for balancer in context.deployment.balancers.values():
        lines = balancer.read_log()
        errors = [line for line in lines if line["event"] == "unexpected_error"]
        seconds = Counter(line["at_ms"] // 1_000 for line in errors)
        assert all(count <= MAX_LINES_PER_S + 1 for count in seconds.values()), seconds
        span_s = (lines[-1]["at_ms"] - lines[0]["at_ms"]) / 1_000
        assert len(errors) <= MAX_LINES_PER_S * (span_s + 1), (len(errors), span_s)
        assert all("KeyError" in line["error"] for line in errors), errors
        reported += sum(line["count"] for line in errors[-1:])
    assert reported


@then("no balancer calls the store more than {most:d} times in {span_s:d} s")
def step_calls(context, most, span_s):
    """A response that causes an error isn't asked for again at once."""
    store, loop = context.deployment.store, context.deployment.loop
    before = Counter(store.calls)
    loop.run_for(span_s)
    calls = Counter(store.calls) - before
    assert all(count <= most for count in calls.values()), calls
