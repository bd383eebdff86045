"""What a balancer sees of a service's room, by what callers send.

Covers targets that refuse because their slots and queues are full. Their answers
go straight to callers; a refusal shows as a short answer that is acknowledged in
less time than any work takes, while those that are served wait behind a queue.
"""

from ._decaying import DecayingCount

HALF_LIFE_MS = 500
SHORT_HALF_LIFE_MS = 150
MAX_REFUSAL_MS = 9
MAX_REFUSAL_BYTES = 500
MIN_WAIT_RATIO = 3.0  # served answers wait this much longer where queues are full
MIN_ANSWERS = 4  # fewer say nothing of a service


class ServiceEvidence:
    """Recent outcomes of the flows that one balancer sent to a service.

    Attributes:
        sent: SYNs sent to targets.
        served: Answers that took work.
        refused: Answers that a full target gave instead.
        waited_ms: Sum of the waits of ``served``.
        unanswered: SYNs that no target answered.
    """

    __slots__ = ("sent", "served", "refused", "waited_ms", "unanswered")

    def __init__(self):
        self.sent = DecayingCount(SHORT_HALF_LIFE_MS)
        self.served = DecayingCount(HALF_LIFE_MS)
        self.refused = DecayingCount(HALF_LIFE_MS)
        self.waited_ms = DecayingCount(HALF_LIFE_MS)
        self.unanswered = DecayingCount(HALF_LIFE_MS)

    def on_answer(self, answer, now_ms):
        """Count an ``Answer`` and return whether it was a refusal.

        Quick short answers count as refusals only beside answers that waited much
        longer; a service whose answers are all quick and short has room.
        """
        if is_quick_and_short(answer):
            if self.mean_wait_ms(now_ms) >= MIN_WAIT_RATIO * MAX_REFUSAL_MS:
                self.refused.add(now_ms)
                return True
            return False
        self.served.add(now_ms)
        self.waited_ms.add(now_ms, answer.waited_ms)
        return False

    def mean_wait_ms(self, now_ms):
        """Return how long served answers took, 0 where too few are known."""
        served = self.served.value(now_ms)
        if served < 1.0:
            return 0.0
        return self.waited_ms.value(now_ms) / served

    def refused_share(self, now_ms):
        """Return the share of refusals among recent answers, 0 for too few."""
        refused = self.refused.value(now_ms)
        answers = refused + self.served.value(now_ms)
        return refused / answers if answers >= MIN_ANSWERS else 0.0


def is_quick_and_short(answer):
    """Return whether an ``Answer`` looks like that of a full target."""
    return answer.waited_ms <= MAX_REFUSAL_MS and 0 < answer.length <= MAX_REFUSAL_BYTES
