"""Steps for the operators' command."""

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
    """Run a command in the scenario's folder, with names put in."""
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
    """The command fills in both; a target is leaving in the second."""
    for version, name in ((first, one), (second, other)):
        values = f"--set version={version} --set published_at=2026-12-03T21:00:00Z"
        run(context, f"render SOURCE {values} --output {name}")
        assert context.result.exit_code == 0, context.result.output
    file = context.folder / other
    document = json.loads(file.read_text())
    services(document)["pivot-link"]["targets"][6]["state"] = "leaving"
    file.write_text(json.dumps(document))


@given("\"{name}\", settings whose address isn't this machine's")
def step_unbound(context, name):
    """The address is kept for documentation (RFC 5737), so no machine has it."""
    settings = json.loads((EXAMPLES / "tifton-1.settings.json").read_text())
    settings["address"] = "192.0.2.1"
    settings["peer_address"] = "192.0.2.1:7946"
    settings["operator_address"] = "192.0.2.1:7947"
    (context.folder / name).write_text(json.dumps(settings))


@given('"{bad}", which is "{good}" with five faults')
def step_five_faults(context, bad, good):
    """Faults of structure and of meaning, in three services."""
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
    """The file is published at PLATFORM."""
    document = (context.folder / name).read_bytes()
    context.names["PLATFORM"] = context.started.enter_context(platform(document))


@given("a balancer that answers {answer}")
def step_balancer(context, answer):
    """Every query at BALANCER gets this answer."""
    if answer == "with a whole status":
        answer = json.dumps(STATUS)
    address, queries = context.started.enter_context(balancer(answer.encode()))
    context.names["BALANCER"], context.queries = address, queries


@when('"{command}" is run')
def step_run(context, command):
    """The command runs in this process."""
    run(context, command)


@when('the module is run with "{arguments}"')
def step_run_module(context, arguments):
    """The package is run as ``python -m`` does."""
    output, status = StringIO(), None
    with (
        patch.object(sys, "argv", ["lagoontally", *arguments.split()]),
        contextlib.redirect_stdout(output),
    ):
        try:
            runpy.run_module("lagoontally", run_name="__main__")
        except SystemExit as ended:
            status = ended.code
    context.result = SimpleNamespace(exit_code=status, output=output.getvalue())


@then('it ends with {status:d} and says "{text}"')
@then('it ends with {status:d} and says ""')
def step_ends(context, status, text=""):
    """The exit status is right, and the text stands in the output."""
    result = context.result
    assert result.exit_code == status, (result.exit_code, result.output)
    assert text in result.output and "\x1b" not in result.output, result.output


@then('it says "{one}" and "{other}"')
def step_says(context, one, other):
    """Both texts stand in the output."""
    assert one in context.result.output and other in context.result.output


@then("it reports {count:d} findings")
def step_findings(context, count):
    """A program finds each in a list, a person on a line of its own."""
    output = context.result.stdout
    if output.startswith("{"):
        report = json.loads(output)
        assert report["accepted"] is False and len(report["findings"]) == count
    else:
        assert len(output.splitlines()) == count + len(["rejected", "", "findings"])


@then('the balancer was asked {times:d} times for "{query}" with "{argument}"')
@then('the balancer was asked {times:d} times for "{query}" with ""')
def step_asked(context, times, query, argument=""):
    """The queries arrived in the form of the protocol."""
    assert context.queries == [{"query": query, "argument": argument}] * times


@then("the output is the table of the whole status")
def step_status_text(context):
    """Each part of the status has its table."""
    assert context.result.output == STATUS_TEXT, context.result.output


@then("the output is the whole status as JSON")
def step_status_json(context):
    """Nothing is added or lost."""
    assert json.loads(context.result.stdout) == STATUS
