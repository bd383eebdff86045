"""What a balancer sees of a service's room, by what callers send.

Covers targets that refuse because their slots and queues are full. Their answers
go straight to callers; a refusal shows in what a caller acknowledges: a status line
and a few headers without a body, beside answers that are longer. Only what exceeds
the usual share of short answers counts.
"""

from ._answer_mix import AnswerMix
from ._decaying import DecayingCount

HALF_LIFE_MS = 250
SHORT_HALF_LIFE_MS = 150
MIN_SERVED_SHARE = 0.05  # a service whose answers are all short may serve them all
MIN_ANSWERS = 4  # below it no share and no mean wait is computed
MIN_REFUSED = 3.0
CHANCE_DEVIATIONS = 4.0


class ServiceEvidence:
    """Recent outcomes of the flows that one balancer sent to a service.

    Attributes:
        sent: SYNs sent to targets.
        served: Answers that took work.
        refused: Short answers, as a full target gives them.
        mix: The service's usual ``AnswerMix``.
        waited_ms: Sum of the waits of ``served``.
        since_ms: Answers to requests from before are left out.
        answered_ms: When the latest answer was counted.
    """

    __slots__ = (
        "answered_ms",
        "mix",
        "refused",
        "sent",
        "served",
        "since_ms",
        "waited_ms",
    )

    def __init__(self):
        self.sent = DecayingCount(SHORT_HALF_LIFE_MS)
        self.served = DecayingCount(HALF_LIFE_MS)
        self.refused = DecayingCount(HALF_LIFE_MS)
        self.waited_ms = DecayingCount(HALF_LIFE_MS)
        self.mix = AnswerMix()
        self.since_ms = 0
        self.answered_ms = 0

    def on_answer(self, answer, now_ms, *, limited=False):
        """Count an ``Answer`` and return whether it was as short as a refusal.

        Args:
            answer: The ``Answer``.
            now_ms: Current time.
            limited: Whether flows are shed.
        """
        self.answered_ms = now_ms
        counts = now_ms - answer.waited_ms >= self.since_ms
        short = self.mix.is_short(answer.flow[2:], answer.length)
        if counts and short:
            self.refused.add(now_ms)
        elif counts:
            self.served.add(now_ms)
            self.waited_ms.add(now_ms, answer.waited_ms)
        self.mix.add(short=short, suspect=limited or self.exceeds_usual(now_ms))
        return short

    def inputs(self, now_ms):
        """Return what decisions rest on and how old it is, as fields of a log line."""
        return (
            ("refused_share", round(self.refused_share(now_ms), 3)),
            ("usual_share", round(self.mix.usual_share, 3)),
            ("mean_wait_ms", round(self.mean_wait_ms(now_ms))),
            ("answer_age_ms", now_ms - self.answered_ms),
        )

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

    def served_per_s(self, now_ms):
        """Return the answers a second that aren't refusals."""
        return self.served.rate_per_s(now_ms) / (1.0 - self.mix.usual_share)

    def refused_share(self, now_ms):
        """Return the share of refusals among recent answers, 0 if it isn't known."""
        refused, served = self.refused.value(now_ms), self.served.value(now_ms)
        answers = refused + served
        if answers < MIN_ANSWERS or served < MIN_SERVED_SHARE * answers:
            return 0.0
        usual = self.mix.usual_share
        return max(0.0, (refused / answers - usual) / (1.0 - usual))

    def exceeds_usual(self, now_ms):
        """Return whether recent answers are short more often than by chance."""
        refused = self.refused.value(now_ms)
        answers = refused + self.served.value(now_ms)
        if self.mix.may_be_full:
            return refused >= MIN_REFUSED
        usual = self.mix.most_usual
        deviation = (usual * (1.0 - usual) * answers) ** 0.5
        most = usual * answers + CHANCE_DEVIATIONS * deviation
        return refused >= max(MIN_REFUSED, most)
