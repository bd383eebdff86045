"""Changes of targets that the members of a data centre know, in few bytes.

Covers a reader's traffic in large data centres: most changes are of a target's warm-up
or say that it is leaving, and each is sent to every member.
"""

from lagoontally_lean import Record


class TargetUpdate(Record, fields="cookie leaving warm_up_ms"):
    """What a target's entry now states; all else is as before.

    Attributes:
        cookie: Cookie of the target.
        leaving: Whether it accepts no new flows.
        warm_up_ms: How long it is slow from now on.
    """

    __slots__ = ()


def shorten(changes, known):
    """Return changes with a ``TargetUpdate`` where nothing else has changed.

    Args:
        changes: Pairs of a key and a ``Target`` or None, in their order.
        known: ``Target`` by key before the changes.
    """
    known = dict(known)
    shortened = []
    for key, target in changes:
        before, known[key] = known.get(key), target
        if target is not None and before is not None and _same(before, target):
            target = TargetUpdate(target.cookie, target.leaving, target.warm_up_ms)
        shortened.append((key, target))
    return shortened


def expand(changes, known):
    """Return changes with the whole ``Target`` in place of each ``TargetUpdate``.

    Args:
        changes: Pairs of a key and a ``Target``, a ``TargetUpdate`` or None. The key
            beside a ``TargetUpdate`` is ignored, as messages leave it out.
        known: ``Target`` by key before the changes.

    Returns:
        The changes, or None if a target isn't known here, or not under one key.
    """
    wanted = {one.cookie for _, one in changes if isinstance(one, TargetUpdate)}
    if not wanted:
        return changes
    found = [(one.cookie, key) for key, one in known.items() if one.cookie in wanted]
    keys, latest, expanded = dict(found), {}, []
    if len(keys) < len(found):
        return None
    for key, target in changes:
        if isinstance(target, TargetUpdate):
            key = keys.get(target.cookie)
            before = latest.get(key, known.get(key))
            if before is None or before.cookie != target.cookie:
                return None
            target = before._replace(
                leaving=target.leaving, warm_up_ms=target.warm_up_ms
            )
        elif target is not None:
            keys[target.cookie] = key
        latest[key] = target
        expanded.append((key, target))
    return expanded


def _same(before, after):
    """Return whether two entries differ in their ``TargetUpdate`` at most."""
    return after == before._replace(leaving=after.leaving, warm_up_ms=after.warm_up_ms)
