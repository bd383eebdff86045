"""Finds the targets in which two balancers differ without sending all of them.

Covers a reader's traffic in large data centres: a member that has missed a change, or
has started, needs only what differs. What is compared is the targets themselves, so
neither eras nor older copies of the store matter.
"""

from binascii import crc32

from .. import _digest

BUCKETS = 256  # their digests fit into a request


class BucketDigests:
    """The digests of the buckets of a list of targets.

    Only those of targets that have changed since the call before are computed.
    """

    def __init__(self):
        self._known = {}

    def of(self, targets):
        """Return the digest of the targets in each bucket.

        Args:
            targets: ``Target`` by key; the key decides on the bucket.
        """
        before, self._known, sums = self._known, {}, [0] * BUCKETS
        for key, target in targets.items():
            known = before.get(key)
            if known is None or known[0] is not target:
                known = (target, _bucket(key), _digest.digest({key: target}))
            self._known[key] = known
            sums[known[1]] += known[2]
        return [_digest.total((one,)) for one in sums]


def differing(own, others):
    """Return the buckets whose digests differ."""
    return {bucket for bucket in range(BUCKETS) if own[bucket] != others[bucket]}


def in_buckets(targets, buckets):
    """Return those of some targets by key that are in some buckets."""
    return {key: one for key, one in targets.items() if _bucket(key) in buckets}


def replace_buckets(targets, digests, buckets, others, digest):
    """Return targets with the content of some buckets replaced.

    Args:
        targets: ``Target`` by key.
        digests: Digests of their buckets.
        buckets: The buckets to replace.
        others: Their content, ``Target`` by key.
        digest: Digest of all targets after that.

    Returns:
        ``Target`` by key, or None if they don't have the digest.
    """
    kept = [one for bucket, one in enumerate(digests) if bucket not in buckets]
    if _digest.total([*kept, _digest.digest(others)]) != digest:
        return None
    unchanged = {
        key: one for key, one in targets.items() if _bucket(key) not in buckets
    }
    return unchanged | others


def _bucket(key):
    return crc32(key.encode()) % BUCKETS
