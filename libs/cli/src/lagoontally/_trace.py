"""The ``trace`` command: finds a flow, request or target in balancers' logs."""

import json
from pathlib import Path

import click

from ._command import Command
from ._options import json_option
from ._trace_log import read_logs, related_lines, verdict_of
from ._trace_state import states_at, summary

DEFAULT_WINDOW_S = 5.0
HIDDEN_FIELDS = ("time", "at_ms", "instance", "event", "dropped_lines")


@click.command(
    cls=Command,
    examples=(
        "lagoontally trace 5f3a9c01be77 logs/*.log",
        "lagoontally trace '100.64.0.7:40001>198.18.0.1:443' tifton-1.log",
        "lagoontally trace 000000007f3a91c2 logs/*.log --window 20",
        "lagoontally trace 5f3a9c01be77 logs/*.log --at 1790000001.5",
    ),
)
@click.argument("subject")
@click.argument(
    "logs", nargs=-1, required=True, type=click.Path(exists=True, path_type=Path)
)
@click.option(
    "--window",
    "window_s",
    default=DEFAULT_WINDOW_S,
    show_default=True,
    help="Seconds before and after, to search for target states and restarts.",
)
@click.option(
    "--at",
    "moment",
    type=float,
    help="Unix time of the failure: shows which balancers were serving then.",
)
@json_option
@click.pass_context
def trace(ctx, subject, logs, window_s, moment, as_json):
    """Follow SUBJECT through the LOGS of balancers on the platform.

    SUBJECT is a request's id, a flow as logs show it, a caller's address (with or
    without its port) or a target's id. A request whose flow never opened is in no
    line; trace its caller instead. Prints the lines that mention SUBJECT in the
    order of time, with lines about the targets and balancers involved, and then
    the cause of the failure. Lines that can't be read are skipped and counted. If
    no line mentions SUBJECT, use --at.
    """
    log = read_logs(logs)
    lines = related_lines(log, subject, window_s=window_s)
    verdict = verdict_of(lines, subject)
    if moment is not None:
        verdict += "; " + summary(states_at(log.lines, moment))
    if as_json:
        document = {"lines": lines, "verdict": verdict, "unreadable": log.unreadable}
        click.echo(json.dumps(document))
    else:
        for line in lines:
            click.echo(_format_line(line))
        if log.unreadable:
            click.echo(f"{log.unreadable} lines can't be read and were skipped")
        click.echo(f"cause: {verdict}")
    ctx.exit(0 if lines else 1)


def _format_line(line):
    fields = " ".join(
        f"{name}={value}"
        for name, value in line.items()
        if name not in HIDDEN_FIELDS and value not in (None, "")
    )
    return f"{line['time']:.3f} {line['instance']} {line['event']} {fields}"
