"""What a balancer tells its reader about load.

Covers slow targets among many balancers: each sees too few answers to judge by.
"""

from ._load_messages import LoadReport

REPORT_INTERVAL_MS = 200
REPORT_INTERVAL_PER_MEMBER_MS = 10  # a reader gets at most 100 reports a second
MAX_ANSWERS = 32  # a longer report may exceed the size of a datagram
MAX_SERVICES = 12


class AnswerLog:
    """New flows and answers since the last report."""

    def __init__(self):
        self._arrivals = {}
        self._answers = []
        self._next_ms = 0

    def on_arrival(self, service, *, refused=False):
        """Record a caller's SYN, and whether it was refused for lack of room."""
        if len(self._arrivals) < MAX_SERVICES or service in self._arrivals:
            counts = self._arrivals.setdefault(service, [0, 0])
            counts[refused] += 1

    def on_answer(self, answer, *, refused):
        """Record an ``Answer``.

        Args:
            answer: The ``Answer``.
            refused: Whether it is as short as a refusal, which says nothing about how
                long the target takes.
        """
        if not refused and len(self._answers) < MAX_ANSWERS:
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
        self._next_ms = now_ms + report_interval_ms(members)
        if not (self._arrivals or self._answers or flows):
            return None
        answers = self._answers[: MAX_ANSWERS - len(flows)]
        arrivals = [(service, *counts) for service, counts in self._arrivals.items()]
        report = LoadReport(arrivals, answers, list(flows))
        self._arrivals, self._answers = {}, []
        return report


def report_interval_ms(members):
    """Return the time between the reports of one of so many balancers."""
    return max(REPORT_INTERVAL_MS, REPORT_INTERVAL_PER_MEMBER_MS * members)
