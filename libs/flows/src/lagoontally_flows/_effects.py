"""Effects that the balancer requests besides its decisions on packets."""

from lagoontally_lean import Record


class FlowReset(Record, fields="flow sequence cookie reason"):
    """Reset a flow other than in answer to a packet.

    Attributes:
        flow: Addresses and ports of the flow.
        sequence: Sequence number of the reset.
        cookie: Cookie of its target.
        reason: Reason shown in logs and counters.
    """

    __slots__ = ()


class DealtAnew(Record, fields=""):
    """Notify the peers that routers have just rehashed the flows.

    Answers to pending requests are acknowledged through other balancers from now on,
    so no balancer may count these requests as overdue.
    """

    __slots__ = ()


class LogEvent(Record, fields="event fields"):
    """An event to log.

    Attributes:
        event: Name of the event.
        fields: Pairs of a field name and a value.
    """

    __slots__ = ()


def entry_event(target, *, listed):
    """Return the ``LogEvent`` for a listed, changed or delisted target."""
    fields = (
        ("target", target.name.hex()),
        ("service", target.service),
        ("address", f"{target.address[0]}:{target.address[1]}"),
        ("leaving", target.leaving),
        ("warm_up_ms", target.warm_up_ms),
        ("data_centre", target.data_centre),
    )
    return LogEvent("target_listed" if listed else "target_lapsed", fields)


def unused_entry_event(target, key, reason):
    """Return the ``LogEvent`` for a listed entry that isn't used.

    Args:
        target: The ``Target``.
        key: Key of the entry.
        reason: ``service_not_named`` or ``id_in_use``.
    """
    fields = (
        ("key", key),
        ("reason", reason),
        *entry_event(target, listed=True).fields,
    )
    return LogEvent("target_unused", fields)


def evacuation_event(update, targets):
    """Return the ``LogEvent`` for an evacuation that began or ended.

    Args:
        update: The ``EvacuationUpdate``.
        targets: Listed ``Target`` by key; where none is in the data centre, its name
            may be wrong.
    """
    name, era, revision, _ = update.evacuation
    count = sum(target.data_centre == name for target in targets.values())
    fields = (
        ("data_centre", name),
        ("era", era),
        ("revision", revision),
        ("source", update.source),
        ("targets", count),
    )
    return LogEvent("evacuation_began" if update.began else "evacuation_ended", fields)
