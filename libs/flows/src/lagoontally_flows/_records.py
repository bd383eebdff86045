"""Records that the decisions work on."""

from lagoontally_lean import Record

SYN = 2
ACK = 16
FIN = 4
RST = 1


class Packet(Record, fields="flow flags cookie sequence acknowledgement length"):
    """Header of a packet that a caller sent.

    Attributes:
        flow: Caller's address and port, route's address and port, as integers.
        flags: Sum of ``SYN``, ``ACK``, ``FIN`` and ``RST``.
        cookie: What the flow's target was last sent as its name; 0 in a SYN.
        sequence: Number of the first byte of data.
        acknowledgement: Number of the next byte awaited; in a SYN how many
            copies were sent before.
        length: Bytes of data.
    """

    __slots__ = ()


class Target(
    Record,
    fields="name born cookie address data_centre service slots leaving warm_up_ms",
):
    """One incarnation of an upstream process.

    Attributes:
        name: Its id, 8 bytes, unique over all incarnations.
        born: Unix milliseconds of its start, 0 where it doesn't say.
        cookie: 32 bits by which packets of its flows name it.
        address: Host and port, as sockets take it.
        data_centre: Where it runs.
        service: Name of the service that it serves.
        slots: Requests that it works on at a time.
        leaving: Whether it takes no new flows.
        warm_up_ms: How long it stays slow after its start.
    """

    __slots__ = ()


class Route(Record, fields="name shares repeatable"):
    """Where new flows to one address and port go.

    Attributes:
        name: The operator's name of the route.
        shares: Pairs of a service and its weight.
        repeatable: Whether callers may repeat its requests.
    """

    __slots__ = ()


class Configuration(Record, fields="version routes idle_timeout_ms"):
    """A configuration in force.

    Attributes:
        version: Rises with each configuration.
        routes: ``Route`` by address and port.
        idle_timeout_ms: How long a flow may be silent before it is forgotten.
    """

    __slots__ = ()


class Forward(Record, fields="target reason"):
    """Send the packet on to a target, named by the target's cookie."""

    __slots__ = ()


class Reset(Record, fields="reason sequence"):
    """Answer the caller with a reset.

    Attributes:
        reason: Why, as logs and counters say it.
        sequence: Sequence number of the reset.
    """

    __slots__ = ()


class Hold(Record, fields=""):
    """Keep the packet until there is a configuration."""

    __slots__ = ()


class Drop(Record, fields="reason"):
    """Do nothing with the packet."""

    __slots__ = ()
