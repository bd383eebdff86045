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


class Note(Record, fields="event fields"):
    """A decision for the log.

    Attributes:
        event: What was decided.
        fields: Pairs of a name and a value: inputs, their age, the outcome.
    """

    __slots__ = ()
