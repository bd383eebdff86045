"""Changes of the configuration, sent from a reader to the other balancers.

Covers large data centres: with the change itself in a datagram, members don't have to
fetch the whole configuration, one after the other, from a reader on a small link.
"""

from lagoontally_lean import Record

from .. import _digest
from ._parts import PartCollector

MAX_CHANGED_ROUTES = 64  # larger changes are fetched, spread over some time


class ConfigurationDelta(
    Record, fields="reader previous version idle_timeout_ms part parts routes digest"
):
    """Routes that changed between two versions of the configuration.

    Attributes:
        reader: Priority of the reader, which identifies it.
        previous: Version that the change applies to.
        version: Version that it results in.
        idle_timeout_ms: How long a flow may be idle before it is forgotten.
        part: Index of this part, from 0.
        parts: Number of parts that the change is split into.
        routes: Pairs of a destination and its ``Route``, None if it was removed.
        digest: Digest of all routes after the change.
    """

    __slots__ = ()


def configuration_delta(previous, current, *, reader, digest):
    """Return the ``ConfigurationDelta`` between two configurations.

    Args:
        previous: The ``Configuration`` in force before, or None.
        current: The newer ``Configuration``.
        reader: Priority of the reader that sends it.
        digest: Digest of the newer configuration's routes.

    Returns:
        The delta in one part, or None if the members should fetch the configuration.
    """
    if previous is None or previous.services != current.services:
        return None
    removed = [
        (destination, None)
        for destination in previous.routes
        if destination not in current.routes
    ]
    changed = [
        (destination, route)
        for destination, route in current.routes.items()
        if previous.routes.get(destination) != route
    ]
    routes = removed + changed
    if len(routes) > MAX_CHANGED_ROUTES:
        return None
    return ConfigurationDelta(
        reader=reader,
        previous=previous.version,
        version=current.version,
        idle_timeout_ms=current.idle_timeout_ms,
        part=0,
        parts=1,
        routes=routes,
        digest=digest,
    )


class ConfigurationDeltas:
    """Applies the deltas that arrive in parts."""

    def __init__(self):
        self._parts = PartCollector()

    def apply(self, current, delta, *, digest):
        """Handle one part.

        Args:
            current: The ``Configuration`` in force, or None.
            delta: The ``ConfigurationDelta``.
            digest: Digest of the routes in force.

        Returns:
            The new ``Configuration`` once all parts have arrived; None before, and if
            the delta doesn't apply to the version in force or doesn't lead to the
            reader's routes.
        """
        if current is None or current.version != delta.previous:
            return None
        if delta.version <= delta.previous:
            return None
        changes = self._parts.add(
            (delta.reader, delta.previous, delta.version, delta.parts),
            part=delta.part,
            parts=delta.parts,
            items=delta.routes,
        )
        if changes is None:
            return None
        routes = dict(current.routes)
        for destination, route in changes:
            before = routes.pop(destination, None)
            digest = _digest.replace(digest, destination, before, route)
            if route is not None:
                routes[destination] = route
        if digest != delta.digest:
            return None
        return current._replace(
            version=delta.version,
            routes=routes,
            idle_timeout_ms=delta.idle_timeout_ms,
        )
