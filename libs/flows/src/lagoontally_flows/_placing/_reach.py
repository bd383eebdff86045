"""Whether targets elsewhere are out of reach from here, before all are found dead.

Covers a data centre that is emptied and then cut off: its callers depend on targets of
other data centres, and are better served there as soon as the cut is known.
"""

MIN_SILENT = 3  # targets that die by chance rarely do so together


def silent_since(targets, health):
    """Return since when some targets have been silent, None unless they seem cut off.

    A probe finds a target silent only if a control answers at the same time. So several
    that are found silent since the last sign of life of any of them show that the path
    to them is gone, not that a packet was lost or that this process was slow.

    Args:
        targets: The ``Target`` records that may get new flows.
        health: The ``Health``.

    Returns:
        The time of the last sign of life, or None.
    """
    heard_ms = max((health.heard_ms(target.cookie) for target in targets), default=None)
    if heard_ms is None:
        return None
    silent = 0
    for target in targets:
        since_ms = health.silent_since_ms(target.cookie)
        silent += since_ms is not None and since_ms > heard_ms
    return heard_ms if silent >= MIN_SILENT else None
