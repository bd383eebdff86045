"""Packets, targets, configuration and the actions on packets."""

from lagoontally_lean import Record

SYN = 2
ACK = 16
FIN = 4
RST = 1


class Packet(Record, fields="flow flags cookie sequence acknowledgement length"):
    """Header of a packet that a caller sent.

    Attributes:
        flow: Flow key: caller's address and port, route's address and port, as
            integers.
        flags: Sum of ``SYN``, ``ACK``, ``FIN`` and ``RST``.
        cookie: Cookie of the flow's target as its caller last received it; 0 in a
            SYN.
        sequence: Sequence number of the first byte of data.
        acknowledgement: Sequence number of the next byte expected; in a SYN the
            number of copies sent before.
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
        born: Its start in Unix milliseconds.
        cookie: 32 bits that name it in the packets of its flows.
        address: Host and port, in the form that sockets use.
        data_centre: Data centre that it runs in.
        service: Name of its service.
        slots: Number of requests that it processes concurrently.
        leaving: Whether it accepts no new flows.
        warm_up_ms: How long it is slow after its start.
    """

    __slots__ = ()


class Route(
    Record,
    fields="name shares repeatable objective_ms deadline_ms priority regions",
    defaults=(0, 0, 0, ()),
):
    """Services that get the new flows to one address and port.

    Attributes:
        name: The operator's name for the route.
        shares: Pairs of a service and its weight.
        repeatable: Whether callers may repeat its requests.
        objective_ms: Latency that its callers ask for, 0 if none is stated.
        deadline_ms: When its callers give up, 0 if that isn't stated.
        priority: Rank of its requests where not all can be served; 0 is the highest.
        regions: Regions whose targets may serve it, empty for all.
    """

    __slots__ = ()


class Service(
    Record,
    fields="name warm_up_ms warm_up_per_s max_connections",
):
    """What the operator states about the targets of one service.

    Attributes:
        name: Name of the service.
        warm_up_ms: How long a target warms up after its start.
        warm_up_per_s: Requests a second that a target bears meanwhile, 0 if that
            isn't stated.
        max_connections: Flows that a target holds at most, 0 if that isn't stated.
    """

    __slots__ = ()


class Configuration(
    Record, fields="version routes idle_timeout_ms services", defaults=({},)
):
    """The operator's configuration.

    Attributes:
        version: Increases with each configuration.
        routes: ``Route`` by address and port.
        idle_timeout_ms: How long a flow may be idle before it is forgotten.
        services: ``Service`` by name, of those that the operator describes.
    """

    __slots__ = ()

    def service_names(self):
        """Return the names of all services, also of those that only routes name."""
        shares = [share for route in self.routes.values() for share in route.shares]
        return frozenset(self.services).union(name for name, _ in shares)


class Answer(Record, fields="flow cookie service waited_ms length"):
    """The first acknowledgement of new bytes by a caller after its request.

    Attributes:
        flow: Flow key.
        cookie: Cookie of the target that answered.
        service: Name of its service, empty if the target isn't known.
        waited_ms: Time since the first packet of the request.
        length: Bytes newly acknowledged.
    """

    __slots__ = ()


class Forward(Record, fields="target reason confirmed", defaults=(False,)):
    """Forward the packet to a target, with the target's cookie.

    Attributes:
        target: The ``Target``.
        reason: Reason shown in logs and counters.
        confirmed: Whether the target is known to hold the flow. If not, the cookie is
            written in its unconfirmed form.
    """

    __slots__ = ()


class Reset(Record, fields="reason sequence"):
    """Answer the packet with a reset.

    Attributes:
        reason: Reason shown in logs and counters.
        sequence: Sequence number of the reset.
    """

    __slots__ = ()


class Hold(Record, fields=""):
    """Keep the packet until there is a configuration."""

    __slots__ = ()


class Drop(Record, fields="reason"):
    """Discard the packet."""

    __slots__ = ()
