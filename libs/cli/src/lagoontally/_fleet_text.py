"""Merges the status of several balancers and formats it."""

from collections import Counter
from typing import Any

from ._replies import Reply
from ._status_text import measurements_text, object_or_empty, target_rows, targets_text
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
SUMMED_FIELDS = ("in_flight", "lines")


def fleet_json(replies: list[Reply]) -> dict[str, Any]:
    """Return the replies and the merged status as JSON data."""
    balancers = [
        {"address": reply.address, "status": reply.answer}
        if reply.succeeded
        else {"address": reply.address, "error": reply.answer.reason}
        for reply in replies
    ]
    answers = [reply.answer for reply in replies if reply.succeeded]
    merged = {"targets": merged_targets(answers)} | merged_measurements(answers)
    return {"balancers": balancers, "merged": merged}


def fleet_text(replies: list[Reply]) -> list[str]:
    """Return the replies and the merged status as lines."""
    answers = [reply.answer for reply in replies if reply.succeeded]
    rows = table(BALANCER_COLUMNS, [balancer_row(reply) for reply in replies])
    lines = section("balancers", rows)[1:]
    lines += targets_text(merged_targets(answers))
    return lines + measurements_text(merged_measurements(answers))


def balancer_row(reply: Reply) -> dict[str, Any]:
    """Return the table row of a balancer."""
    if not reply.succeeded:
        return {"address": reply.address, "state": UNREACHABLE}
    members = reply.answer.get("members")
    count = len(members) if isinstance(members, list) else None
    return reply.answer | {"address": reply.address, "members": count}


def merged_targets(answers: list[dict[str, Any]]) -> list[dict[str, Any]]:
    """Return each target once, with the sums of its requests and lines.

    If balancers report different states of a target, all of them are listed.
    """
    merged: dict[tuple, dict[str, Any]] = {}
    for answer in answers:
        for row in target_rows(answer.get("services", {})):
            key = (row["service"], row.get("address"))
            merged[key] = merge_target_rows(merged[key], row) if key in merged else row
    return list(merged.values())


def merge_target_rows(row: dict[str, Any], other: dict[str, Any]) -> dict[str, Any]:
    """Merge two balancers' rows of the same target."""
    sums = {
        name: row.get(name, 0) + other.get(name, 0)
        for name in SUMMED_FIELDS
        if name in row or name in other
    }
    states = {*str(row.get("state")).split("/"), str(other.get("state"))}
    return row | sums | {"state": "/".join(sorted(states))}


def merged_measurements(answers: list[dict[str, Any]]) -> dict[str, Any]:
    """Return the sums of counters, and merged latencies and histograms."""
    # Imported here because the other commands don't need the edges' libraries.
    from lagoontally_edges import merge_snapshots

    with_histograms = [item for item in answers if "histograms" in item]
    counters = Counter()
    for answer in answers:
        counters.update(object_or_empty(answer.get("counters")))
    return merge_snapshots(with_histograms) | {"counters": dict(counters)}
