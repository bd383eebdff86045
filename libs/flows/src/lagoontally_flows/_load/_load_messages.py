"""Messages about load between balancers."""

from lagoontally_lean import Record


class LoadReport(Record, fields="arrivals answers flows"):
    """What a balancer saw since its previous report; sent to its reader.

    Attributes:
        arrivals: Services, the new flows that were let in, and those that were refused
            for lack of room.
        answers: Pairs of a target's cookie and how long an answer that took work
            took, in milliseconds.
        flows: Pairs of a target's cookie and the balancer's open flows to it, of
            targets near their cap.
    """

    __slots__ = ()


class LoadAdvice(Record, fields="shares spills full limits", defaults=((),)):
    """What a reader found; sent to its members while there is something to say.

    Attributes:
        shares: Pairs of a slow target's cookie and its share of a usual target's
            flows, in percent.
        spills: Pairs of a service and its parts: pairs of a data centre and the
            percentage of new flows that goes there. The local one gets the rest.
        full: Cookies of targets that hold as many flows as they may.
        limits: Services with too little room, each with the requests that a balancer
            may have in hand at a usual target, and pairs of a cookie and the same at
            another one; all in hundredths.
    """

    __slots__ = ()


class DemandDigest(Record, fields="data_centre demands passed_on"):
    """Demand of a loaded data centre; sent to seeds, which pass it on.

    Attributes:
        data_centre: Data centre whose callers the demand comes from.
        demands: Services, the slots that their callers keep busy there, and the slots
            of the targets there, where a slow target counts by its speed.
        passed_on: Whether a seed passed it on to a reader, which keeps it.
    """

    __slots__ = ()
