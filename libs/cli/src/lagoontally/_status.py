"""The ``status`` command: shows the status of balancers."""

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
from ._replies import Reply, resolve_addresses, send_queries, show_failures
from ._status_text import objects_in, status_text

UNTIL_POLL_INTERVAL_S = 0.5
DEFAULT_WITHIN_S = 30.0
ALIVE = "alive"  # status of a member that takes part


class Condition(NamedTuple):
    """The condition that --until-version and --until-state set.

    Attributes:
        version: Lowest template version in force at each balancer and at its members
            that are alive, or None for any.
        state: State of the balancer, or None for any.
    """

    version: int | None
    state: str | None

    @property
    def is_set(self) -> bool:
        """Whether there is anything to wait for."""
        return self.version is not None or self.state is not None

    def is_met(self, replies: list[Reply]) -> bool:
        """Return whether every balancer answered and meets the condition."""
        return all(
            reply.succeeded and self._is_met_by(reply.answer) for reply in replies
        )

    def _is_met_by(self, answer):
        members = [
            member
            for member in objects_in(answer.get("members"))
            if member.get("status") == ALIVE
        ]
        has_version = all(map(self._has_version, (answer, *members)))
        return has_version and (self.state is None or answer.get("state") == self.state)

    def _has_version(self, record):
        version = record.get("template_version")
        return self.version is None or (
            isinstance(version, int) and version >= self.version
        )


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
@click.option(
    "--until-state", "state", help="Ask until every balancer is in this state."
)
@seconds_option(
    "--within",
    "within_s",
    default=DEFAULT_WITHIN_S,
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
    and latencies are added up. The exit status is 1 if --until-version or
    --until-state isn't met in time, and 3 if a balancer can't be reached.
    """
    if count and not interval_s:
        raise click.UsageError("--count needs --watch")
    condition = Condition(version, state)

    def fetch_replies():
        resolved = resolve_addresses(
            addresses,
            whole_fleet=whole_fleet,
            settings_dir=settings_dir,
            timeout_s=timeout_s,
        )
        return send_queries(resolved, "status", timeout_s=timeout_s)

    if condition.is_set:
        result = wait_until(
            fetch_replies, condition, within_s=within_s, as_json=as_json
        )
        ctx.exit(result)
    ctx.exit(watch(fetch_replies, interval_s=interval_s, count=count, as_json=as_json))


def watch(fetch_replies, *, interval_s, count, as_json) -> ExitStatus:
    """Show the status once or, with an interval, repeatedly."""
    rounds = 1 if interval_s is None else count
    done = 0
    while True:
        replies = fetch_replies()
        if interval_s and not as_json:
            click.clear()
        result = show(replies, as_json=as_json)
        done += 1
        if done == rounds:
            return result
        time.sleep(interval_s)


def wait_until(fetch_replies, condition, *, within_s, as_json) -> ExitStatus:
    """Query until every balancer meets a condition, then show the status."""
    deadline_s = time.monotonic() + within_s
    while True:
        replies = fetch_replies()
        if condition.is_met(replies):
            return show(replies, as_json=as_json)
        if time.monotonic() >= deadline_s:
            break
        time.sleep(UNTIL_POLL_INTERVAL_S)
    result = show(replies, as_json=as_json)
    click.echo(f"Error: not so everywhere after {within_s:g} s", err=True)
    return result or ExitStatus.FINDINGS


def show(replies: list[Reply], *, as_json: bool) -> ExitStatus:
    """Print a single balancer's answer, or the merged answers of several."""
    result = show_failures(replies)
    if len(replies) == 1:
        answer = replies[0].answer
        if not replies[0].succeeded:
            return result
        click.echo(json.dumps(answer) if as_json else "\n".join(status_text(answer)))
        return result
    if as_json:
        click.echo(json.dumps(fleet_json(replies)))
    else:
        click.echo("\n".join(fleet_text(replies)))
    return result
