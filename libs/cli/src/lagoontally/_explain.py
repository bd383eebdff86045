"""The ``explain`` command: shows the decisions of balancers and their reasons."""

import json
from typing import Any

import click

from ._command import Command
from ._options import addresses_argument, fleet_options, json_option, timeout_option
from ._replies import Reply, resolve_addresses, send_queries, show_failures
from ._status_text import objects_in
from ._text import table

MS_PER_S = 1_000
COLUMNS = ("ago", "balancer", "what", "why", "about")


@click.command(
    cls=Command,
    examples=(
        "lagoontally explain 127.20.10.1:7947 127.30.0.5:40112",
        "lagoontally explain 127.20.10.1:7947 127.20.10.2:7947 pivot-link-3",
        "lagoontally explain 127.20.10.1:7947 --fleet 5f3a9c01 --json",
    ),
)
@addresses_argument
@click.argument("subject")
@fleet_options
@json_option
@timeout_option
@click.pass_context
def explain(ctx, addresses, subject, whole_fleet, settings_dir, as_json, timeout_s):
    """Show why the balancers at each ADDRESS decided as they did about SUBJECT.

    SUBJECT is a caller's IP:port, a request's token in hexadecimal digits, a
    target's name or address, or a service; a part of one is enough. Each
    balancer remembers its own latest decisions, so ask several: a request is
    decided on by the home of its flow.
    """
    resolved = resolve_addresses(
        addresses,
        whole_fleet=whole_fleet,
        settings_dir=settings_dir,
        timeout_s=timeout_s,
    )
    replies = send_queries(resolved, "explain", argument=subject, timeout_s=timeout_s)
    result = show_failures(replies)
    if any(reply.succeeded for reply in replies):
        text = explain_json(replies) if as_json else explain_text(replies, subject)
        click.echo(text)
    ctx.exit(result)


def explain_json(replies: list[Reply]) -> str:
    """Return a single balancer's answer unchanged, or the decisions of several."""
    if len(replies) == 1:
        return json.dumps(replies[0].answer)
    return json.dumps({"decisions": decisions(replies)})


def explain_text(replies: list[Reply], subject: str) -> str:
    """Return the decisions as a table, oldest first."""
    rows = [decision_row(item) for item in decisions(replies)]
    if not rows:
        return f"no decision about {subject} is remembered"
    return "\n".join(table(COLUMNS, rows))


def decisions(replies: list[Reply]) -> list[dict[str, Any]]:
    """Return the decisions of all balancers, oldest first."""
    found = [
        item | {"instance": reply.answer.get("instance", reply.address)}
        for reply in replies
        if reply.succeeded
        for item in objects_in(reply.answer.get("decisions"))
    ]
    return sorted(found, key=ago_ms, reverse=True)


def ago_ms(decision: dict[str, Any]) -> float:
    """Return how long ago a decision was made, 0 if that is missing."""
    value = decision.get("ago_ms")
    return value if isinstance(value, int | float) else 0


def decision_row(decision: dict[str, Any]) -> dict[str, Any]:
    """Return the table row of a decision."""
    subjects = decision.get("subjects")
    about = subjects if isinstance(subjects, list) else []
    return decision | {
        "ago": f"{ago_ms(decision) / MS_PER_S:.1f} s",
        "balancer": decision["instance"],
        "about": " ".join(map(str, about)),
    }
