"""Steps for the commands in the docs."""

from pathlib import Path

from behave import given, then, when
from console import CONSOLE, ROOT, Shell, blocks_of, commands_of, shows

from lagoontally_model import (
    Settings,
    Template,
    Timing,
    parse_settings,
    parse_template,
)

# Languages whose blocks hold no commands.
PLAIN_LANGUAGES = ("json", "text")


def pages():
    """Return every page of the docs by its path from the root."""
    found = [ROOT / "README.md", ROOT / "CHANGELOG.md", *ROOT.glob("docs/**/*.md")]
    return sorted(str(page.relative_to(ROOT)) for page in found)


@given("a folder like the repository's root beside the deployment")
def step_shell(context):
    """Commands find examples and the deployment's settings there."""
    root = Path(context.folder) / "root"
    root.mkdir()
    context.shell = Shell(root, context.deployment)
    context.started.callback(context.shell.close)


@when('the commands of "{page}" are run in order')
def step_run_page(context, page):
    """Each command is run once, whatever the earlier ones did."""
    commands = commands_of(page)
    context.results = [(item, *context.shell.run(item)) for item in commands]


@then("each ends as the page says, with the output that it shows")
def step_page_holds(context):
    """Exit statuses and the lines shown are right."""
    assert context.results
    wrong = [
        f"{command.place}: $ {command.text}\nexit status {status}\n{output}"
        for command, status, output in context.results
        if status != command.status or not shows(output, command.shown)
    ]
    assert not wrong, "\n".join(wrong)


@then("the protocols' JSON examples are accepted, and name every interval")
def step_examples_hold(context):
    """The template, the settings and the table of intervals are those in use."""
    page = (ROOT / "docs" / "PROTOCOLS.md").read_text()
    found = [block for block in blocks_of(page) if block.language == "json"]
    template, settings = ("\n".join(block.lines).encode() for block in found)
    assert isinstance(parse_template(template), Template)
    assert isinstance(parse_settings(settings), Settings)
    for name, default in Timing()._asdict().items():
        assert f"| `{name}` | {default} |" in page, name


@then("every page with console blocks is among the examples")
def step_no_page_missing(context):
    """No page's commands are left out, and none hides in other blocks."""
    listed = {
        row["page"]
        for scenario in context.feature.scenarios
        for example in getattr(scenario, "examples", [])
        for row in example.table
    }
    for page in pages():
        languages = {block.language for block in blocks_of((ROOT / page).read_text())}
        assert languages <= {CONSOLE, *PLAIN_LANGUAGES}, (page, languages)
        assert (page in listed) == (CONSOLE in languages), page
