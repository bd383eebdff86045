"""Limits on the new flows to each service, by what all balancers of a data centre saw.

Covers loads beyond what targets can serve, where each balancer alone sees too few
answers to judge by.
"""

from ._admitted_rate import AdmittedRate, ServiceLoad, TargetLoad
from ._answer_log import report_interval_ms

UPDATE_MS = 250
WINDOW_MS = 500
LEARN_MS = 2_000  # a reader that has just started doesn't know what is usual


class RateLimits:
    """A reader's limits by service.

    Attributes:
        rates: ``AdmittedRate`` by service.
        objectives: Shortest objective of the routes to each service in milliseconds.
    """

    def __init__(self):
        self.rates = {}
        self.objectives = {}
        self._let_in = []
        self._shed = []
        self._updated_ms = 0
        self._started_ms = None

    def on_report(self, report, now_ms):
        """Record the new flows in a balancer's report."""
        for service, let_in, refused in report.arrivals:
            self._let_in.append((now_ms, service, let_in))
            self._shed.append((now_ms, service, refused))

    def update(self, targets, *, data_centre, speeds, room_elsewhere, members, now_ms):
        """Adjust all limits, once in ``UPDATE_MS``.

        Args:
            targets: ``Target`` records that may get new flows.
            data_centre: This reader's data centre.
            speeds: The ``TargetSpeeds``, which know the answers.
            room_elsewhere: Names of the services for which other data centres have
                room.
            members: Number of balancers that report.
            now_ms: Current time.
        """
        if now_ms - self._updated_ms < UPDATE_MS:
            return
        self._updated_ms = now_ms
        if self._started_ms is None:
            self._started_ms = now_ms
        if now_ms - self._started_ms < LEARN_MS:
            return
        loads = self._loads(targets, data_centre, speeds, members, now_ms)
        for service, load in loads.items():
            rate = self.rates.setdefault(service, AdmittedRate())
            rate.update(load, room_elsewhere=service in room_elsewhere, now_ms=now_ms)

    def _loads(self, targets, data_centre, speeds, members, now_ms):
        """Return the ``ServiceLoad`` of the latest window by service."""
        window_ms = max(WINDOW_MS, report_interval_ms(members))
        since_ms = now_ms - window_ms
        let_in = _sums_since(self._let_in, since_ms)
        shed = _sums_since(self._shed, since_ms)
        by_service = {}
        for target in targets:
            waits = speeds.waits_since(target.cookie, since_ms)
            load = TargetLoad(
                target.slots,
                len(waits),
                sum(waits) / len(waits) if waits else 0,
                len(waits) * 1_000 / window_ms,
                target.data_centre == data_centre,
            )
            by_service.setdefault(target.service, []).append(load)
        return {
            service: ServiceLoad(
                loads,
                let_in.get(service, 0) * 1_000 / window_ms,
                bool(shed.get(service)),
                _usual_ms(speeds.usual_ms, service, data_centre),
                self.objectives.get(service, 0),
            )
            for service, loads in by_service.items()
        }

    def limited(self):
        """Return the new flows a second by service, of those that are limited."""
        return {
            service: rate.per_s
            for service, rate in self.rates.items()
            if rate.per_s is not None
        }

    def to_tell(self, members):
        """Return pairs of a service and a balancer's part of its rate, in tenths."""
        return [
            (service, max(1, round(10 * per_s / members)))
            for service, per_s in self.limited().items()
        ]


def shortest_objectives(routes):
    """Return the shortest objective of the routes to each service, if one is stated.

    Args:
        routes: ``Route`` records.
    """
    objectives = {}
    for route in routes:
        for service, _ in route.shares:
            if route.objective_ms:
                known = objectives.get(service, route.objective_ms)
                objectives[service] = min(known, route.objective_ms)
    return objectives


def _usual_ms(usual_ms, service, data_centre):
    """Return the usual time of a service, by own targets if there are any."""
    known = {place: ms for (name, place), ms in usual_ms.items() if name == service}
    return known.get(data_centre) or min(known.values(), default=0)


def _sums_since(counts, since_ms):
    """Drop the older triples of a time, a name and a count; return sums by name."""
    counts[:] = [one for one in counts if one[0] > since_ms]
    sums = {}
    for _, name, count in counts:
        sums[name] = sums.get(name, 0) + count
    return sums
