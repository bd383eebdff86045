"""Checksums by which balancers compare what they know without sending it."""

from _blake2 import blake2s  # ``hashlib`` loads OpenSSL at startup

EMPTY = 0
_MASK = 0xFFFFFFFF


def digest(items):
    """Return the digest of a mapping; it doesn't depend on the order of its items.

    Args:
        items: Dictionary whose values are records of numbers, text and tuples.

    Returns:
        32 bits. ``replace`` updates them item by item.
    """
    return sum(_checksum(key, value) for key, value in items.items()) & _MASK


def total(digests):
    """Return the digest of all items of several mappings without a common key.

    Args:
        digests: Digests of the mappings.
    """
    return sum(digests) & _MASK


def replace(current, key, before, after):
    """Return the digest after one item has changed.

    Args:
        current: Digest before.
        key: Key of the item.
        before: Value before, None if the item is new.
        after: Value after, None if the item is removed.
    """
    removed = 0 if before is None else _checksum(key, before)
    added = 0 if after is None else _checksum(key, after)
    return (current - removed + added) & _MASK


def _checksum(key, value):
    # Plain tuples: the representation of records takes ten times as long.
    text = repr((key, tuple(value))).encode()
    return int.from_bytes(blake2s(text, digest_size=4).digest(), "big")
