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


def edit(context, name, change):
    """Change a JSON file of the scenario's folder."""
    file = context.folder / name
    document = json.loads(file.read_text())
    change(document)
    file.write_text(json.dumps(document))


def services(document):
    """Return the services of all workspaces by name."""
    found = {}
    for workspace in document["workspaces"].values():
        found |= workspace["services"]
    return found


@given('the example rendered with version {version:d} to "{name}"')
def step_rendered(context, version, name):
    """The example is filled in by the command itself."""
    time = "published_at=2026-12-03T21:00:00Z"
    run(context, f"render SOURCE --set version={version} --set {time} --output {name}")
    assert context.result.exit_code == 0, context.result.output


@given('"{name}" has five faults')
def step_five_faults(context, name):
    """Faults of structure and of meaning, in four services."""

    def change(document):
        document["version"] = -1
        found = services(document)
        targets = found["pivot-link"]["targets"]
        targets[0]["slots"] = 0
        targets[1]["adress"] = "127.20.1.2:7001"
        found["usage-ledger"]["entry_port"] = found["pivot-link"]["entry_port"]
        found["pack-vault"]["targets"][2]["address"] = targets[0]["address"]

    edit(context, name, change)


@given('"{target}" is leaving in "{name}"')
def step_leaving(context, target, name):
    """One target takes no new work."""

    def change(document):
        for service in services(document).values():
            for item in service["targets"]:
                if item["name"] == target:
                    item["state"] = "leaving"

    edit(context, name, change)


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


@then("the exit status is {status:d}")
def step_exit_status(context, status):
    """The command ends with this status."""
    result = context.result
    assert result.exit_code == status, (result.exit_code, result.output)


@then("the output names")
def step_output_names(context):
    """Each text of the table stands in the output."""
    for row in context.table:
        assert row["text"] in context.result.output, context.result.output


@then('the error says "{text}"')
def step_error_says(context, text):
    """The text stands on standard error."""
    assert text in context.result.stderr, context.result.output


@then("the JSON output has {count:d} findings and isn't accepted")
def step_json_findings(context, count):
    """A program finds each fault with its place."""
    report = json.loads(context.result.stdout)
    assert report["accepted"] is False
    assert len(report["findings"]) == count, report
    assert all(item["place"] and item["reason"] for item in report["findings"])


@then('the balancer was asked for "{query}" with "{argument}"')
@then('the balancer was asked for "{query}" with ""')
def step_asked(context, query, argument=""):
    """One query arrived in the form of the protocol."""
    assert context.queries == [{"query": query, "argument": argument}]


@then("the output is the table of the whole status")
def step_status_text(context):
    """Each part of the status has its table."""
    assert context.result.stdout == STATUS_TEXT, context.result.stdout


@then("the output has no escape character")
def step_no_escape(context):
    """Control characters are replaced."""
    assert "\x1b" not in context.result.stdout
    assert "?[2J" in context.result.stdout


@then("the output has {count:d} lines of JSON")
def step_json_lines(context, count):
    """Each answer is one line."""
    lines = context.result.stdout.splitlines()
    assert [json.loads(line) for line in lines] == [{"instance": "tifton-1"}] * count
