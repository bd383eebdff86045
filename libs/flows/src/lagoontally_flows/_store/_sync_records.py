"""Calls to the store and to peers, and the messages of readers to members."""

from lagoontally_lean import Record


class ListTargets(Record, fields="may_be_old"):
    """Read all targets from the store.

    Attributes:
        may_be_old: Whether a result that is seconds old will do, at a tenth of the
            price.
    """

    __slots__ = ()


class Watch(Record, fields="revision wait_ms"):
    """Wait for changes in the store after a revision."""

    __slots__ = ()


class ReadConfiguration(Record, fields="may_be_old"):
    """Read the configuration and the evacuations from the store.

    Attributes:
        may_be_old: Whether a result that is seconds old will do, at a tenth of the
            price.
    """

    __slots__ = ()


class FetchTargets(Record, fields="host"):
    """Fetch the targets that a peer knows."""

    __slots__ = ()


class FetchConfiguration(Record, fields="host"):
    """Fetch the configuration that is in force at a peer."""

    __slots__ = ()


class Beacon(
    Record,
    fields="priority view known configuration_version routes contact_age_ms"
    " reachable settling digest evacuations evacuated",
):
    """State that a reader announces to the other balancers of its data centre.

    Attributes:
        priority: Priority of the reader; of several readers the lowest continues.
        view: ``Position`` of the store at which its view last changed; revision 0
            while its targets may be old.
        known: ``Position`` up to which it knows targets, configuration and
            evacuations.
        configuration_version: Version of the newest configuration it knows.
        routes: Number of routes in that configuration.
        contact_age_ms: How long ago the store last answered it.
        reachable: Whether its last call was answered.
        settling: Whether the store came back from a copy that may still list targets
            as they were before.
        digest: Digest of the targets it knows.
        evacuations: ``Position`` up to which it knows the evacuations.
        evacuated: Number of them; if there are any, ``Evacuated`` tells which.
    """

    __slots__ = ()


class Delta(
    Record,
    fields="reader previous position known configuration_version part parts entries"
    " digest settling",
):
    """Entries that changed between two positions of the store.

    Attributes:
        reader: Priority of the reader, which identifies it.
        previous: ``Position`` of the previous change of the reader's targets if the
            entries are all changes since. Those found by a listing lack what came and
            went in between, so this is ``position`` then.
        position: ``Position`` of this change.
        known: ``Position`` up to which the reader knows the configuration too; a
            listing contains only targets.
        configuration_version: Newest configuration known to the reader.
        part: Index of this part, from 0.
        parts: Number of parts that the changes are split into.
        entries: Pairs of a key and a ``Target``, a ``TargetUpdate`` or None.
        digest: Digest of the reader's targets after these changes.
        settling: As in ``Beacon``.
    """

    __slots__ = ()
