"""Targets that a balancer fetches from a peer: all, or those that differ."""

from lagoontally_flows import (
    BUCKETS,
    BucketDigests,
    differing,
    in_buckets,
    replace_buckets,
)

from ._http_client import HttpFailure
from ._view_document import decode_targets, encode_targets

TARGETS_PATH = "/targets"
KNOWN_QUERY = "?known="
DIGEST_DIGITS = 8  # hexadecimal


class TargetsServer:
    """Answers peers that fetch targets.

    Args:
        view: The ``View``.
        warm_ups: The ``WarmUps``.
    """

    def __init__(self, view, warm_ups):
        self.view = view
        self.warm_ups = warm_ups
        self._digests = BucketDigests()

    def document(self, path, position, now_ms):
        """Return the document for a path, None if it isn't one of targets.

        Args:
            path: Path and query of the request.
            position: ``Position`` of the targets here.
            now_ms: Current time.
        """
        path, _, query = path.partition(KNOWN_QUERY)
        if path != TARGETS_PATH:
            return None
        targets, options = self.view.targets, {}
        known = _decode_digests(query)
        if known is not None:
            buckets = differing(self._digests.of(targets), known)
            targets = in_buckets(targets, buckets)
            options = {"buckets": sorted(buckets), "digest": self.view.digest}
        left_ms = self.warm_ups.left_by_cookie(targets.values(), now_ms)
        return encode_targets(position, targets, left_ms, **options)


class TargetsRequest:
    """Fetches targets from peers.

    Args:
        view: The ``View``, which lists the targets known here.
    """

    def __init__(self, view):
        self.view = view
        self._digests = BucketDigests()
        self._known = ({}, ())
        self._all_next = False

    def path(self):
        """Return the path of the next request."""
        targets = {} if self._all_next else dict(self.view.targets)
        self._all_next = False
        if not targets:
            return TARGETS_PATH
        digests = self._digests.of(targets)
        self._known = (targets, digests)
        text = "".join(f"{one:0{DIGEST_DIGITS}x}" for one in digests)
        return TARGETS_PATH + KNOWN_QUERY + text

    def decode(self, body):
        """Return the ``TargetsCopy`` with all targets of the peer, None if invalid.

        Those that don't differ are the ones known here when the request was made: this
        view may have changed since.
        """
        copy = decode_targets(body)
        if copy is None or copy.buckets is None:
            return copy
        entries = replace_buckets(*self._known, copy.buckets, copy.entries, copy.digest)
        return None if entries is None else copy._replace(entries=entries)

    def on_failure(self, result):
        """Handle an answer that can't be used: request all targets the next time.

        A peer may run a program that sends only all. One that doesn't answer at all
        may be busy, and isn't asked for more.
        """
        self._all_next = not isinstance(result, HttpFailure)


def _decode_digests(query):
    """Return the digests in a query, None if there are none."""
    if len(query) != BUCKETS * DIGEST_DIGITS:
        return None
    try:
        return [
            int(query[start : start + DIGEST_DIGITS], 16)
            for start in range(0, len(query), DIGEST_DIGITS)
        ]
    except ValueError:
        return None
