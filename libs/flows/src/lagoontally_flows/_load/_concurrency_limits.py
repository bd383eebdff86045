"""Limits on the requests in hand, by what all balancers of a data centre saw.

Covers loads beyond what targets can serve, where each balancer alone sees too few
answers to judge by. Only queues that are deeper than the objective is long need it:
shallow ones refuse before callers wait too long, as each balancer sees itself.
"""

from ._service_load import WINDOW_MS, service_load
from ._target_limit import TargetLimit, in_hand_at, longest_wait_ms

UPDATE_MS = 250
LEARN_MS = 2_000  # a new reader sets no limits before, as usual times are unknown
RETURN_MS = 1_000  # limits stay this long after the first target is back
HUNDREDTHS = 100


class ConcurrencyLimits:
    """A reader's limits.

    Attributes:
        limits: ``TargetLimit`` by cookie, by service; only of services that have too
            little room.
        objectives: Shortest objective of the routes to each service in milliseconds.
    """

    def __init__(self):
        self.limits = {}
        self.objectives = {}
        self._shed_ms = {}
        self._usual_limits = {}
        self._gone_ms = {}
        self._updated_ms = 0
        self._started_ms = None

    def on_report(self, report, now_ms):
        """Record which services a balancer's report says have too little room."""
        for service, _, refused in report.arrivals:
            if refused:
                self._shed_ms[service] = now_ms

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
        by_service = {}
        for target in targets:
            by_service.setdefault(target.service, []).append(target)
        former, self.limits = self.limits, {}
        self._limit_gone_services(by_service, now_ms)
        for service, group in by_service.items():
            usual_ms = _usual_ms(speeds.usual_ms, service, data_centre)
            objective_ms = self.objectives.get(service, 0)
            if not 0 < usual_ms < objective_ms:
                continue
            load = service_load(
                group,
                data_centre=data_centre,
                speeds=speeds,
                usual_ms=usual_ms,
                objective_ms=objective_ms,
                members=members,
                now_ms=now_ms,
            )
            self._usual_limits[service] = load.usual_limit
            if service in former:
                is_limited = self._stays_limited(service, load, now_ms)
            else:
                is_limited = service not in room_elsewhere and load.is_full()
            if is_limited:
                limits = former.get(service, {})
                self.limits[service] = self._adjusted(limits, service, load, now_ms)

    def _stays_limited(self, service, load, now_ms):
        """Return whether a limited service still has too little room, or may have."""
        shed_ms = self._shed_ms.get(service)
        has_shed = shed_ms is not None and now_ms - shed_ms < WINDOW_MS
        return has_shed or self._has_returned(service, now_ms) or not load.is_calm()

    def _adjusted(self, former, service, load, now_ms):
        """Return the ``TargetLimit`` of a service's targets by cookie.

        Args:
            former: Those of before.
            service: Name of the service.
            load: Its ``ServiceLoad``.
            now_ms: Current time.
        """
        limits = {}
        has_returned = self._has_returned(service, now_ms)
        for cookie, target in load.targets.items():
            longest_ms = longest_wait_ms(target.work_ms, load.objective_ms)
            limit = former.get(cookie)
            if limit is None and has_returned:
                limit = TargetLimit(load.usual_limit)
            elif limit is None:
                limit = TargetLimit(in_hand_at(target.per_s, longest_ms))
            if target.is_known or not has_returned:
                least = target.slots / load.centres
                limit.update(target, longest_ms=longest_ms, least=least, now_ms=now_ms)
            limits[cookie] = limit
        return limits

    def _limit_gone_services(self, usable, now_ms):
        """Limit in advance the targets of services that have none left.

        All callers meet the first one that is back, before any answer tells its wait.

        Args:
            usable: Names of services that have targets.
            now_ms: Current time.
        """
        for service in self._usual_limits.keys() & self.objectives.keys():
            if service not in usable:
                self.limits[service] = {}
                self._gone_ms[service] = now_ms

    def _has_returned(self, service, now_ms):
        """Return whether a service had no targets a moment ago."""
        gone_ms = self._gone_ms.get(service)
        return gone_ms is not None and now_ms - gone_ms < RETURN_MS

    def limited(self):
        """Return the requests in hand at most by service, of those that are limited."""
        return {
            service: sum(limit.in_hand for limit in limits.values())
            for service, limits in self.limits.items()
        }

    def to_tell(self, members, *, most_pairs):
        """Return what members are told; see ``LoadAdvice.limits``.

        Args:
            members: Number of balancers that share a limit.
            most_pairs: Targets that may be named; others count as usual ones.
        """
        told = []
        for service, limits in self.limits.items():
            parts = {
                cookie: max(1, round(HUNDREDTHS * limit.in_hand / members))
                for cookie, limit in limits.items()
            }
            if parts:
                usual = sorted(parts.values())[len(parts) // 2]
            else:
                usual = round(HUNDREDTHS * self._usual_limits[service] / members)
            unusual = sorted(
                ((cookie, part) for cookie, part in parts.items() if part != usual),
                key=lambda pair: abs(pair[1] - usual),
                reverse=True,
            )[:most_pairs]
            most_pairs -= len(unusual)
            told.append((service, usual, unusual))
        return told


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
