"""HTTP reads of the platform, bounded in size and time."""

import time
from typing import NamedTuple

import requests

MAX_BODY_BYTES = 1_000_000
CHUNK_BYTES = 1 << 16
CONNECT_TIMEOUT_S = 2
READ_TIMEOUT_S = 5
OK = 200
NO_CONTENT = 204


class Document(NamedTuple):
    """A complete response body."""

    body: bytes


class Unchanged(NamedTuple):
    """The wait time of a long poll expired without a change."""


class Unavailable(NamedTuple):
    """A read that failed.

    Attributes:
        reason: Why the read failed.
        interrupted: True if the failure came after the start of the response.
    """

    reason: str
    interrupted: bool = False


def read_document(session, url, *, params=None, wait_s=0):
    """Read a document, at most ``MAX_BODY_BYTES`` of it.

    Args:
        session: A ``requests.Session``.
        url: The URL without its query.
        params: The query parameters.
        wait_s: How long the platform may delay the response.

    Returns:
        ``Document``, ``Unchanged`` or ``Unavailable``.
    """
    try:
        answer = session.get(
            url,
            params=params,
            timeout=(CONNECT_TIMEOUT_S, wait_s + READ_TIMEOUT_S),
            stream=True,
            allow_redirects=False,
        )
    except (requests.RequestException, ValueError, OSError) as error:
        return Unavailable(type(error).__name__)
    with answer:
        if answer.status_code == NO_CONTENT:
            return Unchanged()
        if answer.status_code != OK:
            return Unavailable(f"status {answer.status_code}")
        return _read_body(answer)


def _read_body(answer):
    # The timeout of ``requests`` applies to each read of the socket, not to the
    # whole body.
    deadline_s = time.monotonic() + READ_TIMEOUT_S
    body = bytearray()
    try:
        for chunk in answer.iter_content(CHUNK_BYTES):
            body += chunk
            if len(body) > MAX_BODY_BYTES:
                return Unavailable(f"the body is larger than {MAX_BODY_BYTES} bytes")
            if time.monotonic() > deadline_s:
                return Unavailable("the body took too long", interrupted=True)
    except (requests.RequestException, ValueError, OSError) as error:
        return Unavailable(type(error).__name__, interrupted=True)
    return Document(bytes(body))
