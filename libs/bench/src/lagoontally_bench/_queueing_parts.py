"""Targets, balancers and requests of the queueing model."""

from collections import deque


class Target:
    """A target: slots, a queue and a load report.

    Attributes:
        number: Its number.
        centre: Number of its data centre.
        slots: Requests that it runs at the same time.
        running: Number of requests in slots.
        waiting: Queue of the requests that wait for a slot.
        history: ``(time, jobs)`` of the latest changes, for delayed reports.
        reports_idle: True when it always reports a load of 0.
        factor: Multiplier of the service time.
        silent: True while it accepts requests and answers none.
        sheds: True while it sheds every request.
        started: Number of requests that it has started.
    """

    def __init__(self, number, centre, slots):
        self.number = number
        self.centre = centre
        self.slots = slots
        self.running = 0
        self.waiting = deque()
        self.history = deque([(0.0, 0)])
        self.reports_idle = False
        self.factor = 1.0
        self.silent = False
        self.sheds = False
        self.started = 0

    @property
    def jobs(self):
        """The number of running and waiting requests."""
        return self.running + len(self.waiting)

    def report(self, at_ms):
        """Return the jobs at an earlier time, or 0 if it always reports 0."""
        if self.reports_idle:
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
        reported_ms: Time that the latest load report describes, by target.
        sent_since: Requests sent since that report, by target.
        failures: Timed-out tries since the last answer, by target.
        closed_until_ms: Time before which it sends no new work, by target.
        retry_tokens: Retry budget: the number of retries that it may make now.
        next_position: Position in the round robin.
        placed: Requests placed as the dispatcher, by target; None before a run.
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
        self.next_position = number
        self.placed = None


class Job:
    """One request.

    Attributes:
        flow: Number of its flow; with a dispatcher, the ``Balancer`` that placed it.
        arrived_ms: When it arrived at its balancer.
        balancer: The balancer that received it.
        sender: The balancer that sent it to its target.
        target: The target of the latest try.
        tries: Numbers of the targets tried.
        work_ms: Its service time at normal speed.
        done: True once it is answered, refused or timed out.
    """

    __slots__ = (
        "arrived_ms",
        "balancer",
        "done",
        "flow",
        "sender",
        "target",
        "tries",
        "work_ms",
    )

    def __init__(self, flow, arrived_ms, balancer, work_ms):
        self.flow = flow
        self.arrived_ms = arrived_ms
        self.balancer = balancer
        self.sender = balancer
        self.target = None
        self.tries = []
        self.work_ms = work_ms
        self.done = False
