"""The ``check`` command: checks a template or settings."""

import json
from typing import Any, NamedTuple

import click

from lagoontally_model import (
    Changes,
    Finding,
    Findings,
    Template,
    compare_templates,
    parse_settings,
    parse_template,
    transition_findings,
)

from ._command import Command
from ._exit import ExitStatus
from ._published import NotPublished, ReadFailure, read_published
from ._text import findings_text, section, table


class Report(NamedTuple):
    """The result of a check.

    Attributes:
        accepted: Whether the document itself is accepted.
        findings: Faults of the document.
        transition: Faults of the change from the other template to this one.
        changes: The differences; None without a comparison.
        note: Why there is no comparison; empty if none was requested.
    """

    accepted: bool
    findings: tuple[Finding, ...] = ()
    transition: tuple[Finding, ...] = ()
    changes: Changes | None = None
    note: str = ""


@click.command(
    cls=Command,
    examples=(
        "lagoontally check filled.json",
        "lagoontally check filled.json --against http://127.20.0.2:8500",
        "lagoontally check filled.json --against in-force.json --json",
        "lagoontally check --settings tifton-1.settings.json",
    ),
)
@click.argument("file", type=click.File("rb"))
@click.option(
    "--against",
    metavar="FILE|URL",
    help="Compare with this template: a file, or the platform's URL.",
)
@click.option("--settings", is_flag=True, help="FILE holds a balancer's settings.")
@click.option("--json", "as_json", is_flag=True, help="Print JSON.")
@click.pass_context
def check(ctx, file, against, settings, as_json):
    """Check a template, or settings, and report every fault with its place.

    The exit status is 0 without findings, 1 with findings, 2 on wrong usage and
    3 where the template to compare with can't be read.
    """
    if settings and against:
        raise click.UsageError("--against compares templates, not settings")
    document = file.read()
    parsed = parse_settings(document) if settings else parse_template(document)
    report = build_report(parsed, against)
    if isinstance(report, ReadFailure):
        click.echo(f"Error: {report.reason}", err=True)
        ctx.exit(ExitStatus.UNREACHABLE)
    text = (
        json.dumps(report_json(report)) if as_json else "\n".join(report_text(report))
    )
    click.echo(text)
    faulty = report.findings or report.transition
    ctx.exit(ExitStatus.FINDINGS if faulty else ExitStatus.SUCCESS)


def build_report(parsed: Any, against: str | None) -> Report | ReadFailure:
    """Build the report, with a comparison if ``against`` is given."""
    if isinstance(parsed, Findings):
        return Report(accepted=False, findings=parsed.findings)
    if against is None:
        return Report(accepted=True)
    document = read_published(against)
    if isinstance(document, ReadFailure):
        return document
    if isinstance(document, NotPublished):
        return Report(accepted=True, note=document.reason)
    previous = parse_template(document)
    if isinstance(previous, Findings):
        return ReadFailure(f"{against} holds no accepted template: {previous.reason}")
    return compare(previous, parsed)


def compare(previous: Template, following: Template) -> Report:
    """Report what changes from one template to the next."""
    found = transition_findings(previous, following)
    return Report(
        accepted=True,
        transition=found.findings if found else (),
        changes=compare_templates(previous, following),
    )


def report_json(report: Report) -> dict[str, Any]:
    """Return a report as JSON data."""
    return {
        "accepted": report.accepted,
        "findings": [item._asdict() for item in report.findings],
        "transition_findings": [item._asdict() for item in report.transition],
        "changes": changes_json(report.changes) if report.changes else None,
        "note": report.note,
    }


def changes_json(changes: Changes) -> dict[str, Any]:
    """Return changes as JSON data."""
    fields = changes._asdict()
    fields["moved"] = [item._asdict() for item in changes.moved]
    fields["quarantine"] = [item._asdict() for item in changes.quarantine]
    fields["services"] = {
        item.service: {
            kind: [target._asdict() for target in getattr(item, kind)]
            for kind in ("added", "removed", "leaving")
        }
        for item in changes.services
    }
    return fields


def report_text(report: Report) -> list[str]:
    """Return a report as lines."""
    lines = ["accepted" if report.accepted else "rejected"]
    lines += section("findings", findings_text(report.findings))
    lines += section("findings of the transition", findings_text(report.transition))
    lines += [report.note] if report.note else []
    return lines + (changes_text(report.changes) if report.changes else [])


def changes_text(changes: Changes) -> list[str]:
    """Return changes as lines."""
    versions = f"{changes.previous_version} to {changes.following_version}"
    rows = [
        {"service": item.service, "change": kind, "target": target.name}
        | {"address": target.address}
        for item in changes.services
        for kind in ("added", "removed", "leaving")
        for target in getattr(item, kind)
    ]
    moved = [item._asdict() for item in changes.moved]
    held = [item._asdict() for item in changes.quarantine]
    lines = ["", f"version {versions}: {changes.version_order}"]
    lines += section("targets", table(("service", "change", "target", "address"), rows))
    lines += section("moved", table(moved[0] if moved else (), moved))
    return lines + section("quarantine", table(held[0] if held else (), held))
