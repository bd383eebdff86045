"""What a balancer tells its reader about load.

Covers slow targets among many balancers: each sees too few answers to judge by.
"""

from ._load_messages import LoadReport

REPORT_INTERVAL_MS = 500
REPORT_INTERVAL_PER_MEMBER_MS = 10  # a reader gets at most 100 reports a second
MAX_ANSWERS = 40  # fit a datagram; more say nothing new about the targets
MAX_SERVICES = 12


class AnswerLog:
    """New flows and answers since the last report."""

    def __init__(self):
        self._arrivals = {}
        self._answers = []
        self._next_ms = 0

    def on_arrival(self, service):
        """Record a caller's SYN."""
        if len(self._arrivals) < MAX_SERVICES or service in self._arrivals:
            self._arrivals[service] = self._arrivals.get(service, 0) + 1

    def on_answer(self, answer, _now_ms):
        """Record an ``Answer``."""
        if len(self._answers) < MAX_ANSWERS:
            self._answers.append((answer.cookie, round(answer.waited_ms)))

    def take_report(self, now_ms, *, members, flows=()):
        """Return the ``LoadReport`` that is due, None if there is none.

        Args:
            now_ms: Current time.
            members: Number of balancers that report to the same reader.
            flows: Pairs of a target's cookie and the flows that it has, of targets
                near their cap.
        """
        if now_ms < self._next_ms:
            return None
        self._next_ms = now_ms + max(
            REPORT_INTERVAL_MS, REPORT_INTERVAL_PER_MEMBER_MS * members
        )
        if not self._arrivals and not self._answers and not flows:
            return None
        answers = self._answers[: MAX_ANSWERS - len(flows)]
        report = LoadReport(list(self._arrivals.items()), answers, list(flows))
        self._arrivals, self._answers = {}, []
        return report
