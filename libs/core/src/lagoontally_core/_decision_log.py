"""Log of the latest decisions and their reasons, for operators' queries."""

from collections import deque
from typing import NamedTuple

MAX_DECISIONS = 4096


class Decision(NamedTuple):
    """One decision.

    Attributes:
        at_ms: When it was made, on the balancer's monotonic clock.
        subjects: Flow, token or target that it concerns, as text.
        what: What was decided.
        why: The reason.
    """

    at_ms: int
    subjects: tuple[str, ...]
    what: str
    why: str


class DecisionLog:
    """A ring buffer of decisions.

    Attributes:
        entries: The decisions, oldest first.
    """

    def __init__(self, size=MAX_DECISIONS):
        self.entries = deque(maxlen=size)

    def note(self, at_ms, subjects, what, why):
        """Append a decision."""
        self.entries.append(Decision(at_ms, subjects, what, why))

    def about(self, subject):
        """Return the decisions that have a subject containing ``subject``."""
        return [
            entry
            for entry in self.entries
            if any(subject in name for name in entry.subjects)
        ]
