"""Changes of the configuration, sent from a reader to the other balancers.

Covers large data centres: with the change itself in a datagram, members don't have to
fetch the whole configuration, one after the other, from a reader on a small link.
"""

from lagoontally_lean import Record

from ._parts import PartCollector
from ._records import Configuration

MAX_CHANGED_ROUTES = 64  # larger changes are fetched, spread over some time


class ConfigurationDelta(
    Record, fields="previous version idle_timeout_ms part parts routes"
):
    """Routes that changed between two versions of the configuration.

    Attributes:
        previous: Version that the change applies to.
        version: Version that it results in.
        idle_timeout_ms: How long a flow may be idle before it is forgotten.
        part: Index of this part, from 0.
        parts: Number of parts that the change is split into.
        routes: Pairs of a destination and its ``Route``, None if it was removed.
    """

    __slots__ = ()


def configuration_delta(previous, current):
    """Return the ``ConfigurationDelta`` between two configurations.

    Args:
        previous: The ``Configuration`` in force before, or None.
        current: The newer ``Configuration``.

    Returns:
        The delta in one part, or None if the members should fetch the configuration.
    """
    if previous is None:
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
        previous.version, current.version, current.idle_timeout_ms, 0, 1, routes
    )


class ConfigurationDeltas:
    """Applies the deltas that arrive in parts."""

    def __init__(self):
        self._parts = PartCollector()

    def apply(self, current, delta):
        """Handle one part.

        Args:
            current: The ``Configuration`` in force, or None.
            delta: The ``ConfigurationDelta``.

        Returns:
            The new ``Configuration`` once all parts have arrived; None before, and if
            the delta doesn't apply to the version in force.
        """
        if current is None or current.version != delta.previous:
            return None
        if delta.version <= delta.previous:
            return None
        changes = self._parts.add(
            (delta.previous, delta.version, delta.parts),
            part=delta.part,
            parts=delta.parts,
            items=delta.routes,
        )
        if changes is None:
            return None
        routes = dict(current.routes)
        for destination, route in changes:
            if route is None:
                routes.pop(destination, None)
            else:
                routes[destination] = route
        return Configuration(delta.version, routes, delta.idle_timeout_ms)
