"""Health of targets: a silent one is asked, and closed until it answers.

A target's word on its own health isn't trusted: only an answer reopens it, and
one that answers the question but fails its requests stays closed longer each
time.
"""

from typing import NamedTuple

from ._actions import AskIdentity
from ._exchanges import host_name

CHECK_MS = 500
SILENT_MS = 1_000
MISSES_TO_CLOSE = 3


class HealthTimer(NamedTuple):
    """Timer: see whether a target that owes answers is still there."""

    address: str


def arm_health(address, turn):
    """Begin to watch a target."""
    turn.state.timers.add(turn.now_ms + CHECK_MS, HealthTimer(address))


def check_health(timer: HealthTimer, turn):
    """Ask a target that owes answers and is silent; close it when it stays so."""
    target = turn.state.targets.get(timer.address)
    if target is None:
        return
    arm_health(timer.address, turn)
    owes = target.in_flight or target.lines or target.unreachable
    if not owes or turn.now_ms - target.heard_ms < SILENT_MS:
        return
    target.misses += 1
    if target.misses > MISSES_TO_CLOSE and not target.unreachable:
        _close(target, turn)
    host = host_name(turn.state, target.service)
    turn.act(AskIdentity(target.address, host))


def _close(target, turn):
    target.unreachable = True
    turn.count("target.unreachable")
    turn.log("WARNING", "target unreachable", target=target.name)
    subjects = (target.address, target.name)
    turn.note(subjects, "target closed", "it answers nothing, not even its identity")


def note_heard(target, turn):
    """Note that a target has answered anything at all."""
    target.heard_ms = turn.now_ms
    target.misses = 0
    if not target.unreachable:
        return
    target.unreachable = False
    turn.log("INFO", "target reachable again", target=target.name)
    turn.note((target.address, target.name), "target reopened", "it answers again")
