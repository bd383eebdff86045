"""Steps of planned changes: templates, replacements, settings, the command."""

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
FAULTY_SETTINGS = {
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
    """Keep callers with open lines, and note what each line says."""
    entry = context.deployment.entry[ENTRY]
    callers = [Caller(entry=entry) for _ in range(number)]
    context.heard = [[] for _ in callers]
    context.lines = [
        caller.open_line(f"/pivot/{index}/status", context.heard[index].append)
        for index, caller in enumerate(callers)
    ]
    yield
    for caller in callers:
        caller.close()


def run_python(*arguments):
    """Run a module to its end."""
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
    """Each line has been notified."""
    use_fixture(open_lines, context, number)
    wait_for(lambda: all(context.heard))


@when("a template is published whose target has no address")
def step_faulty(context):
    """The next version has a fault."""
    context.version = context.deployment.document["version"]
    publish(context, lambda target: target.pop("address"))


@when("a newer template without faults is published")
def step_good(context):
    """The version after the faulty one is right again."""
    address = context.deployment.upstreams[0].address
    publish(context, lambda target: target.update(address=address))


@when("the balancer with the most lines is replaced")
def step_replace(context):
    """A new balancer joins, then the old one gets SIGTERM."""
    lines = {n: a["lines"] for n, a in statuses(context.deployment).items()}
    busiest = max(lines, key=lines.get)
    assert lines[busiest] > 0, lines
    context.deployment.replace_balancer(busiest)
    context.before = [len(heard) for heard in context.heard]


@when("a balancer is started with a missing name, a bad address and a bad log level")
def step_bad_settings(context):
    """The daemon is given settings with several faults."""
    with tempfile.TemporaryDirectory() as scratch:
        file = Path(scratch) / "settings.json"
        file.write_text(json.dumps(FAULTY_SETTINGS))
        context.done = run_python("lagoontally_daemon", str(file))


LOAD = "{rate:d} requests and {commands:d} commands a second for {seconds:d} s"


@when("a balancer is offered " + LOAD)
def step_load(context, rate, commands, seconds):
    """The load goes to the balancer's own entry port."""
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


@then("every one sent is answered or counted as unanswered")
def step_measured(context):
    """Nothing that was sent goes missing from the counts."""
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
    """Both come from the process named."""
    assert context.measured["balancer_cores"] > 0
    assert context.measured["balancer_rss_mib"] > 1


@when('the command "drain" is given to a balancer')
def step_drain(context):
    """An operator asks a balancer to leave."""
    context.drained = next(iter(context.deployment.balancers))
    answer = operate(context, "drain", context.drained)
    assert answer["state"] == "leaving", answer


@then("each balancer says loudly that it refuses the template")
def step_refused(context):
    """Every log holds the refusal as an error."""
    wait_for(
        lambda: all(
            "ERROR template rejected" in text for text in logs(context.deployment)
        )
    )


@then("the template in force stays")
def step_stays(context):
    """Every balancer has the version from before."""
    assert versions(context) == {context.version}


@then("each balancer has it in force")
def step_in_force(context):
    """Every balancer has the newest version."""
    version = context.deployment.document["version"]
    wait_for(lambda: versions(context) == {version})


@then("each line goes on, unbroken and unmoved")
def step_unbroken(context):
    """Every line is notified again on the path that it has."""
    goes_on = [before + 2 for before in context.before]
    wait_for(
        lambda: all(
            len(heard) >= least
            for heard, least in zip(context.heard, goes_on, strict=True)
        )
    )
    for line in context.lines:
        assert (line.breaks, line.registration.moves) == (0, 0)


@then('the command "status" shows the members and targets')
def step_status(context):
    """The status names all other members, and the service's targets."""
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
    """The home of the client's command has the choice in its journal."""
    answers = [
        operate(context, "explain", name, target.name)
        for name in context.deployment.balancers
        for target in context.deployment.upstreams
    ]
    decisions = [entry for answer in answers for entry in answer["decisions"]]
    assert any(entry["why"] for entry in decisions), answers


@then("that balancer hands over and ends")
def step_ended(context):
    """The process ends by itself, with its succession in the log."""
    child = context.deployment.children[context.drained]
    wait_for(lambda: child.process.poll() is not None)
    assert child.process.returncode == 0
    text = child.log.read_text()
    assert "succession announced" in text, text
    context.deployment.forget_balancer(context.drained)


@then("it ends with status 1 and names the places")
def step_findings(context):
    """Every fault is reported with its place, one a line."""
    places = [line.partition(": ")[0] for line in context.done.stderr.splitlines()]
    expected = [row["place"] for row in context.table]
    assert context.done.returncode == 1
    assert sorted(places) == sorted(expected), context.done.stderr
