"""The ``render`` command: fills in a workspace template."""

import json
from pathlib import Path
from typing import Any

import click

from lagoontally_model import Finding, Findings, parse_template, render_template

from ._command import Command
from ._exit import ExitStatus
from ._text import findings_text


def read_values(_ctx, _param, settings):
    """Parse the ``name=value`` options."""
    values = {}
    for text in settings:
        name, equals, value = text.partition("=")
        if not (name and equals):
            raise click.BadParameter(f"{text!r} is not name=value")
        if name in values:
            raise click.BadParameter(f"{name} is given twice")
        values[name] = value
    return values


@click.command(
    cls=Command,
    examples=(
        "lagoontally render SOURCE --set version=2 --set slots=4",
        "lagoontally render SOURCE --set version=2 --output filled.json",
        "lagoontally render SOURCE --set version=3 --leaving pivot-link-7",
    ),
)
@click.argument("source", type=click.File("rb"))
@click.option(
    "--set",
    "values",
    multiple=True,
    callback=read_values,
    metavar="NAME=VALUE",
    help="Value of a parameter; may be given many times.",
)
@click.option(
    "--leaving",
    multiple=True,
    metavar="TARGET",
    help="Mark this target as leaving; may be given many times.",
)
@click.option(
    "--output",
    type=click.Path(dir_okay=False, writable=True, path_type=Path),
    help="File to write; standard output by default.",
)
@click.option("--json", "as_json", is_flag=True, help="Print findings as JSON.")
@click.pass_context
def render(ctx, source, values, leaving, output, as_json):
    """Fill in the parameters of a workspace template and check the result.

    If there are findings, nothing is written and the exit status is 1.
    """
    rendered = render_template(source.read(), values)
    if isinstance(rendered, bytes):
        rendered = mark_leaving(rendered, leaving)
    result = rendered
    if isinstance(rendered, bytes):
        result = parse_template(rendered)
    if isinstance(result, Findings):
        show_findings(result, as_json=as_json)
        ctx.exit(ExitStatus.FINDINGS)
    write(rendered, output)


def mark_leaving(document: bytes, names: tuple[str, ...]) -> bytes | Findings:
    """Mark targets of a filled-in document as leaving.

    Args:
        document: The document.
        names: Names of the targets.

    Returns:
        The changed document, or a finding for each name that doesn't match
        exactly one target.
    """
    content = json.loads(document)
    findings = []
    for name in names:
        targets = targets_with_name(content, name)
        if len(targets) != 1:
            found = "no target" if not targets else f"{len(targets)} targets"
            findings.append(Finding(f"leaving.{name}", f"names {found}"))
            continue
        targets[0]["state"] = "leaving"
    if findings:
        return Findings("source", tuple(findings))
    return json.dumps(content, indent=2).encode() + b"\n"


def targets_with_name(content: Any, name: str) -> list[dict[str, Any]]:
    """Return the targets with a name, at any depth of the document."""
    if isinstance(content, dict):
        named = "address" in content and content.get("name") == name
        found = [content] if named else []
        return found + targets_with_name(list(content.values()), name)
    if isinstance(content, list):
        return [target for item in content for target in targets_with_name(item, name)]
    return []


def show_findings(found: Findings, *, as_json: bool) -> None:
    """Print findings: JSON to standard output, text to standard error."""
    if as_json:
        items = [item._asdict() for item in found.findings]
        click.echo(json.dumps({"document": found.document, "findings": items}))
        return
    click.echo("\n".join(findings_text(found.findings)), err=True)


def write(document: bytes, output: Path | None) -> None:
    """Write a document to a file or to standard output."""
    if output is None:
        click.echo(document, nl=False)
        return
    try:
        output.write_bytes(document)
    except OSError as error:
        raise click.UsageError(f"{output} can't be written: {error}") from error
