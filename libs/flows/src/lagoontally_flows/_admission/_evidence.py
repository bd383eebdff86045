"""What a balancer sees of a service's room, by what callers send.

Covers targets that refuse because their slots and queues are full. Their answers
go straight to callers; a refusal shows in what a caller acknowledges: a status line
and a few headers without a body, beside answers that are longer.
"""

from ._decaying import DecayingCount

HALF_LIFE_MS = 250
SHORT_HALF_LIFE_MS = 150
MAX_REFUSAL_BYTES = 180  # headers of a success alone are longer
MIN_SERVED_SHARE = 0.05  # a service whose answers are all short may serve them all
MIN_ANSWERS = 4  # fewer say nothing of a service


class ServiceEvidence:
    """Recent outcomes of the flows that one balancer sent to a service.

    Attributes:
        sent: SYNs sent to targets.
        served: Answers that took work.
        refused: Answers that a full target gave instead.
        waited_ms: Sum of the waits of ``served``.
        since_ms: Answers to requests from before are left out.
    """

    __slots__ = ("refused", "sent", "served", "since_ms", "waited_ms")

    def __init__(self):
        self.sent = DecayingCount(SHORT_HALF_LIFE_MS)
        self.served = DecayingCount(HALF_LIFE_MS)
        self.refused = DecayingCount(HALF_LIFE_MS)
        self.waited_ms = DecayingCount(HALF_LIFE_MS)
        self.since_ms = 0

    def on_answer(self, answer, now_ms):
        """Count an ``Answer`` and return whether it was a refusal.

        Short answers count as refusals only beside longer ones.
        """
        counts = now_ms - answer.waited_ms >= self.since_ms
        if 0 < answer.length <= MAX_REFUSAL_BYTES:
            if counts:
                self.refused.add(now_ms)
            return not counts or self.refused_share(now_ms) > 0.0
        if not counts:
            return False
        self.served.add(now_ms)
        self.waited_ms.add(now_ms, answer.waited_ms)
        return False

    def forget_answers(self, now_ms):
        """Judge by the answers to requests from now on."""
        self.since_ms = now_ms
        for one in (self.served, self.refused, self.waited_ms):
            one.clear()

    def mean_wait_ms(self, now_ms):
        """Return how long served answers took, 0 where too few are known."""
        served = self.served.value(now_ms)
        if served < MIN_ANSWERS:
            return 0.0
        return self.waited_ms.value(now_ms) / served

    def refused_share(self, now_ms):
        """Return the share of refusals among recent answers, 0 if it isn't known."""
        refused, served = self.refused.value(now_ms), self.served.value(now_ms)
        answers = refused + served
        if answers < MIN_ANSWERS or served < MIN_SERVED_SHARE * answers:
            return 0.0
        return refused / answers
