"""Plays of too little room: the packet balancer's decisions in the queueing model."""

from math import log
from typing import NamedTuple

from ._experiment import Condition, Experiment, Fleet
from ._packet_balancers import CONFIRMATION, LOOKUP, PacketBalancers
from ._queueing import NETWORK_DELAY_MS, Model
from ._queueing_parts import Job

WORTH = {CONFIRMATION: 2.0, LOOKUP: 1.0}
LATE_WORTH = 0.3  # credit of an answer after the objective; 1 before it
CONFIRMATION_SHARE = 2 / 9
RETRIES = 2
RETRY_DELAY_MS = 5.0
REFUSAL_DELAY_MS = 80.0  # a full target is slow to say so
NOTICE_MS = 150.0  # until balancers know that a target went down or came back
MEAN_WORK_MS = 24.0
SLOW_FACTOR = 6.0
WORK_SPREAD = 0.5  # sigma of the lognormal distribution of work times
WINDOW_MS = 2_000


class Fault(NamedTuple):
    """A change of some targets for a while.

    Attributes:
        at_ms: When it begins.
        for_ms: How long it lasts.
        targets: Numbers of the targets.
        factor: Multiplier of their work time, 0 where they are down.
    """

    at_ms: float
    for_ms: float
    targets: tuple[int, ...]
    factor: float


class Request(Job):
    """A request of one kind.

    Attributes:
        route: The ``Route`` of its kind.
        attempts: Flows that its caller has opened for it.
        key: Flow key of the latest one.
        cookie: Cookie of its target.
    """

    __slots__ = ("attempts", "cookie", "key", "route")

    def __init__(self, route, *fields):
        super().__init__(*fields)
        self.route = route
        self.attempts = 1
        self.key = None
        self.cookie = 0


class Play(Model):
    """Callers of two kinds, who try again at another balancer.

    Args:
        load: Requests relative to what all slots can do.
        balancers: Number of balancers, in three data centres.
        slow: Number of targets that are slow all the time.
        admits_all: Whether balancers let all in.
        seed: Seed of all random choices.
        seconds: How long callers come.
        targets: Number of targets.
        slots: Slots of each.
        queue: Requests that wait at each.
        work_ms: Mean work time.
        work: Distribution of the work time, ``lognormal`` or one of ``Experiment``.
        objective_ms: Time in which callers want their answers.
        advised: Whether balancers share load reports.
        faults: ``Fault`` records.
        demand: Relative demand of the data centres' callers, empty if it is even.
        burst: When more callers come, how long they do, and by which factor.

    Attributes:
        earned: Credit earned, by route.
        owed: Credit owed, by route.
        windows: Pairs of the credit owed and earned, by the window of arrival.
        refused_ms: How long each request took to be refused for good.
    """

    def __init__(
        self,
        *,
        load,
        balancers=30,
        slow=0,
        admits_all=False,
        seed=1,
        seconds=4.0,
        targets=60,
        slots=2,
        queue=8,
        work_ms=MEAN_WORK_MS,
        work="exponential",
        objective_ms=600,
        advised=False,
        faults=(),
        demand=(),
        burst=(0.0, 0.0, 1.0),
    ):
        fleet = Fleet(
            "desk", targets, slots, balancers=balancers, centres=3, demand=demand
        )
        rate = load * targets * fleet.slots / work_ms
        burst_at_ms, burst_ms, factor = burst
        seconds += burst_ms * (factor - 1.0) / 1_000
        experiment = Experiment(
            name="room",
            seed=seed,
            requests=int(rate * seconds * 1_000),
            fleets=(fleet,),
            loads=(load,),
            work=(work,),
            policies=(),
            conditions=(),
            mean_work_ms=work_ms,
            queue=queue,
        )
        super().__init__(
            experiment,
            fleet,
            load=load,
            work=work,
            condition=Condition("room"),
            policy=PacketBalancers(
                admits_all=admits_all, advised=advised, objective_ms=objective_ms
            ),
            seed=seed,
        )
        for target in self.targets[:slow]:
            target.factor = SLOW_FACTOR
        self.by_centre = {}
        for one in self.balancers:
            self.by_centre.setdefault(one.centre, []).append(one)
        self.objective_ms = objective_ms
        self.faults = faults
        self.rate_per_ms = rate
        self.earned = dict.fromkeys(WORTH, 0.0)
        self.owed = dict.fromkeys(WORTH, 0.0)
        self.windows = {}
        self.refused_ms = []
        self.resets = 0
        self.burst = burst
        self.after(burst_at_ms, self._set_rate, factor)
        self.after(burst_at_ms + burst_ms, self._set_rate, 1.0)
        for fault in faults:
            self.after(fault.at_ms, self._begin, fault)
            self.after(fault.at_ms + fault.for_ms, self._end, fault)

    def share(self, route):
        """Return the share of a kind's credit that was earned."""
        return self.earned[route] / self.owed[route]

    def limits(self):
        """Return the share of each kind that one queue with all slots could serve."""
        return self._limits([target.factor for target in self.targets])

    def credit(self):
        """Return the credit earned, relative to that of one queue."""
        limits = self.limits()
        most = sum(self.owed[route] * limits[route] for route in WORTH)
        return sum(self.earned.values()) / most

    def window_credits(self):
        """Return the credit earned relative to one queue's, by window of arrival."""
        return {
            window * WINDOW_MS: earned / (owed * self._window_limit(window * WINDOW_MS))
            for window, (owed, earned) in sorted(self.windows.items())
        }

    def new_job(self, flow, balancer):
        """Return a request of a kind that is drawn."""
        drawn = self.random.random() < CONFIRMATION_SHARE
        route = CONFIRMATION if drawn else LOOKUP
        self.owed[route] += WORTH[route]
        self._window(self.now_ms)[0] += WORTH[route]
        return Request(route, flow, self.now_ms, balancer, self._work_ms())

    def on_reset(self, job):
        """Let a caller whose SYN was reset try again."""
        self.resets += 1
        self._try_again(job)

    def _work_ms(self):
        if self.work != "lognormal":
            return super()._work_ms()
        location = log(self.experiment.mean_work_ms) - WORK_SPREAD**2 / 2
        return self.random.lognormvariate(location, WORK_SPREAD)

    def _window(self, at_ms):
        return self.windows.setdefault(int(at_ms // WINDOW_MS), [0.0, 0.0])

    def _burst_factor(self, begin_ms):
        at_ms, for_ms, factor = self.burst
        return factor if at_ms < begin_ms + WINDOW_MS / 2 < at_ms + for_ms else 1.0

    def _limits(self, factors, burst=1.0):
        """Return what one queue could serve; a target whose factor is 0 is down."""
        left = sum(self.fleet.slots / factor for factor in factors if factor)
        left /= self.experiment.mean_work_ms
        limits = {}
        for route, part in (
            (CONFIRMATION, CONFIRMATION_SHARE),
            (LOOKUP, 1 - CONFIRMATION_SHARE),
        ):
            asked = part * self.rate_per_ms * burst
            limits[route] = min(1.0, left / asked)
            left = max(0.0, left - asked)
        return limits

    def _window_limit(self, begin_ms):
        """Return the part of a window's credit that one queue could earn."""
        factors = [1.0] * len(self.targets)
        for fault in self.faults:
            if fault.at_ms < begin_ms + WINDOW_MS / 2 < fault.at_ms + fault.for_ms:
                for number in fault.targets:
                    factors[number] = min(factors[number], 1.0) and fault.factor
        limits = self._limits(factors, self._burst_factor(begin_ms))
        parts = {CONFIRMATION: CONFIRMATION_SHARE, LOOKUP: 1 - CONFIRMATION_SHARE}
        owed = {route: WORTH[route] * part for route, part in parts.items()}
        return sum(owed[one] * limits[one] for one in owed) / sum(owed.values())

    def _set_rate(self, factor):
        self.mean_interarrival_ms = 1.0 / (self.rate_per_ms * factor)

    def _begin(self, fault):
        for number in fault.targets:
            target = self.targets[number]
            if fault.factor:
                target.factor = fault.factor
                continue
            self._crash(target)
            self.after(NOTICE_MS, self.policy.probe, target, self)

    def _end(self, fault):
        for number in fault.targets:
            target = self.targets[number]
            target.factor = 1.0
            if not fault.factor:
                target.sheds = False
                self.after(NOTICE_MS, self.policy.probe, target, self)

    def _crash(self, target):
        target.sheds = True
        for job in target.waiting:
            self.after(NETWORK_DELAY_MS, self._shed, job)
        target.waiting.clear()

    def _finish(self, job, target):
        if target.sheds:
            target.running -= 1
            self._shed(job)
            return
        super()._finish(job, target)

    def _answer(self, job, target):
        if not job.done and target is job.target:
            latency_ms = self.now_ms - job.arrived_ms
            credit = 0.0
            if latency_ms <= self.objective_ms:
                credit = WORTH[job.route]
            elif latency_ms <= job.route.deadline_ms:
                credit = LATE_WORTH * WORTH[job.route]
            self.earned[job.route] += credit
            self._window(job.arrived_ms)[1] += credit
        super()._answer(job, target)

    def _reach_target(self, job, target):
        if target.jobs >= target.slots + self.experiment.queue:
            self.after(REFUSAL_DELAY_MS, self._shed, job)
            return
        super()._reach_target(job, target)

    def _retry(self, job):
        return self._try_again(job)

    def _try_again(self, job):
        if job.attempts > RETRIES:
            job.done = True
            self.refused_ms.append(self.now_ms - job.arrived_ms)
            return False
        job.attempts += 1
        job.balancer = self.random.choice(self.by_centre[job.balancer.centre])
        self.after(RETRY_DELAY_MS, self.policy.place, job, self)
        return True
