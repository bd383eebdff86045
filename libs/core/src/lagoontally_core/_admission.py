"""Admission: which requests a dispatcher places, and which are refused at once.

Commands may wait deeper than other requests, so that these never fill what a
command needs. While requests wait, no caller holds more than its share of what
may wait, so that one caller's storm doesn't delay the others.
"""

from typing import NamedTuple

from ._events import RequestKind

MIN_CALLER_SHARE = 2
MIN_RETRY_S = 1
RETRY_JITTER_S = 4
NOT_REFUSED = ""


class Limits(NamedTuple):
    """How many placed requests a service may have.

    Attributes:
        read_depth: For each slot, before reads are refused.
        command_depth: For each slot, before commands are refused.
        by_caller: True when no caller may hold more than its share.
    """

    read_depth: int = 3
    command_depth: int = 6
    by_caller: bool = True


def refusal_reason(table, usable, ask):
    """Return why a request isn't placed now; empty when it is.

    Args:
        table: The dispatcher's ``DispatchTable``.
        usable: The targets that may get it.
        ask: The ``PlaceAsk``.
    """
    slots = sum(target.slots for target in usable)
    placed = table.totals.get(ask.service, 0)
    if placed < slots or ask.tried:
        # What was placed before is limited by the retry budget alone.
        return NOT_REFUSED
    limits = table.limits
    command = ask.kind != RequestKind.IDEMPOTENT
    depth = limits.command_depth if command else limits.read_depth
    if placed >= slots * depth:
        return "the service is full"
    if not limits.by_caller:
        return NOT_REFUSED
    callers = table.callers.get(ask.service, {})
    share = max(MIN_CALLER_SHARE, slots * limits.read_depth // (len(callers) + 1))
    if callers.get(ask.caller, 0) >= share:
        return "the caller has its share"
    return NOT_REFUSED


def random_retry_s(random):
    """Return when a refused caller may come back, not all at the same time."""
    return MIN_RETRY_S + random.randrange(RETRY_JITTER_S)
