"""The commands that ask a balancer: status, explain and drain."""

import json
import time
from collections.abc import Callable
from typing import Any

import click

from ._command import Command
from ._exit import ExitStatus
from ._operator import ANSWER_TIMEOUT_S, Declined, OperatorAddress, Unreachable, ask
from ._status_text import status_text
from ._text import describe

address_argument = click.argument("address", type=OperatorAddress())
json_option = click.option("--json", "as_json", is_flag=True, help="Print JSON.")
timeout_option = click.option(
    "--timeout",
    "timeout_s",
    type=click.FloatRange(min=0, min_open=True),
    default=ANSWER_TIMEOUT_S,
    show_default=True,
    metavar="SECONDS",
    help="How long to wait for the answer.",
)


def show(answer: Any, *, as_json: bool, text: Callable[[Any], list[str]]) -> ExitStatus:
    """Print an answer, or why there is none.

    Args:
        answer: What ``ask`` returned.
        as_json: Print JSON on one line in place of text.
        text: Lays out an answer as lines.

    Returns:
        The exit status that goes with it.
    """
    if isinstance(answer, Unreachable | Declined):
        click.echo(f"Error: {answer.reason}", err=True)
        unreachable = isinstance(answer, Unreachable)
        return ExitStatus.UNREACHABLE if unreachable else ExitStatus.FINDINGS
    click.echo(json.dumps(answer) if as_json else "\n".join(text(answer)))
    return ExitStatus.FINE


@click.command(
    cls=Command,
    examples=(
        "lagoontally status 127.10.1.1:7947",
        "lagoontally status 127.10.1.1:7947 --watch 2",
        "lagoontally status 127.10.1.1:7947 --json",
    ),
)
@address_argument
@json_option
@click.option(
    "--watch",
    "interval_s",
    type=click.FloatRange(min=0, min_open=True),
    metavar="SECONDS",
    help="Ask again at this interval until interrupted.",
)
@click.option(
    "--count",
    type=click.IntRange(min=1),
    help="With --watch, stop after this many answers.",
)
@timeout_option
@click.pass_context
def status(ctx, address, as_json, interval_s, count, timeout_s):
    """Show the fleet as the balancer at ADDRESS sees it."""
    if count and not interval_s:
        raise click.UsageError("--count needs --watch")
    rounds = 1 if interval_s is None else count
    done = 0
    while True:
        answer = ask(address, "status", timeout_s=timeout_s)
        if interval_s and not as_json:
            click.clear()
        result = show(answer, as_json=as_json, text=status_text)
        done += 1
        if done == rounds:
            ctx.exit(result)
        time.sleep(interval_s)


@click.command(
    cls=Command,
    examples=(
        "lagoontally explain 127.10.1.1:7947 127.30.0.5:40112",
        "lagoontally explain 127.10.1.1:7947 pivot-link-3 --json",
    ),
)
@address_argument
@click.argument("subject")
@json_option
@timeout_option
@click.pass_context
def explain(ctx, address, subject, as_json, timeout_s):
    """Show why the balancer at ADDRESS decided as it did about SUBJECT.

    SUBJECT is a flow, a request or a target.
    """
    answer = ask(address, "explain", argument=subject, timeout_s=timeout_s)
    ctx.exit(show(answer, as_json=as_json, text=describe))


@click.command(
    cls=Command,
    examples=("lagoontally drain 127.10.1.1:7947",),
)
@address_argument
@json_option
@timeout_option
@click.pass_context
def drain(ctx, address, as_json, timeout_s):
    """Let the balancer at ADDRESS hand over its flows and leave."""
    answer = ask(address, "drain", timeout_s=timeout_s)
    ctx.exit(show(answer, as_json=as_json, text=describe))
