"""What a step asks for beside the fate of its packet."""

from lagoontally_lean import Record


class FlowReset(Record, fields="flow sequence cookie reason"):
    """Reset a flow whose caller hasn't just sent a packet.

    Attributes:
        flow: Addresses and ports of the flow.
        sequence: Sequence number of the reset.
        cookie: The target that it was open to.
        reason: Why, as logs and counters say it.
    """

    __slots__ = ()


class DealtAnew(Record, fields=""):
    """Tell the peers that routers have just dealt the flows anew.

    Answers to requests that are under way are acknowledged through other balancers
    from now on, so nobody may wait for them.
    """

    __slots__ = ()


class LogEvent(Record, fields="event fields"):
    """A decision for the log.

    Attributes:
        event: What was decided.
        fields: Pairs of a name and a value: inputs, their age, the outcome.
    """

    __slots__ = ()


def entry_event(target, *, listed):
    """Return the ``LogEvent`` that the platform lists a target, or no longer does."""
    fields = (
        ("target", target.name.hex()),
        ("service", target.service),
        ("address", f"{target.address[0]}:{target.address[1]}"),
        ("leaving", target.leaving),
        ("data_centre", target.data_centre),
    )
    return LogEvent("target_listed" if listed else "target_lapsed", fields)
