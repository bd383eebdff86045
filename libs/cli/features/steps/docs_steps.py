"""Steps for commands in the docs."""

from pathlib import Path

from behave import given, then, when
from console import CONSOLE, ROOT, Shell, output_matches, parse_blocks, parse_commands

from lagoontally_model import (
    Settings,
    Template,
    Timing,
    parse_settings,
    parse_template,
)

CONTROLLER = "python examples/pivot_controller.py 127.20.1.1:5701 pivot-3"
FLEET = "127.20.10.1:7947 --fleet --settings-dir .out/latest/settings"
EXPLAIN = f"lagoontally explain {FLEET} pivot-link"
STATUS = f"lagoontally status {FLEET} --json"
# Languages whose blocks hold no commands.
PLAIN_LANGUAGES = ("json", "text")


def pages():
    """Return the paths of all pages, relative to the root."""
    found = [ROOT / "README.md", ROOT / "CHANGELOG.md", *ROOT.glob("docs/**/*.md")]
    return sorted(str(page.relative_to(ROOT)) for page in found)


@given("a copy of the repository's layout for the deployment")
def step_shell(context):
    """Create the folder in which the commands run."""
    root = Path(context.folder) / "root"
    root.mkdir()
    context.shell = Shell(root, context.deployment)
    context.started.callback(context.shell.close)


@when('the commands of "{page}" are run in order')
def step_run_page(context, page):
    """Run each command once, even if an earlier one failed."""
    commands = parse_commands(page)
    context.results = [(item, *context.shell.run(item)) for item in commands]


@then("each has the exit status and the output that the page shows")
def step_page_matches(context):
    """Check the exit statuses and the output."""
    assert context.results
    wrong = [
        f"{command.place}: $ {command.text}\nexit status {status}\n{output}"
        for command, status, output in context.results
        if status != command.status or not output_matches(output, command.shown)
    ]
    assert not wrong, "\n".join(wrong)


@given('targets of "{service}" that shed all work')
def step_shedding(context, service):
    """They take work again after the scenario."""
    context.service = service
    context.started.callback(set_targets, context, "up")
    set_targets(context, "shed")


def set_targets(context, mode):
    """Set the mode of all targets of the service."""
    deployment = context.deployment
    for record in deployment.sorted_records():
        if record.role == "upstream" and record.name.startswith(context.service):
            deployment.set_upstream(record.name, {"mode": mode})


@when("they take work again as soon as the example says that its stop wasn't run")
def step_recover(context):
    """Read its output line by line."""
    context.lines = []
    for line in context.shell.lines(CONTROLLER):
        context.lines.append(line)
        if line.startswith("not run"):
            set_targets(context, "up")


@then("it says that the pivot stopped")
def step_stopped(context):
    """After at least one refusal."""
    assert any(line.startswith("not run") for line in context.lines), context.lines
    # Another thread prints the notifications of the line.
    results = [line for line in context.lines if not line.startswith("status")]
    if results[-1] != "stopped (2.04)":
        told = [*context.shell.lines(EXPLAIN), *context.shell.lines(STATUS)]
        raise AssertionError("\n".join([*context.lines, *told]))


@then("the JSON examples of the protocols page are accepted and list every interval")
def step_protocol_examples(context):
    """Check the template, the settings and the table of intervals."""
    page = (ROOT / "docs" / "PROTOCOLS.md").read_text()
    found = [block for block in parse_blocks(page) if block.language == "json"]
    template, settings = ("\n".join(block.lines).encode() for block in found)
    assert isinstance(parse_template(template), Template)
    assert isinstance(parse_settings(settings), Settings)
    for name, default in Timing()._asdict().items():
        assert f"| `{name}` | {default} |" in page, name


@then("every page with console blocks is among the examples")
def step_no_page_missing(context):
    """Check that no page is missing and that no other block holds commands."""
    listed = {
        row["page"]
        for scenario in context.feature.scenarios
        for example in getattr(scenario, "examples", [])
        for row in example.table
    }
    for page in pages():
        languages = {
            block.language for block in parse_blocks((ROOT / page).read_text())
        }
        assert languages <= {CONSOLE, *PLAIN_LANGUAGES}, (page, languages)
        assert (page in listed) == (CONSOLE in languages), page
