"""Health checks of targets: a silent one is probed, and closed until it answers.

A target's report on its own health isn't trusted: only an answer reopens it, and
one that answers the check but fails its requests stays closed longer each time.
"""

from typing import NamedTuple

from ._actions import AskIdentity
from ._exchanges import host_name

CHECK_INTERVAL_MS = 500
SILENCE_BEFORE_CHECK_MS = 1_000
MAX_UNANSWERED_CHECKS = 3


class HealthTimer(NamedTuple):
    """Timer: check whether a target with pending work still answers."""

    address: str


def schedule_health_check(address, context):
    """Schedule the next health check of a target."""
    context.state.timers.add(context.now_ms + CHECK_INTERVAL_MS, HealthTimer(address))


def check_health(timer: HealthTimer, context):
    """Probe a silent target with pending work; close it if it stays silent."""
    target = context.state.targets.get(timer.address)
    if target is None:
        return
    schedule_health_check(timer.address, context)
    expects_answer = target.in_flight or target.lines or target.unreachable
    if (
        not expects_answer
        or context.now_ms - target.last_received_ms < SILENCE_BEFORE_CHECK_MS
    ):
        return
    target.unanswered_checks += 1
    if target.unanswered_checks > MAX_UNANSWERED_CHECKS and not target.unreachable:
        _close(target, context)
    host = host_name(context.state, target.service)
    context.act(AskIdentity(target.address, host))


def _close(target, context):
    target.unreachable = True
    context.count("target.unreachable")
    context.log("WARNING", "target unreachable", target=target.name)
    subjects = (target.address, target.name)
    context.note(subjects, "target closed", "it answers nothing, not even its identity")


def record_receipt(target, context):
    """Record that a target has sent anything; reopen it if it was unreachable."""
    target.last_received_ms = context.now_ms
    target.unanswered_checks = 0
    if not target.unreachable:
        return
    target.unreachable = False
    context.log("INFO", "target reachable again", target=target.name)
    context.note((target.address, target.name), "target reopened", "it answers again")
