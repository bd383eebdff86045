"""Evidence of which target holds a flow.

A SYN may reach several targets: a copy goes elsewhere if the first answer is late or
routers rehash flows in between. All of them answer, the caller opens the flow at the
one whose answer arrives first, and it returns the cookie of the one whose packet
arrived last. Hence an unconfirmed cookie is weak evidence, the weaker the later it was
returned.
"""

from lagoontally_lean import Record

SENT = 0  # this balancer sent the SYN there
RETURNED = 1  # the caller returned the cookie of a target that answered the SYN
CONFIRMED = 2  # no other target could answer the SYN, or this one answered requests


class Holder(Record, fields="cookie evidence since_ms"):
    """The target that holds a flow.

    Attributes:
        cookie: Its cookie.
        evidence: ``SENT``, ``RETURNED`` or ``CONFIRMED``.
        since_ms: Since when there is this evidence.
    """

    __slots__ = ()


class FlowHolder(Record, fields="flow acknowledgement cookie evidence age_ms rival"):
    """The holder of a flow, as balancers tell each other.

    Attributes:
        flow: Flow key.
        acknowledgement: What its caller acknowledged last. It tells the flow from
            others between the same ports.
        cookie: Cookie of the target.
        evidence: As of a ``Holder``, but not ``SENT``.
        age_ms: Age of the evidence.
        rival: Cookie of another target that its caller returned, 0 for none.
    """

    __slots__ = ()


class Told(Record, fields="at_ms acknowledgement holder rival"):
    """What another balancer has told of a flow.

    Attributes:
        at_ms: When it did.
        acknowledgement: As of a ``FlowHolder``.
        holder: The ``Holder``.
        rival: As of a ``FlowHolder``.
    """

    __slots__ = ()


class Holders(Record, fields="holders"):
    """Tells a balancer of ``FlowHolder`` records."""

    __slots__ = ()


class HolderQuery(Record, fields="holders"):
    """Asks the members for the holders of flows, of which weak ones are known."""

    __slots__ = ()


def strongest(*holders):
    """Return the holder with the strongest evidence, of equal ones the oldest.

    Args:
        *holders: ``Holder`` or None.
    """
    best = None
    for holder in holders:
        if holder is not None and (best is None or _prevails(holder, best)):
            best = holder
    return best


def _prevails(holder, other):
    """Return whether the evidence of a holder is stronger, or as strong and older."""
    if holder.evidence != other.evidence:
        return holder.evidence > other.evidence
    return holder.since_ms < other.since_ms
