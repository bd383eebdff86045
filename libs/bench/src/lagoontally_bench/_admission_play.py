"""Plays of too little room: the packet balancer's decisions in the queueing model."""

from random import Random

from lagoontally_flows import (
    ACK,
    FIN,
    SYN,
    Balancer,
    Configuration,
    Forward,
    Packet,
    Route,
    Target,
    target_cookie,
)

from ._experiment import Condition, Experiment, Fleet
from ._policies import Policy
from ._queueing import Model
from ._queueing_parts import Job

SERVICE = "desk"
CONFIRMATION = Route("confirmation", ((SERVICE, 1),), False, 600, 3_600, 1)
LOOKUP = Route("lookup", ((SERVICE, 1),), True, 600, 3_600, 2)
WORTH = {CONFIRMATION: 2.0, LOOKUP: 1.0}
LATE_WORTH = 0.3  # credit of an answer after the objective; 1 before it
CONFIRMATION_SHARE = 2 / 9
RETRIES = 2
RETRY_DELAY_MS = 5.0
REFUSAL_DELAY_MS = 80.0  # a full target is slow to say so
TICK_MS = 50.0
EPOCH_MS = 1_000_000
MEAN_WORK_MS = 24.0
SLOW_FACTOR = 6.0
ANSWER_BYTES = {True: 2_400, False: 160}
PLACES = {CONFIRMATION: (0xC6120001, 443), LOOKUP: (0xC6120002, 443)}
CONFIGURATION = Configuration(
    1, {place: route for route, place in PLACES.items()}, 15_000
)


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


class PacketBalancers(Policy):
    """One packet balancer for each of the model's.

    Args:
        admits_all: Whether admission is switched off.
    """

    def __init__(self, *, admits_all):
        self.admits_all = admits_all

    def start(self, model):
        """Start the balancers with all targets listed."""
        self.next_port = 0
        listed = [_listed(target) for target in model.targets]
        entries = {target.name.hex(): target for target in listed}
        self.balancers = []
        for one in model.balancers:
            random = Random(model.random.random())
            balancer = Balancer(data_centre=str(one.centre), random=random)
            balancer.configure(CONFIGURATION)
            balancer.admission.enabled = not self.admits_all
            balancer.admission.members = len(model.balancers)
            balancer.on_listing(entries, EPOCH_MS)
            self.balancers.append(balancer)
            model.after(model.random.random() * TICK_MS, self._tick, balancer, model)

    def _tick(self, balancer, model):
        balancer.on_tick(_time(model))
        balancer.take_effects()
        if model.remaining > 0:
            model.after(TICK_MS, self._tick, balancer, model)

    def place(self, job, model):
        """Send a SYN, and the request once the flow is open."""
        self.next_port += 1
        port = 1_024 + self.next_port % 60_000
        job.key = (job.flow + self.next_port // 60_000, port, *PLACES[job.route])
        balancer = self.balancers[job.balancer.number]
        action = balancer.on_packet(Packet(job.key, SYN, 0, 99, 0, 0), _time(model))
        if not isinstance(action, Forward):
            model.on_reset(job)
            return
        job.cookie = action.target.cookie
        number = int.from_bytes(action.target.name, "big") - 1
        model.send(job, job.balancer, model.targets[number])
        for length in (0, 100):
            packet = Packet(job.key, ACK, job.cookie, 100, 1, length)
            balancer.on_packet(packet, _time(model))

    def on_release(self, job, model, *, answered):
        """Acknowledge the answer and end the flow."""
        acknowledged = 1 + ANSWER_BYTES[answered]
        packet = Packet(job.key, ACK | FIN, job.cookie, 200, acknowledged, 0)
        self.balancers[job.sender.number].on_packet(packet, _time(model))


class Play(Model):
    """Callers of two kinds, who try again at another balancer.

    Attributes:
        earned: Credit earned, by route.
        owed: Credit owed, by route.
        refused_ms: How long each request took to be refused for good.
    """

    def __init__(
        self, *, load, balancers=30, slow=0, admits_all=False, seed=1, **sizes
    ):
        targets, seconds = sizes.get("targets", 60), sizes.get("seconds", 4.0)
        fleet = Fleet("desk", targets, balancers=balancers, centres=3)
        rate = load * targets * fleet.slots / MEAN_WORK_MS
        experiment = Experiment(
            name="room",
            seed=seed,
            requests=int(rate * seconds * 1_000),
            fleets=(fleet,),
            loads=(load,),
            work=("exponential",),
            policies=(),
            conditions=(),
            mean_work_ms=MEAN_WORK_MS,
            queue=8,
        )
        super().__init__(
            experiment,
            fleet,
            load=load,
            work="exponential",
            condition=Condition("room"),
            policy=PacketBalancers(admits_all=admits_all),
            seed=seed,
        )
        for target in self.targets[:slow]:
            target.factor = SLOW_FACTOR
        self.rate_per_ms = rate
        self.earned = dict.fromkeys(WORTH, 0.0)
        self.owed = dict.fromkeys(WORTH, 0.0)
        self.refused_ms = []
        self.resets = 0

    def share(self, route):
        """Return the share of a kind's credit that was earned."""
        return self.earned[route] / self.owed[route]

    def limits(self):
        """Return the share of each kind that one queue with all slots could serve."""
        fleet = self.fleet
        left = sum(fleet.slots / target.factor for target in self.targets)
        left /= MEAN_WORK_MS
        limits = {}
        for route, part in (
            (CONFIRMATION, CONFIRMATION_SHARE),
            (LOOKUP, 1 - CONFIRMATION_SHARE),
        ):
            asked = part * self.rate_per_ms
            limits[route] = min(1.0, left / asked)
            left = max(0.0, left - asked)
        return limits

    def credit(self):
        """Return the credit earned, relative to that of one queue."""
        limits = self.limits()
        most = sum(self.owed[route] * limits[route] for route in WORTH)
        return sum(self.earned.values()) / most

    def new_job(self, flow, balancer):
        """Return a request of a kind that is drawn."""
        drawn = self.random.random() < CONFIRMATION_SHARE
        route = CONFIRMATION if drawn else LOOKUP
        self.owed[route] += WORTH[route]
        return Request(route, flow, self.now_ms, balancer, self._work_ms())

    def on_reset(self, job):
        """Let a caller whose SYN was reset try again."""
        self.resets += 1
        self._try_again(job)

    def _answer(self, job, target):
        if not job.done and target is job.target:
            latency_ms = self.now_ms - job.arrived_ms
            if latency_ms <= job.route.objective_ms:
                self.earned[job.route] += WORTH[job.route]
            elif latency_ms <= job.route.deadline_ms:
                self.earned[job.route] += LATE_WORTH * WORTH[job.route]
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
        job.balancer = self.random.choice(self.balancers)
        self.after(RETRY_DELAY_MS, self.policy.place, job, self)
        return True


def _time(model):
    return EPOCH_MS + int(model.now_ms)


def _listed(target):
    name = (target.number + 1).to_bytes(8, "big")
    return Target(
        name=name,
        born=0,
        cookie=target_cookie(name, 0),
        address=(f"10.0.0.{target.number + 1}", 8080),
        data_centre=str(target.centre),
        service=SERVICE,
        slots=target.slots,
        leaving=False,
        warm_up_ms=0,
    )
