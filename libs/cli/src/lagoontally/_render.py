"""The command that fills in a workspace template."""

import json
from pathlib import Path

import click

from lagoontally_model import Findings, parse_template, render_template

from ._command import Command
from ._exit import ExitStatus
from ._text import findings_text


def read_values(_ctx, _param, settings):
    """Split each ``name=value`` of the command line."""
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
    "--output",
    type=click.Path(dir_okay=False, writable=True, path_type=Path),
    help="File to write; standard output by default.",
)
@click.option("--json", "as_json", is_flag=True, help="Print findings as JSON.")
@click.pass_context
def render(ctx, source, values, output, as_json):
    """Fill in the parameters of a workspace template and check the result.

    Nothing is written where there are findings; the exit status is 1 then.
    """
    rendered = render_template(source.read(), values)
    result = rendered
    if isinstance(rendered, bytes):
        result = parse_template(rendered)
    if isinstance(result, Findings):
        show_findings(result, as_json=as_json)
        ctx.exit(ExitStatus.FINDINGS)
    write(rendered, output)


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
