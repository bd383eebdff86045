"""How many requests a data centre's balancers have in hand at one target at most.

Covers loads beyond what targets can serve, where queues are deeper than callers want
to wait. By Little's law, a target that serves so many requests a second holds that
many times the wait. A limit on requests in hand, rather than on their rate, corrects
itself: each answer makes room for the next request, so an error in the limit changes
the wait and doesn't build up a queue.
"""

from lagoontally_lean import Record

WAIT_SHARE = 0.5  # of the time between the usual answer and the objective
QUEUED_PER_SLOT = 1.5  # requests in hand for each slot of a crowded target
MIN_ANSWERS = 3  # fewer answers don't show how long callers wait
CUT_EXPONENT, GROWTH_EXPONENT = 0.5, 0.2  # of the longest wait over the present one
MIN_RATIO, MAX_RATIO = 0.5, 1.4
MAX_IN_HAND = 4.0  # relative to what a target holds at the longest wait


class TargetLoad(Record, fields="slots answers wait_ms per_s work_ms is_local"):
    """What the balancers of a data centre saw of a target lately.

    Attributes:
        slots: Its slots.
        answers: Number of answers that took work.
        wait_ms: Their mean time, 0 without any.
        per_s: Answers a second.
        work_ms: Time of an answer to a request that doesn't wait for a slot.
        is_local: Whether it is in the data centre of these balancers.
    """

    __slots__ = ()

    @property
    def is_known(self):
        """Whether enough answers tell the wait."""
        return self.answers >= MIN_ANSWERS

    def is_crowded(self, longest_ms):
        """Return whether callers wait too long for its slots.

        A local target whose slots have few requests in hand takes long for other
        reasons. Of one elsewhere, other balancers have requests in hand, too.

        Args:
            longest_ms: Mean time beyond which callers wait too long.
        """
        in_hand = in_hand_at(self.per_s, self.wait_ms)
        has_queue = not self.is_local or in_hand >= QUEUED_PER_SLOT * self.slots
        return self.wait_ms > longest_ms and has_queue


class TargetLimit:
    """The limit of one target.

    Args:
        in_hand: Requests to begin with.

    Attributes:
        in_hand: Most requests that the balancers have in hand together.
    """

    __slots__ = ("in_hand", "_hold_until_ms")

    def __init__(self, in_hand):
        self.in_hand = in_hand
        self._hold_until_ms = 0

    def update(self, load, *, longest_ms, least, now_ms):
        """Adjust the limit.

        Args:
            load: The ``TargetLoad``.
            longest_ms: Mean time beyond which callers wait too long.
            least: Requests in hand that make nobody wait for a slot.
            now_ms: Current time.
        """
        if not load.is_known:
            self.in_hand = least
            return
        ratio = min(MAX_RATIO, max(MIN_RATIO, longest_ms / max(1.0, load.wait_ms)))
        if ratio >= 1.0:
            ratio **= GROWTH_EXPONENT
        elif now_ms < self._hold_until_ms:
            return  # these answers belong to requests sent before the last cut
        else:
            ratio **= CUT_EXPONENT
            self._hold_until_ms = now_ms + load.wait_ms
        held = max(least, in_hand_at(load.per_s, longest_ms))
        self.in_hand = min(MAX_IN_HAND * held, max(held, self.in_hand * ratio))


def in_hand_at(per_s, wait_ms):
    """Return the requests that a target holds, by Little's law.

    Args:
        per_s: Requests that it serves in a second.
        wait_ms: Mean time from a request to its answer.
    """
    return per_s * wait_ms / 1_000


def longest_wait_ms(work_ms, objective_ms):
    """Return the mean time that leaves most answers within the objective.

    Args:
        work_ms: Time of an answer to a request that doesn't wait for a slot.
        objective_ms: Time in which callers want theirs.

    Returns:
        ``work_ms`` if that exceeds the objective: then slots are kept busy, and no
        request waits for one.
    """
    return work_ms + WAIT_SHARE * max(0, objective_ms - work_ms)
