"""Admission control: which requests a dispatcher places or refuses.

Commands have a higher queue limit than other requests, so that these never take
all the queue. While requests wait, no caller holds more than its share of the
queue, so that a burst from one caller doesn't delay the others.
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
        read_depth: Requests per slot at which reads are refused.
        command_depth: Requests per slot at which commands are refused.
        by_caller: True when no caller may hold more than its share.
    """

    read_depth: int = 3
    command_depth: int = 6
    by_caller: bool = True


def refusal_reason(table, usable, ask):
    """Return why a request is refused; empty when it is admitted.

    Args:
        table: The dispatcher's ``DispatchTable``.
        usable: The targets that it may be sent to.
        ask: The ``PlaceAsk``.
    """
    slots = sum(target.slots for target in usable)
    placed = table.totals.get(ask.service, 0)
    if placed < slots or ask.tried:
        # Retries are limited by the retry budget alone.
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
    """Return a random retry delay, so that refused callers don't retry at once."""
    return MIN_RETRY_S + random.randrange(RETRY_JITTER_S)
