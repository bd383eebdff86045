"""What the balancers of a data centre saw of a service's targets lately."""

from lagoontally_lean import Record

from ._answer_log import report_interval_ms
from ._target_limit import TargetLoad, in_hand_at, longest_wait_ms

WINDOW_MS = 500
MIN_WINDOW_ANSWERS = 6  # of a target; with fewer a longer window is used
LONG_WINDOWS = 3
MIN_ANSWERS = 10  # fewer answers of local targets don't show that they are full
ROOMY_SHARE = 0.5  # a service isn't full while this share of its slots has room


class ServiceLoad(Record, fields="targets slots usual_ms objective_ms centres"):
    """The load of one service.

    Attributes:
        targets: ``TargetLoad`` of the targets that may get new flows, by cookie.
        slots: Slots of a usual target.
        usual_ms: Usual time of an answer.
        objective_ms: Time in which callers want theirs.
        centres: Number of data centres whose balancers send requests to the targets.
    """

    __slots__ = ()

    @property
    def longest_ms(self):
        """Mean time beyond which callers of a usual target wait too long."""
        return longest_wait_ms(self.usual_ms, self.objective_ms)

    @property
    def usual_limit(self):
        """Requests that this data centre has in hand at a usual target at most."""
        served_per_s = self.slots * 1_000 / self.usual_ms
        return in_hand_at(served_per_s, self.longest_ms) / self.centres

    def is_full(self):
        """Return whether local targets are known well, and few targets have room."""
        if sum(load.answers for load in self._local()) < MIN_ANSWERS:
            return False
        known = [load for load in self.targets.values() if load.is_known]
        crowded = sum(load.slots for load in known if load.is_crowded(self.longest_ms))
        return crowded > (1.0 - ROOMY_SHARE) * sum(load.slots for load in known)

    def is_calm(self):
        """Return whether no local target makes callers wait much longer than usual."""
        calm_ms = (self.usual_ms + self.longest_ms) / 2
        return all(load.wait_ms <= calm_ms for load in self._local())

    def _local(self):
        """Return the loads of local targets, or all of them if there are none."""
        loads = self.targets.values()
        return [load for load in loads if load.is_local] or list(loads)


def service_load(
    group, *, data_centre, speeds, usual_ms, objective_ms, members, now_ms
):
    """Return the ``ServiceLoad`` of a service.

    Args:
        group: Its ``Target`` records that may get new flows, at least one.
        data_centre: The data centre whose balancers report.
        speeds: The ``TargetSpeeds``, which know the answers.
        usual_ms: Usual time of an answer.
        objective_ms: Time in which callers want theirs.
        members: Number of balancers that report.
        now_ms: Current time.
    """
    window_ms = max(WINDOW_MS, report_interval_ms(members))
    loads = {}
    for target in group:
        work_ms = usual_ms
        if target.cookie in speeds.shares:
            work_ms = max(usual_ms, speeds.work_ms.get(target.cookie, usual_ms))
        is_local = target.data_centre == data_centre
        waits, duration_ms = _latest_waits(target.cookie, speeds, window_ms, now_ms)
        loads[target.cookie] = TargetLoad(
            target.slots,
            len(waits),
            sum(waits) / len(waits) if waits else 0,
            len(waits) * 1_000 / duration_ms,
            work_ms,
            is_local,
        )
    centres = len({data_centre, *(target.data_centre for target in group)})
    return ServiceLoad(loads, group[0].slots, usual_ms, objective_ms, centres)


def _latest_waits(cookie, speeds, window_ms, now_ms):
    """Return a target's latest answer times, and the time in which they came."""
    waits = speeds.waits_since(cookie, now_ms - window_ms)
    if len(waits) >= MIN_WINDOW_ANSWERS:
        return waits, window_ms
    window_ms *= LONG_WINDOWS
    return speeds.waits_since(cookie, now_ms - window_ms), window_ms
