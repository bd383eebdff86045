"""Which values of a target's fields can be used.

Entries are written by others, and balancers add the fields of many targets up and send
them to each other in datagrams.
"""

from lagoontally_lean import dumps

MAX_SLOTS = 10_000  # of one target; thousands of them are added up
MAX_WARM_UP_MS = 3_600_000
MAX_UNIX_MS = 1 << 42  # the year 2109
MAX_NAME_LENGTH = 200  # characters in JSON: a datagram holds an entry with two names


def out_of_range(target):
    """Return the name of a field of a target whose value can't be used.

    Args:
        target: The ``Target``; its fields have the right types.

    Returns:
        The first such field, None if all values can be used.
    """
    checks = (
        ("slots", 0 < target.slots <= MAX_SLOTS),
        ("warm_up_ms", 0 <= target.warm_up_ms <= MAX_WARM_UP_MS),
        ("born", 0 <= target.born <= MAX_UNIX_MS),
        ("service", is_name(target.service)),
        ("data_centre", is_name(target.data_centre)),
    )
    return next((field for field, valid in checks if not valid), None)


def is_name(text):
    """Return whether a text can be the name of a service or a data centre."""
    if not text or not text.isprintable():
        return False
    return len(dumps(text)) <= MAX_NAME_LENGTH + len(dumps(""))
