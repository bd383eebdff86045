"""The command that shows the status of balancers."""

import json
import time
from typing import NamedTuple

import click

from ._command import Command
from ._exit import ExitStatus
from ._fleet_text import fleet_json, fleet_text
from ._options import (
    addresses_argument,
    fleet_options,
    json_option,
    seconds_option,
    timeout_option,
)
from ._replies import Reply, ask_all, asked_addresses, show_failures
from ._status_text import status_text

UNTIL_INTERVAL_S = 0.5
WITHIN_S = 30.0


class Condition(NamedTuple):
    """What every balancer must say of itself; None where it doesn't matter."""

    version: int | None
    state: str | None

    @property
    def asked(self) -> bool:
        """Whether anything is to be waited for."""
        return self.version is not None or self.state is not None

    def holds(self, replies: list[Reply]) -> bool:
        """Tell whether every balancer has answered and meets it."""
        return all(reply.good and self._holds_at(reply.answer) for reply in replies)

    def _holds_at(self, answer):
        version = answer.get("template_version")
        if self.version is not None and not (
            isinstance(version, int) and version >= self.version
        ):
            return False
        return self.state is None or answer.get("state") == self.state


@click.command(
    cls=Command,
    examples=(
        "lagoontally status 127.20.10.1:7947",
        "lagoontally status 127.20.10.1:7947 --watch 2",
        "lagoontally status 127.20.10.1:7947 127.20.10.2:7947 --json",
        "lagoontally status 127.20.10.1:7947 --fleet --until-version 2",
    ),
)
@addresses_argument
@fleet_options
@json_option
@seconds_option(
    "--watch", "interval_s", help="Ask again at this interval until interrupted."
)
@click.option(
    "--count",
    type=click.IntRange(min=1),
    help="With --watch, stop after this many answers.",
)
@click.option(
    "--until-version",
    "version",
    type=click.IntRange(min=1),
    help="Ask until this template version, or a newer one, is in force everywhere.",
)
@click.option("--until-state", "state", help="Ask until every balancer is so.")
@seconds_option(
    "--within",
    "within_s",
    default=WITHIN_S,
    show_default=True,
    help="With --until-version or --until-state, how long to ask.",
)
@timeout_option
@click.pass_context
def status(
    ctx,
    addresses,
    whole_fleet,
    settings_dir,
    as_json,
    interval_s,
    count,
    version,
    state,
    within_s,
    timeout_s,
):
    """Show the fleet as the balancer at ADDRESS sees it.

    With several addresses, or --fleet, the balancers' lines, requests, counters
    and latencies are added up. The exit status is 1 where --until-version or
    --until-state isn't met in time, and 3 where a balancer can't be reached.
    """
    if count and not interval_s:
        raise click.UsageError("--count needs --watch")
    condition = Condition(version, state)

    def look():
        asked = asked_addresses(
            addresses,
            whole_fleet=whole_fleet,
            settings_dir=settings_dir,
            timeout_s=timeout_s,
        )
        return ask_all(asked, "status", timeout_s=timeout_s)

    if condition.asked:
        result = wait_until(look, condition, within_s=within_s, as_json=as_json)
        ctx.exit(result)
    ctx.exit(watch(look, interval_s=interval_s, count=count, as_json=as_json))


def watch(look, *, interval_s, count, as_json) -> ExitStatus:
    """Show the status once, or again and again."""
    rounds = 1 if interval_s is None else count
    done = 0
    while True:
        replies = look()
        if interval_s and not as_json:
            click.clear()
        result = show(replies, as_json=as_json)
        done += 1
        if done == rounds:
            return result
        time.sleep(interval_s)


def wait_until(look, condition, *, within_s, as_json) -> ExitStatus:
    """Ask until a condition holds everywhere, then show the status."""
    until_s = time.monotonic() + within_s
    while True:
        replies = look()
        if condition.holds(replies):
            return show(replies, as_json=as_json)
        if time.monotonic() >= until_s:
            break
        time.sleep(UNTIL_INTERVAL_S)
    result = show(replies, as_json=as_json)
    click.echo(f"Error: not so everywhere after {within_s:g} s", err=True)
    return result or ExitStatus.FINDINGS


def show(replies: list[Reply], *, as_json: bool) -> ExitStatus:
    """Print what balancers answered; one balancer's own answer as it is."""
    result = show_failures(replies)
    if len(replies) == 1:
        answer = replies[0].answer
        if not replies[0].good:
            return result
        click.echo(json.dumps(answer) if as_json else "\n".join(status_text(answer)))
        return result
    if as_json:
        click.echo(json.dumps(fleet_json(replies)))
    else:
        click.echo("\n".join(fleet_text(replies)))
    return result
