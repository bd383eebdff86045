"""Steps for templates, replacements, settings, load and the operators' command."""

import copy
import json
import subprocess
import sys
import tempfile
from pathlib import Path

from behave import fixture, given, then, use_fixture, when
from fixtures import ENTRY, WAIT_S, statuses, wait_for

from lagoontally_caller import Caller
from lagoontally_standins import IRRIGATION

OPERATOR_PORT = 7947
INVALID_SETTINGS = {
    "tenant": "irrigation",
    "workspace": "pivot-command-relay",
    "data_centre": "tifton",
    "address": "127.0.0.1",
    "peer_address": "127.0.0.1:70000",
    "operator_address": "127.0.0.1:7947",
    "platform_url": "http://127.0.0.1:8500",
    "log": {"level": "LOUD"},
}


@fixture
def open_lines(context, number):
    """Open a line per caller and collect its notifications."""
    entry = context.deployment.entry[ENTRY]
    callers = [Caller(entry=entry) for _ in range(number)]
    context.received = [[] for _ in callers]
    context.lines = [
        caller.open_line(f"/pivot/{index}/status", context.received[index].append)
        for index, caller in enumerate(callers)
    ]
    yield
    for caller in callers:
        caller.close()


def run_python(*arguments):
    """Run a module until it exits."""
    command = [sys.executable, "-m", *arguments]
    return subprocess.run(command, capture_output=True, text=True, timeout=WAIT_S)


def operate(context, query, name, *arguments):
    """Run the operators' command against a balancer."""
    address = f"{context.deployment.balancers[name].address}:{OPERATOR_PORT}"
    done = run_python("lagoontally", query, address, *arguments, "--json")
    assert done.returncode == 0, done.stderr
    return json.loads(done.stdout)


def versions(context):
    """Return the template versions in force."""
    answers = statuses(context.deployment).values()
    return {answer["template_version"] for answer in answers}


def publish(context, change):
    """Publish the next version, changed by a function of its first target."""
    deployment = context.deployment
    document = copy.deepcopy(deployment.document)
    document["version"] += 1
    services = document["workspaces"][IRRIGATION.workspace]["services"]
    change(services["pivot-link"]["targets"][0])
    deployment.publish(document)


def logs(deployment):
    """Return the text of each balancer's log."""
    return [
        (deployment.directory / "logs" / f"{name}.log").read_text()
        for name in deployment.balancers
    ]


@given("{number:d} callers with open lines")
def step_lines(context, number):
    """Open lines and wait until each has been notified."""
    use_fixture(open_lines, context, number)
    wait_for(lambda: all(context.received))


@when("a template is published whose target has no address")
def step_invalid(context):
    """Publish the next version without an address."""
    context.version = context.deployment.document["version"]
    publish(context, lambda target: target.pop("address"))


@when("a newer valid template is published")
def step_valid(context):
    """Publish a valid version after the invalid one."""
    address = context.deployment.upstreams[0].address
    publish(context, lambda target: target.update(address=address))


@when("the balancer with the most lines is replaced")
def step_replace(context):
    """Start a new balancer, then send SIGTERM to the old one."""
    lines = {n: a["lines"] for n, a in statuses(context.deployment).items()}
    busiest = max(lines, key=lines.get)
    assert lines[busiest] > 0, lines
    context.deployment.replace_balancer(busiest)
    context.before = [len(received) for received in context.received]


@when("a balancer is started with a missing name, a bad address and a bad log level")
def step_bad_settings(context):
    """Start the daemon with several errors in its settings."""
    with tempfile.TemporaryDirectory() as scratch:
        file = Path(scratch) / "settings.json"
        file.write_text(json.dumps(INVALID_SETTINGS))
        context.done = run_python("lagoontally_daemon", str(file))


LOAD = "{rate:d} requests and {commands:d} commands a second for {seconds:d} s"


@when("a balancer is offered " + LOAD)
def step_load(context, rate, commands, seconds):
    """Send load to the balancer's own entry port."""
    plan = next(iter(context.deployment.balancers.values()))
    port = context.deployment.entry[ENTRY].rpartition(":")[2]
    options = {
        "--entry": f"{plan.address}:{port}",
        "--requests": rate,
        "--commands": commands,
        "--lines": 2,
        "--seconds": seconds,
        "--pid": context.deployment.records[plan.name].pid,
    }
    words = [str(word) for pair in options.items() for word in pair]
    done = run_python("lagoontally_standins", "load", *words)
    assert done.returncode == 0, done.stderr
    context.sent = seconds * (rate + commands) + 2
    context.measured = json.loads(done.stdout)


@then("every request is answered or counted as unanswered")
def step_measured(context):
    """Compare the counts with what was sent."""
    counts = context.measured["counts"]
    kinds = ("request ", "command ", "line ")
    answered = sum(
        number
        for name, number in counts.items()
        if name.startswith(kinds) and not name.endswith("sent")
    )
    assert answered + context.measured["unanswered"] == context.sent, counts
    assert counts["request 2.05"] > 0 and counts["command 2.04"] > 0, counts


@then("the balancer's CPU time and memory are reported")
def step_use(context):
    """Check both measurements of the process."""
    assert context.measured["balancer_cores"] > 0
    assert context.measured["balancer_rss_mib"] > 1


@when('the command "drain" is given to a balancer')
def step_drain(context):
    """Drain a balancer with the operators' command."""
    context.drained = next(iter(context.deployment.balancers))
    answer = operate(context, "drain", context.drained)
    assert answer["state"] == "leaving", answer


@then("each balancer logs an error that it rejected the template")
def step_refused(context):
    """Wait for the error in every log."""
    wait_for(
        lambda: all(
            "ERROR template rejected" in text for text in logs(context.deployment)
        )
    )


@then("the template in force stays")
def step_stays(context):
    """Check that every balancer still has the previous version."""
    assert versions(context) == {context.version}


@then("each balancer has it in force")
def step_in_force(context):
    """Wait until every balancer has the latest version."""
    version = context.deployment.document["version"]
    wait_for(lambda: versions(context) == {version})


@then("each line is notified again without a break or a move")
def step_unbroken(context):
    """Wait for two more notifications on the same path."""
    goes_on = [before + 2 for before in context.before]
    wait_for(
        lambda: all(
            len(received) >= least
            for received, least in zip(context.received, goes_on, strict=True)
        )
    )
    for line in context.lines:
        assert (line.breaks, line.registration.moves) == (0, 0)


@then('the command "status" shows the members and targets')
def step_status(context):
    """Check the other members and the service's targets."""
    names = set(context.deployment.balancers)
    first = sorted(names)[0]
    answer = operate(context, "status", first)
    alive = {m["name"] for m in answer["members"] if m["status"] == "alive"}
    targets = answer["services"]["pivot-link"]["targets"]
    assert answer["instance"] == first
    assert alive == names - {first}, answer["members"]
    assert [t["name"] for t in targets] == ["pivot-link-1", "pivot-link-2"]


@then('the command "explain" shows why some balancer chose its target')
def step_explain(context):
    """Check that the home of the command logged its decision."""
    answers = [
        operate(context, "explain", name, target.name)
        for name in context.deployment.balancers
        for target in context.deployment.upstreams
    ]
    decisions = [entry for answer in answers for entry in answer["decisions"]]
    assert any(entry["why"] for entry in decisions), answers


@then("that balancer hands over and exits")
def step_ended(context):
    """Wait for exit with status 0 and a logged succession."""
    child = context.deployment.children[context.drained]
    wait_for(lambda: child.process.poll() is not None)
    assert child.process.returncode == 0
    text = child.log.read_text()
    assert "succession announced" in text, text
    context.deployment.forget_balancer(context.drained)


@then("it exits with status 1 and reports the places")
def step_findings(context):
    """Check that every error is reported on its own line with its place."""
    places = [line.partition(": ")[0] for line in context.done.stderr.splitlines()]
    expected = [row["place"] for row in context.table]
    assert context.done.returncode == 1
    assert sorted(places) == sorted(expected), context.done.stderr
