"""Adds up the status of several balancers and lays it out."""

from collections import Counter
from typing import Any

from ._replies import Reply
from ._status_text import fields, measurements_text, target_rows, targets_text
from ._text import section, table

UNREACHABLE = "unreachable"
BALANCER_COLUMNS = (
    "address",
    "instance",
    "data_centre",
    "state",
    "template_version",
    "members",
    "lines",
    "in_flight",
    "remembered",
    "pauses",
)
ADDED_FIELDS = ("in_flight", "lines")


def fleet_json(replies: list[Reply]) -> dict[str, Any]:
    """Return the replies and their sums as plain data."""
    balancers = [
        {"address": reply.address, "status": reply.answer}
        if reply.good
        else {"address": reply.address, "error": reply.answer.reason}
        for reply in replies
    ]
    answers = [reply.answer for reply in replies if reply.good]
    merged = {"targets": merged_targets(answers)} | merged_measurements(answers)
    return {"balancers": balancers, "merged": merged}


def fleet_text(replies: list[Reply]) -> list[str]:
    """Return the replies and their sums as lines."""
    answers = [reply.answer for reply in replies if reply.good]
    rows = table(BALANCER_COLUMNS, [balancer_row(reply) for reply in replies])
    lines = section("balancers", rows)[1:]
    lines += targets_text(merged_targets(answers))
    return lines + measurements_text(merged_measurements(answers))


def balancer_row(reply: Reply) -> dict[str, Any]:
    """Return one balancer's row."""
    if not reply.good:
        return {"address": reply.address, "state": UNREACHABLE}
    members = reply.answer.get("members")
    count = len(members) if isinstance(members, list) else None
    return reply.answer | {"address": reply.address, "members": count}


def merged_targets(answers: list[dict[str, Any]]) -> list[dict[str, Any]]:
    """Return each target once, its requests and lines added up.

    Where balancers see a target's state differently, every state is named.
    """
    merged: dict[tuple, dict[str, Any]] = {}
    for answer in answers:
        for row in target_rows(answer.get("services", {})):
            key = (row["service"], row.get("address"))
            merged[key] = add_target(merged[key], row) if key in merged else row
    return list(merged.values())


def add_target(row: dict[str, Any], other: dict[str, Any]) -> dict[str, Any]:
    """Return two balancers' views of a target as one."""
    added = {
        name: row.get(name, 0) + other.get(name, 0)
        for name in ADDED_FIELDS
        if name in row or name in other
    }
    states = {*str(row.get("state")).split("/"), str(other.get("state"))}
    return row | added | {"state": "/".join(sorted(states))}


def merged_measurements(answers: list[dict[str, Any]]) -> dict[str, Any]:
    """Return counters and latencies added up, histograms included."""
    # Imported here because the other commands don't need the edges' libraries.
    from lagoontally_edges import merge_snapshots

    measured = [item for item in answers if "histograms" in item]
    counters = Counter()
    for answer in answers:
        counters.update(fields(answer.get("counters")))
    return merge_snapshots(measured) | {"counters": dict(counters)}
