"""How long lines were silent, and which fault each silence belongs to."""

from itertools import pairwise
from typing import NamedTuple

from lagoontally_caller.protocol import ANSWER_TIMEOUT_S

from ._audit import LedgerRun, LineRecord, Told
from ._faults import Drain
from ._load import RENEW_S, SILENCE_S

# Time from one notification of a line to the next, and some for its way.
NOTIFY_S = 1.5
# A line is whole again within one renewal: it is due, answered and notified.
ONE_RENEWAL_S = RENEW_S + ANSWER_TIMEOUT_S + NOTIFY_S
LATE_ON_LEAVING_S = 5.0
# A call that was under way when a fault began belongs to that fault.
IN_FLIGHT_S = 0.1


class Timed(NamedTuple):
    """A fault that was made.

    Attributes:
        kind: Its kind.
        target: What it was made upon.
        planned: Whether no line may break by it.
        from_s: When it began, on the monotonic clock.
        until_s: When it was undone.
    """

    kind: str
    target: str
    planned: bool
    from_s: float
    until_s: float


class Silence(NamedTuple):
    """A time in which a line wasn't heard."""

    path: str
    from_s: float
    length_s: float


def silences(lines: tuple[LineRecord, ...], *, end_s: float) -> list[Silence]:
    """Return the silences of lines that are longer than usual.

    Args:
        lines: What callers heard.
        end_s: When the lines were closed.

    Returns:
        The silences, in the order of their beginning.
    """
    found = []
    for line in lines:
        for before_s, after_s in pairwise((*line.heard_s, end_s)):
            if after_s - before_s > NOTIFY_S:
                found.append(Silence(line.path, before_s, after_s - before_s))
    return sorted(found, key=lambda silence: silence.from_s)


def cause(silence: Silence, faults: list[Timed]) -> Timed | None:
    """Return the latest fault that had begun when a silence could be noticed."""
    begun = [f for f in faults if f.from_s <= silence.from_s + NOTIFY_S]
    return begun[-1] if begun else None


def allowed_s(fault: Timed | None) -> float:
    """Return the longest silence that a fault may cause."""
    return SILENCE_S if fault is None or fault.planned else ONE_RENEWAL_S


def timeline(faults, calls, lines, *, began_s, end_s) -> list[dict]:
    """Return each fault with what callers noticed of it, ready for JSON.

    Args:
        faults: The faults made, in order.
        calls: The calls of all callers.
        lines: The lines of all callers.
        began_s: When the load began, on the monotonic clock.
        end_s: When the lines were closed.
    """
    quiet = silences(lines, end_s=end_s)
    entries = []
    for number, fault in enumerate(faults):
        after = faults[number + 1 :]
        next_s = after[0].from_s if after else end_s
        own = [s for s in quiet if cause(s, faults) is fault]
        during = [c for c in calls if fault.from_s <= c.began_s + IN_FLIGHT_S < next_s]
        missed = [c for c in during if c.told is not Told.ANSWERED]
        entries.append(
            {
                "kind": fault.kind,
                "target": fault.target,
                "at_s": round(fault.from_s - began_s, 1),
                "held_s": round(fault.until_s - fault.from_s, 1),
                "calls": len(during),
                "refused": sum(c.told is Told.REFUSED for c in missed),
                "unknown": sum(c.told is Told.UNKNOWN for c in missed),
                "failed": sum(c.told is Told.FAILED for c in missed),
                "slowest_ms": round(max((c.latency_ms for c in during), default=0)),
                "lines_silent": len({s.path for s in own}),
                "longest_silence_s": round(
                    max((s.length_s for s in own), default=0), 1
                ),
                "silence_allowed_s": allowed_s(fault),
            }
        )
    return entries


def too_long(faults, lines, *, end_s) -> list[str]:
    """Describe the silences that no fault may cause."""
    found = []
    for silence in silences(lines, end_s=end_s):
        fault = cause(silence, faults)
        if silence.length_s > allowed_s(fault):
            kind = fault.kind if fault else "no fault"
            found.append(
                f"{silence.path} silent for {silence.length_s:.1f} s by {kind}"
            )
    return found


def late_on_leaving(runs: tuple[LedgerRun, ...], drains: list[Drain]) -> int:
    """Count the runs that began on a leaving target after the time for it."""
    return sum(
        drain.target == run.target
        and drain.from_s + LATE_ON_LEAVING_S < run.time < drain.until_s
        for run in runs
        for drain in drains
    )
