"""Checks a finished world by what upstreams ran and callers were answered.

The checks never read the core's own counters.
"""

import json
from collections import Counter
from itertools import pairwise
from typing import NamedTuple

from lagoontally_caller import Answered, Failed, NotRun

MAX_ADOPTION_MS = 17_000
LEAVING_GRACE_MS = 5_000


class Breach(NamedTuple):
    """A violated guarantee.

    Attributes:
        promise: The guarantee.
        detail: What was observed.
    """

    promise: str
    detail: str


def check_requests(world):
    """Return the breaches of at-most-once execution and of correct outcomes."""
    runs = Counter(line["id"] for line in world.ledger if line["method"] == "POST")
    outcomes = {item.request_id: item for item in world.outcomes if item.request_id}
    breaches = [
        Breach("at most once", f"{request_id} ran {count} times")
        for request_id, count in runs.items()
        if count > 1
    ]
    for request_id, item in outcomes.items():
        breaches += _check_outcome(item, runs[request_id])
    return breaches


def _check_outcome(item, runs):
    if isinstance(item.outcome, NotRun | Failed) and runs:
        detail = f"{item.request_id} ran but was told {item.outcome}"
        return [Breach("told not run means not run", detail)]
    if not isinstance(item.outcome, Answered):
        return []
    answer = json.loads(item.outcome.body)
    if answer.get("id") != item.request_id or answer.get("path") != item.path:
        detail = f"{item.request_id} was answered {answer}"
        return [Breach("own and whole answer", detail)]
    if not runs:
        detail = f"{item.request_id} was answered but never ran"
        return [Breach("own and whole answer", detail)]
    return []


def check_isolation(world):
    """Return the breaches of the isolation between workspaces."""
    owners = {item.request_id: item.workspace for item in world.outcomes}
    return [
        Breach("workspaces apart", f"{line['target']} got {line['path']}")
        for line in world.ledger
        if line["foreign"]
        or owners.get(line["id"], line["workspace"]) != line["workspace"]
    ]


def check_versions(world, *, published):
    """Return the breaches of template versions.

    Args:
        world: The finished world.
        published: ``(time, version, workspace)`` of each published version, with
            the time from which the workspace's balancers could read it.
    """
    breaches = _check_reverts(world)
    for at_ms, version, workspace in published:
        for node in world.balancers.values():
            if node.workspace != workspace or not node.alive:
                continue
            breaches += _check_adoption_time(world, node, at_ms, version)
    return breaches


def _check_reverts(world):
    highest = Counter()
    breaches = []
    for at_ms, name, version in world.versions:
        if version < highest[name]:
            detail = f"{name} went back to {version} at {at_ms} ms"
            breaches.append(Breach("template never reverts", detail))
        highest[name] = max(highest[name], version)
    return breaches


def _check_adoption_time(world, node, at_ms, version):
    in_force = [
        when
        for when, name, newer in world.versions
        if name == node.name and newer >= version
    ]
    due_ms = max(at_ms, node.started_ms) + MAX_ADOPTION_MS
    if in_force and min(in_force) <= due_ms:
        return []
    detail = f"{node.name} has version {version} since {in_force[:1]}, due {due_ms}"
    return [Breach("template in force in time", detail)]


def check_leaving(world, target, published_ms):
    """Return a breach for each new work sent to a leaving target after the grace."""
    limit_ms = published_ms + LEAVING_GRACE_MS
    return [
        Breach("no new work on a leaving upstream", f"{kind} for {target} at {at_ms}")
        for at_ms, address, kind in world.sent
        if address == target and at_ms > limit_ms
    ]


def check_lines(callers, *, end_ms, allowed_breaks=0, gap_ms=None):
    """Return the breaches of lines that broke or aren't open at the end.

    Args:
        callers: The callers.
        end_ms: When the world ended.
        allowed_breaks: Number of breaks that the faults may cause on each line.
        gap_ms: The longest time without a notification, None for any.
    """
    breaches = []
    for caller in callers:
        if caller.line is None:
            continue
        breaches += _check_gap(caller, gap_ms, end_ms)
        if caller.line.breaks > allowed_breaks:
            detail = f"{caller.name} broke {caller.line.breaks} times"
            breaches.append(Breach("lines survive", detail))
        if caller.line.status != "open":
            detail = f"{caller.name} is {caller.line.status} at the end"
            breaches.append(Breach("lines are whole again", detail))
    return breaches


def _check_gap(caller, gap_ms, end_ms):
    """Return a breach if a line was silent so long that only a renewal restored it."""
    if gap_ms is None:
        return []
    times = [at_ms for at_ms, _ in caller.notifications] + [end_ms]
    gaps = [(after - before, before) for before, after in pairwise(times)]
    longest, since_ms = max(gaps, default=(end_ms, 0))
    if longest <= gap_ms:
        return []
    detail = f"{caller.name} heard nothing for {longest} ms since {since_ms} ms"
    return [Breach("lines survive", detail)]


def check_progress(world):
    """Return a breach unless most requests were answered.

    Without answers, the other checks would pass but prove nothing.
    """
    answered = sum(isinstance(item.outcome, Answered) for item in world.outcomes)
    if answered * 2 > len(world.outcomes):
        return []
    return [
        Breach("callers are served", f"{answered} of {len(world.outcomes)} answered")
    ]
