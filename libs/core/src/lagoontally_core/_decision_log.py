"""The latest decisions with their reasons, for operators to look up."""

from collections import deque
from typing import NamedTuple

MAX_DECISIONS = 4096


class Decision(NamedTuple):
    """One decision.

    Attributes:
        at_ms: When it was taken, on the balancer's monotonic clock.
        subjects: Flow, token or target that it is about, as text.
        what: What was decided.
        why: The reason.
    """

    at_ms: int
    subjects: tuple[str, ...]
    what: str
    why: str


class DecisionLog:
    """A bounded ring of decisions.

    Attributes:
        entries: The decisions, oldest first.
    """

    def __init__(self, size=MAX_DECISIONS):
        self.entries = deque(maxlen=size)

    def note(self, at_ms, subjects, what, why):
        """Keep a decision."""
        self.entries.append(Decision(at_ms, subjects, what, why))

    def about(self, subject):
        """Return the decisions of which a subject contains ``subject``."""
        return [
            entry
            for entry in self.entries
            if any(subject in name for name in entry.subjects)
        ]
