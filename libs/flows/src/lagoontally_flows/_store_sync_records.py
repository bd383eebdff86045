"""Calls that a balancer decides on, and what readers tell their members."""

from lagoontally_lean import Record


class ListTargets(Record, fields="may_be_old"):
    """Read all targets from the store.

    Attributes:
        may_be_old: Whether seconds of age do: a watch that follows at once brings
            what has changed since.
    """

    __slots__ = ()


class Watch(Record, fields="revision wait_ms"):
    """Wait for changes in the store after a revision."""

    __slots__ = ()


class ReadConfiguration(Record, fields="may_be_old"):
    """Read the configuration from the store.

    Attributes:
        may_be_old: Whether seconds of age do, at a tenth of the price.
    """

    __slots__ = ()


class FetchTargets(Record, fields="host"):
    """Take over the targets that a peer knows."""

    __slots__ = ()


class FetchConfiguration(Record, fields="host"):
    """Take over the configuration that is in force at a peer."""

    __slots__ = ()


class Beacon(
    Record,
    fields="priority revision known_revision configuration_version routes"
    " contact_age_ms reachable",
):
    """What a reader tells the other balancers of its data centre.

    Attributes:
        priority: Orders readers; the lowest goes on where there are several.
        revision: Revision of the store at which its view last changed.
        known_revision: Revision up to which it knows both targets and configuration.
        configuration_version: Version of the newest configuration it knows.
        routes: Number of routes in that configuration.
        contact_age_ms: How long ago the store last answered it.
        reachable: Whether its last call was answered.
    """

    __slots__ = ()


class Delta(
    Record,
    fields="reader previous revision known_revision configuration_version"
    " part parts entries",
):
    """Entries that changed between two revisions of the store.

    Attributes:
        reader: Priority of the reader, which tells readers apart.
        previous: Revision at which the reader's targets changed before.
        revision: Revision that they show now.
        known_revision: Revision up to which the reader knows the configuration too;
            a listing shows targets alone.
        configuration_version: Configuration that the reader knows by then.
        part: Number of this part, from 0.
        parts: Number of parts that the changes were split into.
        entries: Pairs of a key and a ``Target`` or None.
    """

    __slots__ = ()
