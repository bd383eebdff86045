"""Target selection policies for the queueing model."""

from collections import deque
from random import Random

from lagoontally_core import rendezvous_pick
from lagoontally_flows import (
    Balancer,
    Configuration,
    LoadReport,
    Service,
    Target,
    select_target,
    target_order,
)

REPORT_HALF_LIFE_MS = 1_000.0
PREFERRED_TARGETS = 5
SERVICE = "modelled"
CONFIGURATION = Configuration(1, {}, 15_000, {SERVICE: Service(SERVICE, 0, 0.0, 0)})


class Policy:
    """A policy by which each balancer selects targets on its own."""

    def start(self, model):
        """Prepare for a run."""

    def place(self, job, model):
        """Select a target and send the request there."""
        balancer = job.balancer
        usable = model.usable(balancer, job.tries)
        model.send(job, balancer, self.choose(balancer, usable, job, model))

    def choose(self, balancer, usable, job, model):
        """Return the selected target."""
        raise NotImplementedError

    def on_release(self, job, model, *, answered):
        """Handle the end of a try: answered, shed or timed out."""


class RandomChoice(Policy):
    """A random target."""

    def choose(self, balancer, usable, job, model):
        """Return a random target."""
        return model.random.choice(usable)


class RoundRobin(Policy):
    """Each target in turn, counted separately at each balancer."""

    def choose(self, balancer, usable, job, model):
        """Return the next target."""
        balancer.next_position += 1
        return usable[balancer.next_position % len(usable)]


class LeastOwn(Policy):
    """The target with the fewest of the balancer's own requests."""

    def choose(self, balancer, usable, job, model):
        """Return the target with the fewest own requests."""
        return min(usable, key=lambda t: (own_load(balancer, t), model.random.random()))


class TwoOwn(Policy):
    """The better of two random targets, by the balancer's own requests."""

    def choose(self, balancer, usable, job, model):
        """Return the better of two random targets."""
        return better_of_two(usable, lambda t: own_load(balancer, t), model)


class Rendezvous(Policy):
    """The target with the highest weight for the flow."""

    def choose(self, balancer, usable, job, model):
        """Return the flow's target."""
        names = [target.number.to_bytes(2, "big") for target in usable]
        picked = rendezvous_pick(job.flow.to_bytes(4, "big"), names)
        return model.targets[int.from_bytes(picked, "big")]


class LeastReported(Policy):
    """The target with the least reported load."""

    def choose(self, balancer, usable, job, model):
        """Return the target with the least reported load."""
        return min(
            usable,
            key=lambda t: (balancer.reported[t.number], model.random.random()),
        )


class TwoDiscounted(Policy):
    """The better of two random targets, by ``discounted_load``."""

    def choose(self, balancer, usable, job, model):
        """Return the better of two random targets."""
        return better_of_two(
            usable, lambda t: discounted_load(balancer, t, model), model
        )


class LeastDiscounted(Policy):
    """The best of all targets, by ``discounted_load``."""

    def choose(self, balancer, usable, job, model):
        """Return the best target."""
        return min(
            usable,
            key=lambda t: (
                discounted_load(balancer, t, model),
                model.random.random(),
            ),
        )


class Dispatcher(Policy):
    """Balancers that select for the others and count all requests they placed.

    Attributes:
        scope: ``all`` for one dispatcher; ``centre`` for one in each data
            centre that uses every target; ``near`` for one in each data centre
            that uses the targets there.
        release_delay_ms: How long a request that was shed or timed out still counts.
    """

    def __init__(self, scope, release_delay_ms=0.0):
        self.scope = scope
        self.release_delay_ms = release_delay_ms

    def start(self, model):
        """Reset the dispatchers' state; schedule a failure if configured."""
        self.dead = set()
        self.missed_ms = {}
        for balancer in model.balancers:
            balancer.placed = [0] * len(model.targets)
        if model.condition.dispatcher_dies:
            first = self._dispatcher_of(model.balancers[0], model)
            model.after(model.end_ms / 3, self._die, first, model)

    def _die(self, balancer, model):
        self.dead.add(balancer.number)
        model.balancers.remove(balancer)

    def _dispatcher_of(self, balancer, model):
        if self.scope == "all":
            return min(model.balancers, key=lambda item: item.number)
        near = [item for item in model.balancers if item.centre == balancer.centre]
        return min(near, key=lambda item: item.number)

    def place(self, job, model):
        """Ask the dispatcher for a target and send the request there."""
        dispatcher = self._dispatcher_of(job.balancer, model)
        ask_ms = reply_ms = 0.0
        if dispatcher is not job.balancer:
            ask_ms = model.peer_delay_ms(job.balancer, dispatcher)
            reply_ms = model.peer_delay_ms(job.balancer, dispatcher)
        model.after(ask_ms, self._decide, job, dispatcher, reply_ms, model)

    def _decide(self, job, dispatcher, reply_ms, model):
        usable = model.usable(job.balancer, job.tries)
        if self.scope == "near":
            near = [item for item in usable if item.centre == dispatcher.centre]
            usable = near or usable
        target = min(
            usable,
            key=lambda t: (
                dispatcher.placed[t.number] / t.slots,
                model.random.random(),
            ),
        )
        dispatcher.placed[target.number] += 1
        model.after(reply_ms, self._send, job, dispatcher, target, model)

    def _send(self, job, dispatcher, target, model):
        model.send(job, job.balancer, target)
        # The release goes to this dispatcher: a later one doesn't count this request.
        job.flow = dispatcher

    def on_release(self, job, model, *, answered):
        """Notify the dispatcher that placed the request."""
        if isinstance(job.flow, int):
            return
        delay_ms = model.peer_delay_ms(job.sender, job.flow)
        delay_ms += 0.0 if answered else self.release_delay_ms
        model.after(delay_ms, self._release, job.flow, job.target.number)

    def _release(self, dispatcher, number):
        dispatcher.placed[number] -= 1


class PacketBalancer(Policy):
    """The rule of the packet balancers, by their own code.

    Attributes:
        order: What orders targets that are equally loaded: ``random`` draws an order
            for each balancer, ``divided`` is ``target_order``, in ``rotation`` the
            target that was selected last comes last.
        preferred: Number of targets in a balancer's order that it uses alone while
            one of them has a free slot by its own count, 0 for all.
        advised: Whether a reader tells all balancers which targets are slow.
    """

    def __init__(self, order, *, preferred=0, advised=False):
        self.order = order
        self.preferred = preferred
        self.advised = advised

    def start(self, model):
        """Describe the targets as the packet balancers see them."""
        self.records = [
            Target(
                name=target.number.to_bytes(8, "big"),
                born=0,
                cookie=target.number,
                address=(str(target.number), 0),
                data_centre=str(target.centre),
                service=SERVICE,
                slots=target.slots,
                leaving=False,
                warm_up_ms=0,
            )
            for target in model.targets
        ]
        self.orders = [
            self._first_order(balancer.number, model) for balancer in model.balancers
        ]
        self.turns = 0
        centres = range(model.fleet.centres)
        self.readers = [self._reader(str(centre), model) for centre in centres]

    def place(self, job, model):
        """Report a new flow, then place it."""
        if self.advised and not job.tries:
            report = LoadReport([(SERVICE, 1, 0)], [], [])
            self._report(job.balancer, report, model.now_ms)
        super().place(job, model)

    def on_release(self, job, model, *, answered):
        """Report how long an answer took."""
        if answered and self.advised:
            waited_ms = model.now_ms - job.arrived_ms
            report = LoadReport([], [(job.target.number, waited_ms)], [])
            self._report(job.sender, report, model.now_ms)

    def _reader(self, data_centre, model):
        """Return the load sharing of a data centre's reader."""
        reader = Balancer(data_centre=data_centre, random=Random(0))
        reader.configure(CONFIGURATION)
        entries = {str(record.cookie): record for record in self.records}
        reader.on_listing(entries, model.now_ms)
        reader.load_sharing.advise(model.now_ms, reader=True)
        return reader.load_sharing

    def _report(self, balancer, report, now_ms):
        reader = self.readers[balancer.centre]
        reader.on_report(report, balancer.number, now_ms)
        _, digest, _ = reader.advise(now_ms, reader=True)
        if digest is not None:
            for other in self.readers:
                other.on_digest(digest, reader.data_centre, now_ms)

    def _first_order(self, rank, model):
        numbers = [target.number for target in model.targets]
        if self.order == "divided":
            centres = model.fleet.centres
            return {
                number: place
                for centre in range(centres)
                for number, place in target_order(
                    rank // centres, numbers[centre::centres]
                ).items()
            }
        model.random.shuffle(numbers)
        return {number: place for place, number in enumerate(numbers)}

    def choose(self, balancer, usable, job, model):
        """Return the target that ``select_target`` selects."""
        order = self.orders[balancer.number]
        load = balancer.in_flight
        advice = self.readers[balancer.centre].advice
        records = advice.admitted(
            [self.records[target.number] for target in usable],
            model.now_ms,
            model.random,
        )
        preferred = [
            record
            for record in records
            if order[record.cookie] < self.preferred
            and load[record.cookie] < record.slots
        ]
        selected = select_target(
            preferred or records,
            load=lambda record: load[record.cookie],
            data_centre=str(balancer.centre),
            data_centres=range(model.fleet.centres),
            draw=model.random.random(),
            tie_break=lambda record: order[record.cookie],
            spill=advice.spill(SERVICE, model.now_ms),
        )
        if self.order == "rotation":
            self.turns += 1
            order[selected.cookie] = len(usable) + self.turns
        return model.targets[selected.cookie]


class OneQueue(Policy):
    """One queue before all slots, without distances: a limit for other policies."""

    def start(self, model):
        """Begin with an empty queue."""
        model.hop_ms = 0.0
        self.queue = deque()
        self.used = [0] * len(model.targets)

    def place(self, job, model):
        """Queue the request, or send it if a slot is free."""
        self.queue.append(job)
        self._send_queued(model)

    def on_release(self, job, model, *, answered):
        """Give the slot to the next request."""
        self.used[job.target.number] -= 1
        self._send_queued(model)

    def _send_queued(self, model):
        while self.queue:
            target = min(
                model.targets,
                key=lambda one: (self.used[one.number], one.factor),
            )
            if self.used[target.number] >= target.slots:
                return
            self.used[target.number] += 1
            job = self.queue.popleft()
            model.send(job, job.balancer, target)


def own_load(balancer, target):
    """Return the number of a balancer's own requests at a target, per slot."""
    return balancer.in_flight[target.number] / target.slots


def discounted_load(balancer, target, model):
    """Return the load per slot: own requests plus the reported ones of others.

    The reported load loses half of its weight every ``REPORT_HALF_LIFE_MS``.
    """
    number = target.number
    age_ms = model.now_ms - balancer.reported_ms[number]
    weight = 0.5 ** (age_ms / REPORT_HALF_LIFE_MS)
    own = balancer.in_flight[number]
    others = max(0, balancer.reported[number] - own)
    return (own + weight * others) / target.slots


def better_of_two(usable, load, model):
    """Return the less loaded of two random targets."""
    if len(usable) == 1:
        return usable[0]
    first, second = model.random.sample(usable, 2)
    return first if load(first) <= load(second) else second


def make_policy(name):
    """Return a new policy by its name.

    Raises:
        KeyError: There is no such policy.
    """
    return POLICIES[name]()


POLICIES = {
    "random": RandomChoice,
    "round-robin": RoundRobin,
    "least-own": LeastOwn,
    "two-own": TwoOwn,
    "rendezvous": Rendezvous,
    "least-reported": LeastReported,
    "two-discounted": TwoDiscounted,
    "least-discounted": LeastDiscounted,
    "packet-random": lambda: PacketBalancer("random"),
    "packet-rotation": lambda: PacketBalancer("rotation"),
    "packet-subset": lambda: PacketBalancer("divided", preferred=PREFERRED_TARGETS),
    "packet-divided": lambda: PacketBalancer("divided"),
    "packet-advised": lambda: PacketBalancer("divided", advised=True),
    "one-queue": OneQueue,
    "dispatcher": lambda: Dispatcher("all"),
    "dispatcher-hold-500": lambda: Dispatcher("all", 500.0),
    "dispatcher-hold-1000": lambda: Dispatcher("all", 1_000.0),
    "dispatcher-hold-3000": lambda: Dispatcher("all", 3_000.0),
    "dispatcher-centre": lambda: Dispatcher("centre"),
    "dispatcher-near": lambda: Dispatcher("near"),
}
