"""When the store, balancers and targets were disturbed."""

from typing import NamedTuple

STORE = "store"  # for all balancers: down, slow or restored
STORE_PARTLY = "store, partly"  # rejects some balancers, or has lost its history
STORE_SUBJECTS = (STORE, STORE_PARTLY)


class Disturbance(NamedTuple):
    """An interval in which a fault disturbed a component.

    Attributes:
        subject: One of ``STORE_SUBJECTS``, a balancer's name or a target's id.
        start: When it began.
        end: When it ended.
    """

    subject: str
    start: float
    end: float


class Disturbances:
    """Every ``Disturbance`` of a run.

    Attributes:
        items: The ``Disturbance`` records so far.
    """

    def __init__(self):
        self.items = []

    def record(self, subject, start, end):
        """Record a disturbance, which may end in the future."""
        self.items.append(Disturbance(subject, start, end))

    def any_between(self, subjects, start, end):
        """Return whether any of the subjects was disturbed between two times."""
        return any(
            item.subject in subjects and item.start <= end and item.end >= start
            for item in self.items
        )

    def any_began(self, subjects, start, end):
        """Return whether a disturbance of a subject began between two times."""
        return any(
            item.subject in subjects and start <= item.start <= end
            for item in self.items
        )

    def end(self, subjects, now):
        """End the disturbances of some subjects."""
        self.items = [
            item._replace(end=min(item.end, now)) if item.subject in subjects else item
            for item in self.items
        ]
