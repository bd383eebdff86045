"""Reads the template that another one is compared with."""

from pathlib import Path
from typing import NamedTuple
from urllib.parse import urlsplit

import requests

READ_TIMEOUT_S = 5
TEMPLATE_PATH = "/v1/template"


class NotRead(NamedTuple):
    """No template could be read; ``reason`` says why."""

    reason: str


class NotPublished(NamedTuple):
    """The platform answers, but no template is published yet."""

    reason: str


def read_published(place: str) -> bytes | NotRead | NotPublished:
    """Read a template document from a file or from the platform.

    Args:
        place: Path of a file, or URL of the platform or of a document.

    Returns:
        The document, or why there is none.
    """
    if not place.startswith(("http://", "https://")):
        return read_file(place)
    try:
        answer = read_url(template_url(place))
    except requests.Timeout:
        return NotRead(f"no answer from {place} within {READ_TIMEOUT_S} s")
    except requests.ConnectionError:
        return NotRead(f"no connection to {place}")
    except (requests.RequestException, ValueError) as error:
        return NotRead(f"{place} can't be read: {error}")
    if answer.status_code == requests.codes.not_found:
        return NotPublished(f"no template is published at {place}")
    if answer.status_code != requests.codes.ok:
        return NotRead(f"{place} answered {answer.status_code}")
    return answer.content


def read_url(url: str) -> requests.Response:
    """Read from the platform itself, past any proxy of the environment."""
    with requests.Session() as session:
        session.trust_env = False
        return session.get(url, timeout=READ_TIMEOUT_S)


def read_file(path: str) -> bytes | NotRead:
    """Read a document from a file."""
    try:
        return Path(path).read_bytes()
    except (OSError, ValueError) as error:
        return NotRead(f"{path} can't be read: {error}")


def template_url(url: str) -> str:
    """Return the URL of the document; a platform's URL has no path."""
    if urlsplit(url).path in ("", "/"):
        return url.rstrip("/") + TEMPLATE_PATH
    return url
