"""The audit: what upstreams ran, joined with what callers were told."""

import json
from collections import Counter, defaultdict
from enum import StrEnum
from pathlib import Path
from typing import NamedTuple

from lagoontally_model import Finding

ONCE_METHOD = "POST"
PERCENTILES = (50, 99, 100)
ZERO_COUNTS = (
    "wrong_answers",
    "doubled",
    "told_not_run_but_ran",
    "lines_broken",
    "crossed_workspaces",
)


class Told(StrEnum):
    """What a caller was told about a call."""

    ANSWERED = "answered"
    REFUSED = "refused"
    UNKNOWN = "unknown"
    FAILED = "failed"


class CallRecord(NamedTuple):
    """One call and what its caller was told.

    Attributes:
        workspace: Workspace that was called.
        service: Service that was called.
        method: ``POST``, ``PUT`` or ``GET``.
        path: The resource.
        id: Id in the payload, None without one.
        told: The outcome.
        wrong: True when the answer isn't the one to this call.
        latency_ms: Time to the outcome.
        reason: Code, or reason where it wasn't answered.
        began_s: When it was made, on the monotonic clock.
    """

    workspace: str
    service: str
    method: str
    path: str
    id: str | None
    told: Told
    wrong: bool
    latency_ms: float
    reason: str
    began_s: float = 0.0


class LineRecord(NamedTuple):
    """One line as its caller saw it.

    Attributes:
        workspace: Workspace that was called.
        service: Service that was called.
        path: The resource.
        opened: Whether it was ever open.
        breaks: Intervals in which it was silent for too long.
        moves: How often its caller changed the socket.
        wrong: Notifications of another resource, or out of order.
        notifications: Notifications received.
        heard_s: When each of them was, on the monotonic clock.
        open: Whether it was open at the end.
    """

    workspace: str
    service: str
    path: str
    opened: bool
    breaks: int
    moves: int
    wrong: int
    notifications: int
    heard_s: tuple[float, ...] = ()
    open: bool = True


class LedgerRun(NamedTuple):
    """One line of a ledger: a request that an upstream ran.

    Attributes:
        target: Name of the target.
        workspace: Workspace of the target.
        service: Service of the target.
        method: Method, or ``OBSERVE`` for a line.
        path: The resource.
        id: Id in the payload, None without one.
        foreign: True for a request that named another workspace or service.
        time: When it was run, in seconds of the day's clock.
    """

    target: str
    workspace: str
    service: str
    method: str
    path: str
    id: str | None
    foreign: bool
    time: float


class Ledgers(NamedTuple):
    """All ledgers of a folder, with the lines that can't be read."""

    runs: tuple[LedgerRun, ...]
    findings: tuple[Finding, ...]


def read_ledgers(directory: Path) -> Ledgers:
    """Read every ledger of a folder.

    Args:
        directory: The folder with one file a target.

    Returns:
        The runs, and a finding for each line that isn't one.
    """
    runs, findings = [], []
    for path in sorted(directory.glob("*.jsonl")):
        for number, line in enumerate(path.read_text().splitlines(), 1):
            try:
                runs.append(LedgerRun(**json.loads(line)))
            except (ValueError, TypeError) as error:
                findings.append(Finding(f"{path.name}:{number}", str(error)))
    return Ledgers(tuple(runs), tuple(findings))


def audit(
    runs: tuple[LedgerRun, ...],
    calls: tuple[CallRecord, ...],
    lines: tuple[LineRecord, ...],
) -> dict:
    """Join what was run with what callers were told.

    Args:
        runs: The ledgers of all upstreams.
        calls: The calls of all callers.
        lines: The lines of all callers.

    Returns:
        The counts, as ``run`` prints them.
    """
    told = Counter(call.told for call in calls)
    commands = [call for call in calls if call.method == ONCE_METHOD]
    ran = Counter(
        run.id for run in runs if run.method == ONCE_METHOD and not run.foreign
    )
    return {
        "calls": len(calls),
        "answered": told[Told.ANSWERED],
        "refused": told[Told.REFUSED],
        "unknown": told[Told.UNKNOWN],
        "failed": told[Told.FAILED],
        "wrong_answers": _wrong_answers(runs, calls, lines),
        "doubled": sum(times > 1 for id_, times in ran.items() if id_ is not None),
        "told_not_run_but_ran": sum(
            call.told in (Told.REFUSED, Told.FAILED) and ran[call.id] > 0
            for call in commands
        ),
        "lines_opened": sum(line.opened for line in lines),
        "lines_broken": sum(line.breaks for line in lines),
        "lines_moved": sum(line.moves for line in lines),
        "notifications": sum(line.notifications for line in lines),
        "crossed_workspaces": _crossed_workspaces(runs, calls, lines),
        "latency_ms": _latencies(calls),
    }


def audit_passes(counts: dict) -> bool:
    """Return whether calls were answered and nothing happened that must not."""
    return counts["answered"] > 0 and not any(counts[name] for name in ZERO_COUNTS)


def _wrong_answers(runs, calls, lines):
    """Count answers that aren't the caller's own, and those to nothing."""
    ran = {(run.id, run.path, run.workspace, run.service) for run in runs}
    wrong = sum(line.wrong for line in lines)
    for call in calls:
        if call.told is not Told.ANSWERED:
            continue
        run = (call.id, call.path, call.workspace, call.service)
        claimed = call.method == ONCE_METHOD and run not in ran
        wrong += call.wrong or claimed
    return wrong


def _crossed_workspaces(runs, calls, lines):
    """Count runs that belong to another workspace than their upstream's."""
    owners = {call.id: call.workspace for call in calls if call.id is not None}
    paths = {item.path: item.workspace for item in (*calls, *lines)}
    crossed = 0
    for run in runs:
        owner = owners.get(run.id) or paths.get(run.path, run.workspace)
        crossed += run.foreign or owner != run.workspace
    return crossed


def _latencies(calls):
    """Return percentiles of the answered calls' latencies by service."""
    by_service = defaultdict(list)
    for call in calls:
        if call.told is Told.ANSWERED:
            by_service[call.service].append(call.latency_ms)
    return {
        service: {
            f"p{percent}": _percentile(values, percent) for percent in PERCENTILES
        }
        for service, values in sorted(by_service.items())
    }


def _percentile(values, percent):
    """Return the nearest-rank percentile, rounded to a tenth."""
    ordered = sorted(values)
    rank = -(-len(ordered) * percent // 100)
    return round(ordered[max(rank, 1) - 1], 1)
