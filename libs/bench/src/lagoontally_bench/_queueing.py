"""Queueing model of one service: balancers, targets, load reports and a clock.

It models no packets and no sessions: a policy selects a target for each request,
which waits there for a slot and is answered or shed. Times are milliseconds.
"""

import heapq
from itertools import count
from random import Random

from ._queueing_parts import Balancer, Job, Target

NETWORK_DELAY_MS = 1.0
SAMPLE_INTERVAL_MS = 50.0
RELAY_DELAY_RANGE_MS = (0.5, 1.4)
REQUEST_TIMEOUT_MS = 10_000.0
TRY_TIMEOUT_MS = 2_000.0
RETRY_TOKENS_PER_REQUEST = 0.1
MAX_RETRY_TOKENS = 20.0
PARETO_SHAPE = 1.5
MAX_PARETO_FACTOR = 200.0
LATE_LATENCY_MS = 1_000.0
RECOVERY_GAP_MS = 5_000.0


class Model:
    """One run of a service under a policy.

    Attributes:
        now_ms: The virtual time.
        hop_ms: One-way delay between two data centres.
        command_latencies: Latency of each answered command; real cores only.
        latencies: ``(time, latency)`` of each request that was answered or timed out.
        waits: Latency less the work at normal speed, of each answered request.
        jobs_imbalance: Samples of max over mean of the jobs at the targets.
        busy_imbalance: Samples of max over mean of the busy slots.
        sends: Requests sent to targets.
        failure_times_ms: When requests were refused, timed out or answered late.
        outage_end_ms: When an outage has ended.
        counts: Number of requests shed, refused, timed out and retried.
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
        demand = fleet.demand or [1.0] * fleet.centres
        self.weights = [demand[one.centre] for one in self.balancers]
        self.hop_ms = fleet.hop_ms
        self.policy = policy
        slots = fleet.targets * fleet.slots
        self.mean_interarrival_ms = experiment.mean_work_ms / (load * slots)
        self.end_ms = experiment.requests * self.mean_interarrival_ms
        self.remaining = experiment.requests
        self.latencies = []
        self.waits = []
        self.command_latencies = []
        self.jobs_imbalance = []
        self.busy_imbalance = []
        self.sends = 0
        self.failure_times_ms = []
        self.outage_end_ms = 0.0
        self.counts = {"shed": 0, "refused": 0, "timed_out": 0, "retried": 0}

    def after(self, delay_ms, action, *arguments):
        """Call ``action`` after a delay."""
        entry = (self.now_ms + delay_ms, next(self.order), action, arguments)
        heapq.heappush(self.queue, entry)

    def pop(self):
        """Remove and return the entry that is due next."""
        return heapq.heappop(self.queue)

    def run(self):
        """Run until every request has ended; return the model."""
        self._schedule_condition()
        self.policy.start(self)
        self.after(0, self._arrive)
        self.after(SAMPLE_INTERVAL_MS, self._sample)
        for balancer in self.balancers:
            self.after(self.random.random() * 1_000, self._read_reports, balancer)
        while self.queue:
            self.now_ms, _, action, arguments = self.pop()
            action(*arguments)
        return self

    def _schedule_condition(self):
        condition = self.condition
        third_ms = (self.end_ms - self.now_ms) / 3
        for target in self.targets[: condition.liars]:
            target.reports_idle = True
        for target in self.targets[: condition.half_speed]:
            self.after(
                condition.onset * (self.end_ms - self.now_ms),
                setattr,
                target,
                "factor",
                condition.slow_factor,
            )
        for target in self.targets[: condition.cold]:
            self.after(third_ms, setattr, target, "factor", condition.cold_factor)
            self.after(third_ms + condition.cold_ms, setattr, target, "factor", 1.0)
        for target in self.targets[: condition.shedding]:
            self.after(third_ms, setattr, target, "sheds", True)
            self.after(2 * third_ms, setattr, target, "sheds", False)
        for target in self.targets[: condition.silent]:
            self._schedule_silence(target, third_ms, third_ms)
        if condition.outage_ms:
            self.outage_end_ms = self.now_ms + third_ms + condition.outage_ms
            for target in self.targets:
                self._schedule_silence(target, third_ms, condition.outage_ms)

    def _schedule_silence(self, target, start_ms, duration_ms):
        self.after(start_ms, setattr, target, "silent", True)
        self.after(start_ms + duration_ms, self._end_silence, target)

    def _end_silence(self, target):
        target.silent = False
        target.running = 0
        target.waiting.clear()
        target.history.append((self.now_ms, 0))

    def _work_ms(self):
        mean_ms = self.experiment.mean_work_ms
        if self.work == "exponential":
            return self.random.expovariate(1 / mean_ms)
        scale_ms = mean_ms * (PARETO_SHAPE - 1) / PARETO_SHAPE
        drawn_ms = scale_ms * self.random.paretovariate(PARETO_SHAPE)
        return min(drawn_ms, MAX_PARETO_FACTOR * scale_ms)

    def _arrive(self):
        self.remaining -= 1
        if self.remaining > 0:
            self.after(
                self.random.expovariate(1 / self.mean_interarrival_ms), self._arrive
            )
        balancer = self._receiver()
        flow = self.random.randrange(2_000)
        job = self.new_job(flow, balancer)
        balancer.retry_tokens += RETRY_TOKENS_PER_REQUEST
        balancer.retry_tokens = min(balancer.retry_tokens, MAX_RETRY_TOKENS)
        self.policy.place(job, self)

    def _receiver(self):
        if not self.fleet.demand or self.now_ms < self.condition.onset * self.end_ms:
            return self.random.choice(self.balancers)
        return self.random.choices(self.balancers, self.weights)[0]

    def new_job(self, flow, balancer):
        """Return a request that has just arrived."""
        return Job(flow, self.now_ms, balancer, self._work_ms())

    def peer_delay_ms(self, one, other):
        """Return the delay of a peer message between two balancers."""
        base_ms = self.random.uniform(*RELAY_DELAY_RANGE_MS)
        return base_ms if one.centre == other.centre else base_ms + self.hop_ms

    def usable(self, balancer, tried=()):
        """Return the targets that a balancer may select."""
        left = [target for target in self.targets if target.number not in tried]
        closed = balancer.closed_until_ms
        return [item for item in left if closed[item.number] <= self.now_ms] or left

    def send(self, job, sender, target):
        """Send a request to a target; ``sender`` waits for the answer."""
        job.sender = sender
        job.target = target
        job.tries.append(target.number)
        sender.in_flight[target.number] += 1
        sender.sent_since[target.number] += 1
        self.sends += 1
        far = sender.centre != target.centre
        delay_ms = NETWORK_DELAY_MS + (self.hop_ms if far else 0.0)
        self.after(delay_ms, self._reach_target, job, target)
        self.after(TRY_TIMEOUT_MS, self._time_out, job, len(job.tries))

    def _reach_target(self, job, target):
        if target.sheds or target.jobs >= target.slots + self.experiment.queue:
            self.after(NETWORK_DELAY_MS, self._shed, job)
            return
        target.waiting.append(job)
        self._start_queued(target)

    def _start_queued(self, target):
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
        self._start_queued(target)
        self.after(NETWORK_DELAY_MS, self._answer, job, target)

    def _release(self, job, *, answered):
        number = job.target.number
        job.sender.in_flight[number] -= 1
        self.policy.on_release(job, self, answered=answered)

    def _answer(self, job, target):
        if job.done or target is not job.target:
            return
        job.done = True
        self._release(job, answered=True)
        job.sender.failures[target.number] = 0
        job.sender.closed_until_ms[target.number] = 0.0
        self.waits.append(self.now_ms - job.arrived_ms - job.work_ms)
        self.record_latency(self.now_ms - job.arrived_ms)

    def record_latency(self, latency_ms):
        """Record the latency of an answered request."""
        self.latencies.append((self.now_ms, latency_ms))
        if latency_ms > LATE_LATENCY_MS:
            self.failure_times_ms.append(self.now_ms)

    def recovery_s(self):
        """Return the time from the end of an outage to its last related failure.

        A failure-free interval longer than ``RECOVERY_GAP_MS`` ends the recovery.
        """
        last_ms = self.outage_end_ms
        for at_ms in self.failure_times_ms:
            if at_ms < self.outage_end_ms:
                continue
            if at_ms - last_ms > RECOVERY_GAP_MS:
                break
            last_ms = at_ms
        return round((last_ms - self.outage_end_ms) / 1000, 2)

    def _shed(self, job):
        if job.done:
            return
        self.counts["shed"] += 1
        self._release(job, answered=False)
        if not self._retry(job):
            job.done = True
            self.counts["refused"] += 1
            self.failure_times_ms.append(self.now_ms)

    def _time_out(self, job, tries):
        if job.done or len(job.tries) != tries:
            return
        waited_ms = self.now_ms - job.arrived_ms
        silent = job.target.silent
        if not silent and waited_ms < REQUEST_TIMEOUT_MS:
            # The target is slow but not silent: wait on, as for a command.
            self.after(REQUEST_TIMEOUT_MS - waited_ms, self._time_out, job, tries)
            return
        self._release(job, answered=False)
        sender, number = job.sender, job.target.number
        sender.failures[number] += 1
        if sender.failures[number] >= 3:
            sender.closed_until_ms[number] = self.now_ms + 5_000.0
        if waited_ms >= REQUEST_TIMEOUT_MS or not self._retry(job):
            job.done = True
            self.counts["timed_out"] += 1
            self.failure_times_ms.append(self.now_ms)
            self.latencies.append((self.now_ms, REQUEST_TIMEOUT_MS))

    def _retry(self, job):
        sender = job.sender
        if sender.retry_tokens < 1.0 or len(job.tries) >= len(self.targets):
            return False
        sender.retry_tokens -= 1.0
        self.counts["retried"] += 1
        self.policy.place(job, self)
        return True

    def _read_reports(self, balancer):
        """Read every target's load report for a balancer."""
        at_ms = self.now_ms - self.condition.report_age_ms
        for target in self.targets:
            balancer.reported[target.number] = target.report(at_ms)
            balancer.reported_ms[target.number] = at_ms
            balancer.sent_since[target.number] = 0
        if self.remaining > 0:
            self.after(self.experiment.report_every_ms, self._read_reports, balancer)

    def _sample(self):
        if self.remaining <= 0:
            return
        jobs = [target.jobs for target in self.targets]
        busy = [min(target.jobs, target.slots) for target in self.targets]
        self.jobs_imbalance.append((self.now_ms, _max_over_mean(jobs)))
        self.busy_imbalance.append((self.now_ms, _max_over_mean(busy)))
        self.after(SAMPLE_INTERVAL_MS, self._sample)


def _max_over_mean(values):
    total = sum(values)
    return max(values) * len(values) / total if total else 1.0
