"""Steps for the command line."""

import contextlib
import json
import runpy
import sys
from io import StringIO
from pathlib import Path
from types import SimpleNamespace
from unittest.mock import patch

from behave import given, then, when
from click.testing import CliRunner
from servers import balancer, closed_address, platform

from lagoontally import main

EXAMPLES = Path(__file__).resolve().parents[4] / "examples"
SOURCE = EXAMPLES / "two-tenants.template.json"
STATUS = {
    "instance": "tifton-1",
    "incarnation": "00ff",
    "state": "serving",
    "members": [{"name": "tifton-2", "data_centre": "tifton", "status": "alive"}],
    "services": {
        "pivot-link": {
            "targets": [
                {"name": "pivot-link-1", "address": "127.20.1.1:7001", "in_flight": 2}
            ]
        }
    },
    "counters": {"relayed": 7},
    "latency_ms": {"pivot-link/command": {"count": 3, "p50": 1.5, "p99": 20}},
}
STATUS_TEXT = """\
instance     tifton-1
incarnation  00ff
state        serving

members
  name      data_centre  status  template_version
  tifton-2  tifton       alive   -

targets
  service     name          address          state  in_flight  lines
  pivot-link  pivot-link-1  127.20.1.1:7001  -      2          -

latency in ms
  service/kind        count  p50  p99
  pivot-link/command  3      1.5  20

counters
  relayed  7
"""


def run(context, command):
    """Run a command in the scenario's folder, with placeholders replaced."""
    names = {"EXAMPLES": EXAMPLES, "SOURCE": SOURCE, "CLOSED": closed_address()}
    for name, value in (names | context.names).items():
        command = command.replace(name, str(value))
    with contextlib.chdir(context.folder):
        context.result = CliRunner().invoke(main, command.split())


def services(document):
    """Return the services of all workspaces by name."""
    found = {}
    for workspace in document["workspaces"].values():
        found |= workspace["services"]
    return found


@given(
    'the example rendered with version {first:d} as "{one}" and with {second:d}'
    ' as "{other}"'
)
def step_rendered(context, first, one, second, other):
    """Render both versions; a target of the second one is leaving."""
    for version, name in ((first, one), (second, other)):
        values = f"--set version={version} --set published_at=2026-12-03T21:00:00Z"
        run(context, f"render SOURCE {values} --output {name}")
        assert context.result.exit_code == 0, context.result.output
    file = context.folder / other
    document = json.loads(file.read_text())
    services(document)["pivot-link"]["targets"][6]["state"] = "leaving"
    file.write_text(json.dumps(document))


@given('"{name}", settings with an address that no machine has')
def step_unbound(context, name):
    """Use an address reserved for documentation (RFC 5737)."""
    settings = json.loads((EXAMPLES / "tifton-1.settings.json").read_text())
    settings["address"] = "192.0.2.1"
    settings["peer_address"] = "192.0.2.1:7946"
    settings["operator_address"] = "192.0.2.1:7947"
    (context.folder / name).write_text(json.dumps(settings))


@given('"{bad}", which is "{good}" with five faults')
def step_five_faults(context, bad, good):
    """Add faults of structure and of meaning in three services."""
    document = json.loads((context.folder / good).read_text())
    document["version"] = -1
    found = services(document)
    targets = found["pivot-link"]["targets"]
    targets[0]["slots"] = 0
    targets[1]["adress"] = "127.20.1.2:7001"
    found["usage-ledger"]["entry_port"] = found["pivot-link"]["entry_port"]
    found["pack-vault"]["targets"][2]["address"] = targets[0]["address"]
    (context.folder / bad).write_text(json.dumps(document))


@given('a platform that publishes "{name}"')
def step_platform(context, name):
    """Publish the file at PLATFORM."""
    document = (context.folder / name).read_bytes()
    context.names["PLATFORM"] = context.started.enter_context(platform(document))


@given("a balancer that answers {answer}")
def step_balancer(context, answer):
    """Answer every query at BALANCER with this answer."""
    if answer == "with a full status":
        answer = json.dumps(STATUS)
    address, queries = context.started.enter_context(balancer(answer.encode()))
    context.names["BALANCER"], context.queries = address, queries


@when('"{command}" is run')
def step_run(context, command):
    """Run the command in this process."""
    run(context, command)


@when('the module is run with "{arguments}"')
def step_run_module(context, arguments):
    """Run the package as ``python -m`` does."""
    output, status = StringIO(), None
    with (
        patch.object(sys, "argv", ["lagoontally", *arguments.split()]),
        contextlib.redirect_stdout(output),
    ):
        try:
            runpy.run_module("lagoontally", run_name="__main__")
        except SystemExit as exit_:
            status = exit_.code
    context.result = SimpleNamespace(exit_code=status, output=output.getvalue())


@then('it exits with {status:d} and prints "{text}"')
@then('it exits with {status:d} and prints ""')
def step_exits(context, status, text=""):
    """Check the exit status, and that the output contains the text."""
    result = context.result
    assert result.exit_code == status, (result.exit_code, result.output)
    assert text in result.output and "\x1b" not in result.output, result.output


@then('it prints "{one}" and "{other}"')
def step_prints(context, one, other):
    """Check that the output contains both texts."""
    assert one in context.result.output and other in context.result.output


@then("it reports {count:d} findings")
def step_findings(context, count):
    """Check the number of findings in JSON or text output."""
    output = context.result.stdout
    if output.startswith("{"):
        report = json.loads(output)
        assert report["accepted"] is False and len(report["findings"]) == count
    else:
        assert len(output.splitlines()) == count + len(["rejected", "", "findings"])


@then('the balancer received "{query}" with "{argument}" {times:d} times')
@then('the balancer received "{query}" with "" {times:d} times')
def step_received(context, times, query, argument=""):
    """Check the queries that the balancer received."""
    assert context.queries == [{"query": query, "argument": argument}] * times


@then("the output is the full status as tables")
def step_status_text(context):
    """Check the text output as a whole."""
    assert context.result.output == STATUS_TEXT, context.result.output


@then("the output is the full status as JSON")
def step_status_json(context):
    """Check that the JSON output is the balancer's answer."""
    assert json.loads(context.result.stdout) == STATUS
