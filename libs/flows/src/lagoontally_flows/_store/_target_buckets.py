"""Finds the targets in which two balancers differ without sending all of them.

Covers a reader's traffic in large data centres: a member that has missed a change, or
has started, needs only what differs. What is compared is the targets themselves, so
neither eras nor older copies of the store matter.
"""

from binascii import crc32

from .. import _digest

BUCKETS = 256  # their digests fit into a request


def bucket_digests(targets):
    """Return the digest of the targets in each bucket.

    Args:
        targets: ``Target`` by key; the key decides on the bucket.
    """
    buckets = [{} for _ in range(BUCKETS)]
    for key, target in targets.items():
        buckets[_bucket(key)][key] = target
    return [_digest.digest(bucket) for bucket in buckets]


def differing(own, others):
    """Return the buckets whose digests differ."""
    return {bucket for bucket in range(BUCKETS) if own[bucket] != others[bucket]}


def in_buckets(targets, buckets):
    """Return those of some targets by key that are in some buckets."""
    return {key: one for key, one in targets.items() if _bucket(key) in buckets}


def replace_buckets(targets, buckets, others, digest):
    """Return targets with the content of some buckets replaced.

    Args:
        targets: ``Target`` by key.
        buckets: The buckets to replace.
        others: Their content, ``Target`` by key.
        digest: Digest of all targets after that.

    Returns:
        ``Target`` by key, or None if they don't have the digest.
    """
    kept = {key: one for key, one in targets.items() if _bucket(key) not in buckets}
    result = kept | others
    return result if _digest.digest(result) == digest else None


def _bucket(key):
    return crc32(key.encode()) % BUCKETS
