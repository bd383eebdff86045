"""Steps for the ``trace`` command."""

import json
import tempfile
from pathlib import Path

from behave import given, then, when
from click.testing import CliRunner

from lagoontally._main import main

REQUEST = "5f3a9c01be77"
FLOW = "100.64.0.7:40001>198.18.0.1:443"
TARGET = "00000000000000aa"
DECISION_INPUTS = {"version": 7, "view_age_ms": 120, "targets": 9, "dead": 1}


def line(at_s, event, instance="tifton-1", **fields):
    """Return a line of a balancer's log."""
    return {
        "time": 1_790_000_000 + at_s,
        "instance": instance,
        "event": event,
        **fields,
    }


def served_request():
    """Return the lines of a request without a failure."""
    return [
        line(0, "start"),
        line(1, "placed", flow=FLOW, target=TARGET, **DECISION_INPUTS),
        line(1.1, "request", request=REQUEST, flow=FLOW, target=TARGET),
        line(1.2, "placed", flow="100.64.0.8:1>198.18.0.1:443", target="bb"),
    ]


def dead_target(evidence):
    """Return the lines of a target that is declared dead."""
    reset = f"target_{evidence}"
    return [
        line(1.3, "trial", target=TARGET, outcome=evidence),
        line(1.305, "target_dead", target=TARGET, evidence=evidence, source="self"),
        line(1.31, "reset", flow=FLOW, target=TARGET, reason=reset, **DECISION_INPUTS),
    ]


def flow_reset(reason):
    """Return the line of a flow that is reset."""
    return [
        line(1.3, "reset", flow=FLOW, target=TARGET, reason=reason, **DECISION_INPUTS)
    ]


FAILURES = {
    "silent target": dead_target("silent"),
    "refusing target": dead_target("refused"),
    "cut data centre": flow_reset("no_target"),
    "full service": flow_reset("no_room"),
    "dropped route": flow_reset("route_removed"),
    "emptied data centre": [
        line(
            0.3,
            "evacuation_began",
            data_centre="tifton",
            revision=31,
            source="reader",
            targets=4,
        ),
        line(
            0.1, "evacuation_began", data_centre="camilla", revision=30, source="peer"
        ),
        line(0.4, "evacuation_ended", data_centre="camilla", revision=30),
        *flow_reset("evacuated"),
    ],
    "killed balancer": [line(2.5, "start")],
    "paused balancer": [line(2.5, "resumed", stood_still_ms=4000)],
    "late retry": [
        line(
            0.1,
            "reset",
            "tifton-2",
            flow="100.64.0.7:40000>198.18.0.1:443",
            target="cc",
            reason="target_silent",
        ),
    ],
    "restored store": [
        line(0.5, "store_era", era=2, previous=1),
        line(0.6, "store_restored", changed=2, kept=3),
        *flow_reset("target_gone"),
    ],
    "restore unseen": [
        line(1.0, "store_era", era=2, previous=1),
        *flow_reset("no_route"),
    ],
    "slow target": [
        line(0.2, "spill_started", service="desk", busy=31.5, parts={"camilla": 0.2}),
        line(0.5, "target_set_aside", target=TARGET, share=0.17, wait_ms=120),
        line(4.5, "target_restored", target=TARGET),
    ],
    "served request": [],
}


@given("the logs of a {failure}")
def step_logs(context, failure):
    """Write the lines of two processes, not in the order of time."""
    lines = served_request() + FAILURES[failure]
    other = [line(1.25, "trial", "camilla-1", target="cc", outcome="accepted")]
    write_logs(context, [*reversed(lines), *other])


def write_logs(context, lines):
    """Write lines into a file that is removed after the scenario."""
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    context.path = Path(folder.name) / "tifton.log"
    context.path.write_text("".join(f"{json.dumps(entry)}\n" for entry in lines))


@given("the logs hold a cut line and a line of another program")
def step_cut_lines(context):
    """Add lines as a log collector or a crash may leave them."""
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
    """Write the lines of two serving balancers, then events of the first one."""
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
    """Trace a request of which only the time is known."""
    trace(context, "ffff", "--at", str(1_790_000_000 + at_s))


def trace(context, subject, *options):
    """Run the command with text and with JSON output."""
    words = ["trace", subject, str(context.path), *options]
    result = CliRunner().invoke(main, words)
    context.output, context.status = result.output, result.exit_code
    result = CliRunner().invoke(main, [*words, "--json"])
    context.events = [entry["event"] for entry in json.loads(result.output)["lines"]]


@when("the request is traced")
def step_request(context):
    """Trace the request by its id."""
    trace(context, REQUEST)


@when("the flow is traced")
def step_flow(context):
    """Trace the flow by its addresses and ports."""
    trace(context, FLOW)


@when("the caller is traced")
def step_caller(context):
    """Trace the caller by its address without a port."""
    trace(context, FLOW.partition(":")[0])


@when("the target is traced")
def step_target(context):
    """Trace the target by its id, without the lines of flows."""
    path = context.path
    kept = [text for text in path.read_text().splitlines() if '"flow"' not in text]
    path.write_text("\n".join(kept))
    trace(context, TARGET)


@when("an unknown request is traced")
def step_unknown(context):
    """Trace a request that no line mentions."""
    trace(context, "ffff")


@then('the cause is "{text}"')
def step_cause(context, text):
    """Check the last line of the output."""
    last = context.output.splitlines()[-1]
    assert last.startswith("cause: ") and text in last, context.output


@then("the events are {events}")
def step_events(context, events):
    """Check the events in the order of time."""
    assert context.events == events.split(", "), context.events


@then('the output contains "{text}"')
def step_contains(context, text):
    """Check that the output contains the text."""
    assert text in context.output, context.output


@then("the exit status is {status:d}")
def step_status(context, status):
    """Check the exit status."""
    assert context.status == status, context.output
