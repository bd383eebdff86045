"""Queueing model of one service: balancers, targets, load reports and a clock.

It knows no packets and no sessions: a request chooses a target by a policy,
waits there for a slot, and is answered or shed. Times are milliseconds.
"""

import heapq
from collections import deque
from itertools import count
from random import Random

NETWORK_MS = 1.0
SAMPLE_MS = 50.0
RELAY_MS = (0.5, 1.4)
TIMEOUT_MS = 10_000.0
TRY_MS = 2_000.0
RETRY_SHARE = 0.1
RETRY_TOKENS_MAX = 20.0
HEAVY_SHAPE = 1.5
HEAVY_CAP = 200.0
SLOW_FACTOR = 2.0
LATE_MS = 1_000.0
CALM_MS = 5_000.0


class Target:
    """A target: slots, a queue and a load report.

    Attributes:
        number: Its number.
        centre: Number of its data centre.
        slots: Requests that it runs at the same time.
        running: Requests in slots.
        waiting: Requests that wait for a slot.
        history: ``(time, jobs)`` of the latest changes, for aged reports.
        lies: True when it always reports that it is idle.
        factor: How much longer than usual it takes.
        silent: True while it takes requests and answers none.
        sheds: True while it sheds every request.
        started: Requests that it has started.
    """

    def __init__(self, number, centre, slots):
        self.number = number
        self.centre = centre
        self.slots = slots
        self.running = 0
        self.waiting = deque()
        self.history = deque([(0.0, 0)])
        self.lies = False
        self.factor = 1.0
        self.silent = False
        self.sheds = False
        self.started = 0

    @property
    def jobs(self):
        """Requests that run or wait."""
        return self.running + len(self.waiting)

    def report(self, at_ms):
        """Return the jobs at an earlier time, or a false number."""
        if self.lies:
            return 0
        while len(self.history) > 1 and self.history[1][0] <= at_ms:
            self.history.popleft()
        return self.history[0][1]


class Balancer:
    """A balancer's own view of the targets.

    Attributes:
        number: Its number.
        centre: Number of its data centre.
        in_flight: Its unanswered requests, by target.
        reported: The latest load report, by target.
        reported_ms: When it was read, by target.
        sent_since: Requests sent since that report, by target.
        failures: Tries without an answer since the last answer, by target.
        closed_until_ms: No new work before this time, by target.
        retry_tokens: Retries that it may make now.
        turn: Position of the round robin.
        known: What policies keep here.
    """

    def __init__(self, number, centre, targets):
        self.number = number
        self.centre = centre
        self.in_flight = [0] * targets
        self.reported = [0] * targets
        self.reported_ms = [0.0] * targets
        self.sent_since = [0] * targets
        self.failures = [0] * targets
        self.closed_until_ms = [0.0] * targets
        self.retry_tokens = 0.0
        self.turn = number
        self.known = None


class Job:
    """One request.

    Attributes:
        flow: Number of its flow.
        arrived_ms: When it arrived at its balancer.
        balancer: The balancer that got it.
        holder: The balancer that sent it to its target.
        target: The target of the latest try.
        tries: Numbers of the targets tried.
        work_ms: Its service time at usual speed.
        done: True once it is answered or given up.
    """

    __slots__ = (
        "arrived_ms",
        "balancer",
        "done",
        "flow",
        "holder",
        "target",
        "tries",
        "work_ms",
    )

    def __init__(self, flow, arrived_ms, balancer, work_ms):
        self.flow = flow
        self.arrived_ms = arrived_ms
        self.balancer = balancer
        self.holder = balancer
        self.target = None
        self.tries = []
        self.work_ms = work_ms
        self.done = False


class Model:
    """One run of a service under a policy.

    Attributes:
        now_ms: The virtual time.
        command_latencies: Latency of each answered command, where known.
        latencies: Latency of each answered request, with its end.
        jobs_imbalance: Samples of max over mean of the jobs at the targets.
        busy_imbalance: Samples of max over mean of the busy slots.
        sends: Requests sent to targets.
        troubles: When requests were refused, given up or answered late.
        healed_ms: When an outage has ended.
        counts: Requests shed, refused and given up.
    """

    def __init__(self, experiment, fleet, *, load, work, condition, policy, seed):
        self.experiment = experiment
        self.fleet = fleet
        self.work = work
        self.condition = condition
        self.random = Random(seed)
        self.now_ms = 0.0
        self.queue = []
        self.order = count()
        self.targets = [
            Target(number, number % fleet.centres, fleet.slots)
            for number in range(fleet.targets)
        ]
        self.balancers = [
            Balancer(number, number % fleet.centres, fleet.targets)
            for number in range(fleet.balancers)
        ]
        self.policy = policy
        slots = fleet.targets * fleet.slots
        self.gap_ms = experiment.mean_work_ms / (load * slots)
        self.end_ms = experiment.requests * self.gap_ms
        self.left = experiment.requests
        self.latencies = []
        self.command_latencies = []
        self.jobs_imbalance = []
        self.busy_imbalance = []
        self.sends = 0
        self.troubles = []
        self.healed_ms = 0.0
        self.counts = {"shed": 0, "refused": 0, "timed_out": 0, "retried": 0}

    def after(self, delay_ms, action, *arguments):
        """Call ``action`` after a delay."""
        entry = (self.now_ms + delay_ms, next(self.order), action, arguments)
        heapq.heappush(self.queue, entry)

    def pop(self):
        """Remove and return what is due next."""
        return heapq.heappop(self.queue)

    def run(self):
        """Run until every request has ended; return the model."""
        self._plan()
        self.policy.start(self)
        self.after(0, self._arrive)
        self.after(SAMPLE_MS, self._sample)
        for balancer in self.balancers:
            self.after(self.random.random() * 1_000, self._read_reports, balancer)
        while self.queue:
            self.now_ms, _, action, arguments = self.pop()
            action(*arguments)
        return self

    def _plan(self):
        condition = self.condition
        third_ms = (self.end_ms - self.now_ms) / 3
        for target in self.targets[: condition.liars]:
            target.lies = True
        for target in self.targets[: condition.half_speed]:
            target.factor = SLOW_FACTOR
        for target in self.targets[: condition.cold]:
            self.after(third_ms, setattr, target, "factor", condition.cold_factor)
            self.after(third_ms + condition.cold_ms, setattr, target, "factor", 1.0)
        for target in self.targets[: condition.shedding]:
            self.after(third_ms, setattr, target, "sheds", True)
            self.after(2 * third_ms, setattr, target, "sheds", False)
        for target in self.targets[: condition.silent]:
            self._plan_silence(target, third_ms, third_ms)
        if condition.outage_ms:
            self.healed_ms = self.now_ms + third_ms + condition.outage_ms
            for target in self.targets:
                self._plan_silence(target, third_ms, condition.outage_ms)

    def _plan_silence(self, target, start_ms, duration_ms):
        self.after(start_ms, setattr, target, "silent", True)
        self.after(start_ms + duration_ms, self._heal, target)

    def _heal(self, target):
        target.silent = False
        target.running = 0
        target.waiting.clear()
        target.history.append((self.now_ms, 0))

    def _work_ms(self):
        mean_ms = self.experiment.mean_work_ms
        if self.work == "exponential":
            return self.random.expovariate(1 / mean_ms)
        scale_ms = mean_ms * (HEAVY_SHAPE - 1) / HEAVY_SHAPE
        drawn_ms = scale_ms * self.random.paretovariate(HEAVY_SHAPE)
        return min(drawn_ms, HEAVY_CAP * scale_ms)

    def _arrive(self):
        self.left -= 1
        if self.left > 0:
            self.after(self.random.expovariate(1 / self.gap_ms), self._arrive)
        balancer = self.random.choice(self.balancers)
        flow = self.random.randrange(2_000)
        job = Job(flow, self.now_ms, balancer, self._work_ms())
        balancer.retry_tokens += RETRY_SHARE
        balancer.retry_tokens = min(balancer.retry_tokens, RETRY_TOKENS_MAX)
        self.policy.place(job, self)

    def hop_ms(self, one, other):
        """Return the delay of a peer message between two balancers."""
        base_ms = self.random.uniform(*RELAY_MS)
        return base_ms if one.centre == other.centre else base_ms + self.fleet.hop_ms

    def usable(self, balancer, tried=()):
        """Return the targets that a balancer may choose."""
        left = [target for target in self.targets if target.number not in tried]
        closed = balancer.closed_until_ms
        return [item for item in left if closed[item.number] <= self.now_ms] or left

    def send(self, job, holder, target):
        """Send a request to a target; ``holder`` waits for the answer."""
        job.holder = holder
        job.target = target
        job.tries.append(target.number)
        holder.in_flight[target.number] += 1
        holder.sent_since[target.number] += 1
        self.sends += 1
        far = holder.centre != target.centre
        delay_ms = NETWORK_MS + (self.fleet.hop_ms if far else 0.0)
        self.after(delay_ms, self._reach, job, target)
        self.after(TRY_MS, self._time_out, job, len(job.tries))

    def _reach(self, job, target):
        if target.sheds or target.jobs >= target.slots + self.experiment.queue:
            self.after(NETWORK_MS, self._shed, job)
            return
        target.waiting.append(job)
        self._fill(target)

    def _fill(self, target):
        while not target.silent and target.waiting and target.running < target.slots:
            job = target.waiting.popleft()
            target.running += 1
            target.started += 1
            self.after(job.work_ms * target.factor, self._finish, job, target)
        target.history.append((self.now_ms, target.jobs))

    def _finish(self, job, target):
        if target.silent:
            return
        target.running = max(0, target.running - 1)
        self._fill(target)
        self.after(NETWORK_MS, self._answer, job, target)

    def _release(self, job, *, answered):
        number = job.target.number
        job.holder.in_flight[number] -= 1
        self.policy.released(job, self, answered=answered)

    def _answer(self, job, target):
        if job.done or target is not job.target:
            return
        job.done = True
        self._release(job, answered=True)
        job.holder.failures[target.number] = 0
        job.holder.closed_until_ms[target.number] = 0.0
        self.note_latency(self.now_ms - job.arrived_ms)

    def note_latency(self, latency_ms):
        """Note an answered request."""
        self.latencies.append((self.now_ms, latency_ms))
        if latency_ms > LATE_MS:
            self.troubles.append(self.now_ms)

    def recovery_s(self):
        """Return how long after an outage the last trouble of its wake was seen."""
        last_ms = self.healed_ms
        for at_ms in self.troubles:
            if at_ms < self.healed_ms:
                continue
            if at_ms - last_ms > CALM_MS:
                break
            last_ms = at_ms
        return round((last_ms - self.healed_ms) / 1000, 2)

    def _shed(self, job):
        if job.done:
            return
        self.counts["shed"] += 1
        self._release(job, answered=False)
        if not self._retry(job):
            job.done = True
            self.counts["refused"] += 1
            self.troubles.append(self.now_ms)

    def _time_out(self, job, tries):
        if job.done or len(job.tries) != tries:
            return
        waited_ms = self.now_ms - job.arrived_ms
        silent = job.target.silent
        if not silent and waited_ms < TIMEOUT_MS:
            # A slow answer is waited for, as for a command.
            self.after(TIMEOUT_MS - waited_ms, self._time_out, job, tries)
            return
        self._release(job, answered=False)
        holder, number = job.holder, job.target.number
        holder.failures[number] += 1
        if holder.failures[number] >= 3:
            holder.closed_until_ms[number] = self.now_ms + 5_000.0
        if waited_ms >= TIMEOUT_MS or not self._retry(job):
            job.done = True
            self.counts["timed_out"] += 1
            self.troubles.append(self.now_ms)
            self.latencies.append((self.now_ms, TIMEOUT_MS))

    def _retry(self, job):
        holder = job.holder
        if holder.retry_tokens < 1.0 or len(job.tries) >= len(self.targets):
            return False
        holder.retry_tokens -= 1.0
        self.counts["retried"] += 1
        self.policy.place(job, self)
        return True

    def _read_reports(self, balancer):
        """Let a balancer read every target's load report."""
        at_ms = self.now_ms - self.condition.report_age_ms
        for target in self.targets:
            balancer.reported[target.number] = target.report(at_ms)
            balancer.reported_ms[target.number] = at_ms
            balancer.sent_since[target.number] = 0
        if self.left > 0:
            self.after(self.experiment.report_every_ms, self._read_reports, balancer)

    def _sample(self):
        if self.left <= 0:
            return
        jobs = [target.jobs for target in self.targets]
        busy = [min(target.jobs, target.slots) for target in self.targets]
        self.jobs_imbalance.append((self.now_ms, _max_over_mean(jobs)))
        self.busy_imbalance.append((self.now_ms, _max_over_mean(busy)))
        self.after(SAMPLE_MS, self._sample)


def _max_over_mean(values):
    total = sum(values)
    return max(values) * len(values) / total if total else 1.0
