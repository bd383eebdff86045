"""What a caller is told about a request."""

from typing import NamedTuple


class Answered(NamedTuple):
    """The request was run and this is its whole answer.

    Attributes:
        code: The response code, such as ``2.04``.
        body: The payload; all blocks of it where it came in several.
    """

    code: str
    body: bytes


class NotRun(NamedTuple):
    """The request was not run and will not be.

    Attributes:
        retry_after_s: How long to wait before it is worth asking again.
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
    """The request can't be served as it stands.

    Attributes:
        code: The response code, such as ``4.04``; empty where the fault was
            found on the caller's side.
        reason: What is wrong with it.
    """

    code: str
    reason: str


Result = Answered | NotRun | Unknown | Failed
