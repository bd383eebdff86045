"""Steps for the command that follows a failure through logs."""

import json
import tempfile
from pathlib import Path

from behave import given, then, when
from click.testing import CliRunner

from lagoontally._main import main

REQUEST = "5f3a9c01be77"
FLOW = "100.64.0.7:40001>198.18.0.1:443"
TARGET = "00000000000000aa"
BELIEF = {"version": 7, "view_age_ms": 120, "targets": 9, "dead": 1}


def line(at_s, event, instance="tifton-1", **fields):
    """Return a line as a balancer writes it."""
    return {
        "time": 1_790_000_000 + at_s,
        "instance": instance,
        "event": event,
        **fields,
    }


def opening():
    """Return the lines of a request that went its usual way."""
    return [
        line(0, "start"),
        line(1, "placed", flow=FLOW, target=TARGET, **BELIEF),
        line(1.1, "request", request=REQUEST, flow=FLOW, target=TARGET),
        line(1.2, "placed", flow="100.64.0.8:1>198.18.0.1:443", target="bb"),
    ]


def dead(evidence):
    """Return the lines of a target that is found dead."""
    reset = f"target_{evidence}"
    return [
        line(1.3, "trial", target=TARGET, outcome=evidence),
        line(1.305, "target_dead", target=TARGET, evidence=evidence, source="self"),
        line(1.31, "reset", flow=FLOW, target=TARGET, reason=reset, **BELIEF),
    ]


def ended(reason):
    """Return the line of a flow that is reset."""
    return [line(1.3, "reset", flow=FLOW, target=TARGET, reason=reason, **BELIEF)]


FAILURES = {
    "silent target": dead("silent"),
    "refusing target": dead("refused"),
    "cut data centre": ended("no_target"),
    "dropped route": ended("route_removed"),
    "killed balancer": [line(2.5, "start")],
    "paused balancer": [line(2.5, "resumed", stood_still_ms=4000)],
    "second try": [
        line(
            0.1,
            "reset",
            "tifton-2",
            flow="100.64.0.7:40000>198.18.0.1:443",
            target="cc",
            reason="target_silent",
        ),
    ],
    "served request": [],
}


@given("the logs of a {failure}")
def step_logs(context, failure):
    """Two processes, their lines not in the order of time."""
    lines = opening() + FAILURES[failure]
    other = [line(1.25, "trial", "camilla-1", target="cc", outcome="accepted")]
    write_logs(context, [*reversed(lines), *other])


def write_logs(context, lines):
    """Write lines into one file that ends with the scenario."""
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    context.path = Path(folder.name) / "tifton.log"
    context.path.write_text("".join(f"{json.dumps(one)}\n" for one in lines))


@given("the logs hold a cut line and a line of another program")
def step_cut_lines(context):
    """Collectors and crashes do that."""
    with context.path.open("a") as log:
        log.write('hello\n{"time": 1790000001, "inst')


EVENTS = {
    "is killed": [line(3, "start"), line(4, "serving"), line(4, "ready")],
    "is told to stop": [line(1, "stopping"), line(2, "stop"), line(3, "start")],
    "is paused": [line(3, "resumed", stood_still_ms=2_000)],
    "leaves": [line(1, "unready"), line(2, "ready")],
}


@given("the logs of two balancers of which one {event}")
def step_two_balancers(context, event):
    """Both serve at first; the other one goes on."""
    lines = [
        line(-1, "start"),
        line(-1, "start", "tifton-2"),
        line(0, "ready"),
        line(0, "ready", "tifton-2"),
        *EVENTS[event],
        line(9, "configuration_in_force", "tifton-2"),
    ]
    write_logs(context, lines)


@when("an unknown request is traced at {at_s:g} s")
def step_unknown_at(context, at_s):
    """Only its time is known."""
    trace(context, "ffff", "--at", str(1_790_000_000 + at_s))


def trace(context, subject, *options):
    """Run the command."""
    words = ["trace", subject, str(context.path), *options]
    result = CliRunner().invoke(main, words)
    context.output, context.status = result.output, result.exit_code
    result = CliRunner().invoke(main, [*words, "--json"])
    context.events = [one["event"] for one in json.loads(result.output)["lines"]]


@when("the request is traced")
def step_request(context):
    """By its id."""
    trace(context, REQUEST)


@when("the flow is traced")
def step_flow(context):
    """By its addresses and ports."""
    trace(context, FLOW)


@when("the caller is traced")
def step_caller(context):
    """By its address alone."""
    trace(context, FLOW.partition(":")[0])


@when("the target is traced")
def step_target(context):
    """By its id, where only beliefs are wanted."""
    path = context.path
    kept = [text for text in path.read_text().splitlines() if '"flow"' not in text]
    path.write_text("\n".join(kept))
    trace(context, TARGET)


@when("an unknown request is traced")
def step_unknown(context):
    """Its balancer wrote nothing."""
    trace(context, "ffff")


@then('the cause is "{text}"')
def step_cause(context, text):
    """The last line says it in words."""
    last = context.output.splitlines()[-1]
    assert last.startswith("cause: ") and text in last, context.output


@then("the events are {events}")
def step_events(context, events):
    """Lines in the order of time."""
    assert context.events == events.split(", "), context.events


@then('the output says "{text}"')
def step_says(context, text):
    """It is part of the output."""
    assert text in context.output, context.output


@then("the exit status is {status:d}")
def step_status(context, status):
    """1 where nothing was found."""
    assert context.status == status, context.output
