"""Limits on the requests in hand, by what all balancers of a data centre saw.

Covers loads beyond what targets can serve, where each balancer alone sees too few
answers to judge by. Only queues that are deeper than the objective is long need it:
shallow ones refuse before callers wait too long, as each balancer sees itself.
"""

from ._answer_log import report_interval_ms
from ._target_limit import TargetLimit, TargetLoad, in_hand_at, longest_wait_ms

UPDATE_MS = 250
WINDOW_MS = SHED_MS = 500
MIN_WINDOW_ANSWERS = 6  # of a target; with fewer a longer window is used
LONG_WINDOWS = 3
MIN_ANSWERS = 10  # of a service's local targets; with fewer no limit begins
ROOMY_SHARE = 0.5  # of the slots; from it on no limit begins
LEARN_MS = 2_000  # a reader that has just started doesn't know what is usual
RETURN_MS = 1_000  # in which answers tell of targets that are back
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
        self._shed = {}
        self._usual_limits = {}
        self._gone_ms = {}
        self._updated_ms = 0
        self._started_ms = None

    def on_report(self, report, now_ms):
        """Record which services a balancer's report says have too little room."""
        for service, _, refused in report.arrivals:
            if refused:
                self._shed[service] = now_ms

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
        window_ms = max(WINDOW_MS, report_interval_ms(members))
        by_service = {}
        for target in targets:
            by_service.setdefault(target.service, []).append(target)
        former, self.limits = self.limits, {}
        self._limit_gone_services(by_service, now_ms)
        for service, group in by_service.items():
            usual_ms = _usual_ms(speeds.usual_ms, service, data_centre)
            if not 0 < usual_ms < self.objectives.get(service, 0):
                continue
            loads = {
                target.cookie: _load(
                    target, data_centre, speeds, usual_ms, window_ms, now_ms
                )
                for target in group
            }
            centres = len({data_centre, *(target.data_centre for target in group)})
            longest_ms = longest_wait_ms(usual_ms, self.objectives[service])
            held = in_hand_at(group[0].slots * 1_000 / usual_ms, longest_ms)
            self._usual_limits[service] = held / centres
            if service in former:
                calm_ms = (usual_ms + longest_ms) / 2
                is_limited = self._stays_limited(service, loads, calm_ms, now_ms)
            else:
                has_room = service in room_elsewhere
                is_limited = not has_room and _is_full(loads.values(), longest_ms)
            if is_limited:
                limits = former.get(service, {})
                self.limits[service] = self._adjusted(
                    limits, loads, service, centres, now_ms
                )

    def _stays_limited(self, service, loads, calm_ms, now_ms):
        """Return whether a limited service still has too little room, or may have.

        Args:
            service: Its name.
            loads: ``TargetLoad`` by cookie.
            calm_ms: Mean time of answers up to which there is room again.
            now_ms: Current time.
        """
        sheds = now_ms - self._shed.get(service, -SHED_MS) < SHED_MS
        has_returned = self._has_returned(service, now_ms)
        return sheds or has_returned or not _is_calm(loads.values(), calm_ms)

    def _adjusted(self, former, loads, service, centres, now_ms):
        """Return the ``TargetLimit`` of a service's targets by cookie.

        Args:
            former: Those of before.
            loads: ``TargetLoad`` by cookie.
            service: Name of the service.
            centres: Number of data centres whose balancers send requests to it.
            now_ms: Current time.
        """
        limits = {}
        has_returned = self._has_returned(service, now_ms)
        for cookie, load in loads.items():
            longest_ms = longest_wait_ms(load.work_ms, self.objectives[service])
            limit = former.get(cookie)
            if limit is None and has_returned:
                limit = TargetLimit(self._usual_limits[service])
            elif limit is None:
                limit = TargetLimit(in_hand_at(load.per_s, longest_ms))
            if load.is_known or not has_returned:
                least = load.slots / centres
                limit.update(load, longest_ms=longest_ms, least=least, now_ms=now_ms)
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
        return now_ms - self._gone_ms.get(service, -RETURN_MS) < RETURN_MS

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


def _load(target, data_centre, speeds, usual_ms, window_ms, now_ms):
    """Return the ``TargetLoad`` of a target in the latest window."""
    waits = speeds.waits_since(target.cookie, now_ms - window_ms)
    if len(waits) < MIN_WINDOW_ANSWERS:
        window_ms *= LONG_WINDOWS
        waits = speeds.waits_since(target.cookie, now_ms - window_ms)
    work_ms = usual_ms
    if target.cookie in speeds.shares:
        work_ms = max(usual_ms, speeds.work_ms.get(target.cookie, usual_ms))
    return TargetLoad(
        target.slots,
        len(waits),
        sum(waits) / len(waits) if waits else 0,
        len(waits) * 1_000 / window_ms,
        work_ms,
        target.data_centre == data_centre,
    )


def _local(loads):
    """Return the loads of local targets, or all of them if there are none."""
    return [load for load in loads if load.is_local] or list(loads)


def _is_full(loads, longest_ms):
    """Return whether local targets are known well, and few targets have room."""
    if sum(load.answers for load in _local(loads)) < MIN_ANSWERS:
        return False
    known = [load for load in loads if load.is_known]
    crowded = sum(load.slots for load in known if load.is_crowded(longest_ms))
    slots = sum(load.slots for load in known)
    return crowded > (1.0 - ROOMY_SHARE) * slots


def _is_calm(loads, calm_ms):
    """Return whether no local target makes callers wait longer than ``calm_ms``."""
    return all(load.wait_ms <= calm_ms for load in _local(loads))


def _usual_ms(usual_ms, service, data_centre):
    """Return the usual time of a service, by own targets if there are any."""
    known = {place: ms for (name, place), ms in usual_ms.items() if name == service}
    return known.get(data_centre) or min(known.values(), default=0)
