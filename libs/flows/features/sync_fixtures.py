"""Positions, beacons and calls of one ``StoreSync``, for the steps of several files."""

from lagoontally_flows import Beacon, Position

OWN, OTHER = 7, 8  # digests of targets
STEP_MS = 600  # longer than the delays of calls, shorter than a takeover


def position(revision):
    """Return a position in the first era."""
    return Position(1, revision, 0)


def next_call(context):
    """Return the next call, after all delays."""
    context.now_ms += STEP_MS
    return context.store_sync.next_call(context.now_ms)


def assert_next_call(context, expected):
    """Compare the next call; records of two types may be equal as tuples."""
    call = next_call(context)
    assert type(call) is type(expected) and call == expected, call


def beacon(revision, digest, version=5):
    """Return the beacon of a reader in contact with the store."""
    view = position(revision)
    return Beacon(3, view, view, version, 9, 0, True, False, digest, view, 0)
