"""The platform of the edge model: its documents, and a platform edge in a snapshot."""

import json
from typing import Any, NamedTuple

from lagoontally_edges import PlatformEdge

from ._small_fleet import document

PLAIN_TYPES = (int, bool, bytes)
# These only decide when the next read is made.
TIMING_ATTRIBUTES = ("failures", "listed_count")
OTHER_TIME = "2026-12-03T22:00:00Z"


class PublishedDocument(NamedTuple):
    """A document that was published.

    Attributes:
        version: Its version.
        body: The encoded document.
        faulty: True when it must be rejected.
    """

    version: int
    body: bytes
    faulty: bool = False

    def describe(self):
        """Return its description in a trace."""
        if self.faulty:
            return f"a faulty version {self.version}"
        other = OTHER_TIME.encode() in self.body
        return f"{'another' if other else 'a valid'} version {self.version}"


class AnsweredWatch(NamedTuple):
    """The outcome of a watch that its edge hasn't handled."""

    outcome: Any


class NoDelay:
    """A source of delays of no length; the model orders the moves itself."""

    def uniform(self, _low, _high):
        """Return 0."""
        return 0.0


class RequestRecorder:
    """An HTTP session that only records the parameters of the last request."""

    def __init__(self):
        self.params = None

    def get(self, _url, *, params=None, **_options):
        """Record the request and fail."""
        self.params = params
        raise OSError("the request is only recorded")


def valid_document(version):
    """Return a document that is accepted."""
    return PublishedDocument(version, document(version))


def faulty_document(version):
    """Return a document that names its version and is rejected."""
    return PublishedDocument(version, json.dumps({"version": version}).encode(), True)


def conflicting_document(version):
    """Return an acceptable document whose content differs at the same version."""
    content = json.loads(document(version)) | {"published_at": OTHER_TIME}
    return PublishedDocument(version, json.dumps(content).encode())


def save_edge(edge):
    """Return the attributes that determine an edge's reads and events."""
    return tuple(
        (name, value)
        for name, value in sorted(vars(edge).items())
        if type(value) in PLAIN_TYPES and name not in TIMING_ATTRIBUTES
    )


def restore_edge(attributes):
    """Return an edge with saved attributes and the list that takes its events."""
    events = []
    edge = PlatformEdge(url="", workspace="", post=events.append, random=NoDelay())
    vars(edge).update(attributes)
    return edge, events


def watched_version(edge):
    """Return the version that the edge's next watch names, None for none."""
    session = RequestRecorder()
    edge.watch_once(session)
    params = session.params
    return None if params is None else str(params["after"])
