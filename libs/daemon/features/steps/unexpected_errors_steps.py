"""Steps for balancers in which one task fails."""

import json
import logging
import os
import threading
import time

import pynng
from behave import given, then, when

from lagoontally_daemon import compose
from lagoontally_model import parse_settings

HOST = f"127.250.{os.getpid() >> 8 & 255}.{os.getpid() & 255 or 1}"
SETTINGS = {
    "tenant": "dossiers",
    "instance": "kgn-1",
    "workspace": "dossier-hub-balancing",
    "data_centre": "kgn-a",
    "address": HOST,
    "peer_address": f"{HOST}:7946",
    "operator_address": f"{HOST}:7947",
    "platform_url": f"http://{HOST}:1",
    "statsd_address": f"{HOST}:1",
}


class Records(logging.Handler):
    """Keeps the log records about unexpected errors."""

    def __init__(self):
        super().__init__()
        self.found = []

    def emit(self, record):
        """Keep the fields of a record."""
        if record.getMessage() == "unexpected_error":
            self.found.append(record.fields)


def start(context):
    """Compose a balancer; it is stopped after the scenario."""
    context.balancer = compose(parse_settings(json.dumps(SETTINGS).encode()))
    context.records = Records()
    logger = logging.getLogger("lagoontally")
    logger.addHandler(context.records)
    context.add_cleanup(logger.removeHandler, context.records)
    context.raised = None


def run(context):
    """Run the balancer in a thread."""

    def target():
        try:
            context.balancer.run()
        except Exception as error:
            context.raised = error

    context.thread = threading.Thread(target=target)
    context.thread.start()
    context.add_cleanup(context.thread.join)
    context.add_cleanup(context.balancer.stop.set)


@given("a balancer whose core gets an event that it can't handle")
def step_event(context):
    """The event has no handler."""
    step_events(context, 1)


@given("a balancer whose core gets {count:d} events that it can't handle")
def step_events(context, count):
    """No balancer knows such events."""
    start(context)
    context.events = [object() for _ in range(count)]


@given("a balancer whose metrics always fail")
def step_failing_task(context):
    """The task fails each time it is run."""
    start(context)

    def fail(_stop):
        raise KeyError("unforeseen")

    context.balancer.guards["metrics"].task = fail
    run(context)


@when("the balancer runs for {duration_s:d} s")
def step_run(context, duration_s):
    """The events arrive at the same time."""
    run(context)
    time.sleep(duration_s / 2)
    for event in context.events:
        context.balancer.core.post(event)
    time.sleep(duration_s / 2)


@then("it still runs and answers an operator")
def step_answers(context):
    """The core takes part in each answer."""
    assert context.thread.is_alive(), context.raised
    address = context.balancer.edges.operators.listen_address
    with pynng.Req0(send_timeout=5_000, recv_timeout=5_000) as socket:
        socket.dial(f"tcp://{address}")
        socket.send(b'{"query": "status", "argument": ""}')
        answer = json.loads(socket.recv())
    assert answer["instance"] == SETTINGS["instance"], answer


@then("the error is counted and logged once with its place")
def step_logged(context):
    """One line tells the part, the error and where it was raised."""
    (fields,) = context.records.found
    assert fields["part"] == "core" and fields["count"] == 1, fields
    assert "no handler for object" in fields["error"], fields
    assert fields["place"].startswith("_step.py:"), fields


@then("the {count:d} errors are counted, and at most {most:d} are logged")
def step_bounded(context, count, most):
    """Errors of one part share the limit."""
    errors = context.balancer.guards["core"].errors
    assert errors == count, errors
    assert 1 <= len(context.records.found) <= most, context.records.found


@then("it ends with that error within {timeout_s:d} s")
def step_ends(context, timeout_s):
    """The platform starts it again."""
    context.thread.join(timeout_s)
    assert not context.thread.is_alive()
    assert isinstance(context.raised, KeyError), context.raised
