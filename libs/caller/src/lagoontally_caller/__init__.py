"""Client library for callers: commands, stores, fetches and lines."""

from ._caller import Caller, Line
from ._codec import TIME_LEFT_OPTION
from ._line import LineStatus, Notification
from ._results import Answered, Failed, NotRun, Result, Unknown

__all__ = [
    "TIME_LEFT_OPTION",
    "Answered",
    "Caller",
    "Failed",
    "Line",
    "LineStatus",
    "NotRun",
    "Notification",
    "Result",
    "Unknown",
]
