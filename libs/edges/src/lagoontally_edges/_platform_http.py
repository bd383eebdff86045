"""Bounded HTTP reads of the platform."""

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
    """A body that was read whole."""

    body: bytes


class Unchanged(NamedTuple):
    """The time of a waiting read is up and nothing has changed."""


class Unavailable(NamedTuple):
    """A read that failed.

    Attributes:
        reason: Why.
        interrupted: True when the answer had begun.
    """

    reason: str
    interrupted: bool = False


def read_document(session, url, *, params=None, wait_s=0):
    """Read a document, at most ``MAX_BODY_BYTES`` of it.

    Args:
        session: A ``requests.Session``.
        url: The whole URL without its query.
        params: The query.
        wait_s: How long the platform may hold the answer back.

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
    # Each read of the socket has its own timeout, so the whole needs another.
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
