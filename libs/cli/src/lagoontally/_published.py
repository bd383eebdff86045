"""Reads the template to compare with, from a file or from the platform."""

from pathlib import Path
from typing import NamedTuple
from urllib.parse import urlsplit

import requests

READ_TIMEOUT_S = 5
TEMPLATE_PATH = "/v1/template"


class ReadFailure(NamedTuple):
    """No template could be read."""

    reason: str


class NotPublished(NamedTuple):
    """The platform answers, but no template is published yet."""

    reason: str


def read_published(location: str) -> bytes | ReadFailure | NotPublished:
    """Read a template document from a file or from the platform.

    Args:
        location: Path of a file, or URL of the platform or of a document.

    Returns:
        The document, or the reason why there is none.
    """
    if not location.startswith(("http://", "https://")):
        return read_file(location)
    try:
        answer = read_url(template_url(location))
    except requests.Timeout:
        return ReadFailure(f"no answer from {location} within {READ_TIMEOUT_S} s")
    except requests.ConnectionError:
        return ReadFailure(f"no connection to {location}")
    except (requests.RequestException, ValueError) as error:
        return ReadFailure(f"{location} can't be read: {error}")
    if answer.status_code == requests.codes.not_found:
        return NotPublished(f"no template is published at {location}")
    if answer.status_code != requests.codes.ok:
        return ReadFailure(f"{location} answered {answer.status_code}")
    return answer.content


def read_url(url: str) -> requests.Response:
    """Read from a URL; proxies set in the environment are ignored."""
    with requests.Session() as session:
        session.trust_env = False
        return session.get(url, timeout=READ_TIMEOUT_S)


def read_file(path: str) -> bytes | ReadFailure:
    """Read a document from a file."""
    try:
        return Path(path).read_bytes()
    except (OSError, ValueError) as error:
        return ReadFailure(f"{path} can't be read: {error}")


def template_url(url: str) -> str:
    """Return the URL of the document; a URL without a path is the platform's."""
    if urlsplit(url).path in ("", "/"):
        return url.rstrip("/") + TEMPLATE_PATH
    return url
