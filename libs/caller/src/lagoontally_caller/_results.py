"""Results of a request."""

from typing import NamedTuple


class Answered(NamedTuple):
    """The request was run; this is its response.

    Attributes:
        code: The response code, such as ``2.04``.
        body: The payload, reassembled if it came in several blocks.
    """

    code: str
    body: bytes


class NotRun(NamedTuple):
    """The request was not run and will not be.

    Attributes:
        retry_after_s: How long to wait before a retry.
        reason: Why it was not run.
    """

    retry_after_s: float
    reason: str


class Unknown(NamedTuple):
    """It isn't known whether the request was run.

    Attributes:
        reason: Why it isn't known.
    """

    reason: str


class Failed(NamedTuple):
    """The request was rejected, and a retry would be rejected too.

    Attributes:
        code: The response code, such as ``4.04``; empty if the caller library
            found the error.
        reason: Why it was rejected.
    """

    code: str
    reason: str


Result = Answered | NotRun | Unknown | Failed
