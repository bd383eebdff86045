"""What a check of a promise reports."""

from typing import NamedTuple


class Violation(NamedTuple):
    """A broken promise.

    Attributes:
        promise: Which one.
        detail: What was observed.
    """

    promise: str
    detail: str
