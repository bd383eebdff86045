"""A model of the template protocol: real cores and a platform with stale reads.

The platform answers a read with any version that was published so far. Messages
between balancers may be delivered at any later time, in any order, or never.
Balancers are replaced and cut off at any point. Checked are the version in force
at each balancer, the version with which a joining balancer starts to serve, and
that the balancers agree once they can reach each other again.
"""

from typing import NamedTuple

from lagoontally_core import JOIN_WAIT_MS, InstancesRead, Phase, TemplateRead

from ._small_fleet import document, instances, model_constants, serving_fleet
from ._snapshots import Balancer, Stepper, digest_of, pack
from ._template_network import TemplateWorldBuilder

GOSSIP_ROUNDS = 4


class TemplateBudget(NamedTuple):
    """How often each event may still happen.

    Attributes:
        publishes: Versions that are published, from 2 on.
        reads: Reads of the platform's template, by any balancer.
        gossips: Probes of one balancer by another.
        ticks: Short time steps.
        waits: Time steps of the longest wait of a joining balancer.
        replacements: Restarts of a balancer.
        cuts: Pairs of balancers that are cut off from each other.
        lists: Reads of the platform's list by joining balancers.
        old_lists: Reads that return a list from before the others started.
    """

    publishes: int = 2
    reads: int = 2
    gossips: int = 0
    ticks: int = 0
    waits: int = 0
    replacements: int = 0
    cuts: int = 0
    lists: int = 1
    old_lists: int = 0


class TemplateWorld(NamedTuple):
    """One state of the model.

    Attributes:
        now_ms: The time.
        balancers: The balancers, without those that were replaced.
        phases: The phase of each balancer.
        messages: The messages in flight, by key.
        published: The platform's newest version.
        budget: What may still happen.
        cuts: Pairs of names of balancers that are cut off from each other.
        newcomer: Name of the latest joining balancer, or empty.
        floor: Minimum version with which it may serve before its longest wait is
            over: the newest among its reachable peers at its start.
        started_ms: When it started.
        generation: How many balancers were replaced.
        fault: A promise broken by the last move, or empty.
    """

    now_ms: int
    balancers: tuple[Balancer, ...]
    phases: tuple[Phase, ...]
    messages: dict
    published: int
    budget: TemplateBudget
    cuts: frozenset = frozenset()
    newcomer: str = ""
    floor: int = 0
    started_ms: int = 0
    generation: int = 0
    fault: str = ""

    def index_of(self, name):
        """Return the position of a balancer."""
        names = [item.info.name for item in self.balancers]
        return names.index(name)


class TemplateModel:
    """The template protocol with a given number of balancers."""

    def __init__(self, balancers, budget):
        self.size = balancers
        self.budget = budget
        versions = range(1, 2 + budget.publishes)
        self.stepper = Stepper(model_constants(versions))
        self.disagreements = {}

    def initial(self):
        """Return a fleet that serves version 1."""
        fleet = serving_fleet(self.size)
        balancers = tuple(pack(state) for state in fleet.states.values())
        phases = (Phase.SERVING,) * self.size
        return TemplateWorld(fleet.now_ms, balancers, phases, {}, 1, self.budget)

    def digest(self, world):
        """Return a digest of everything that determines the following states."""
        state_digests = [item.state_digest for item in world.balancers]
        rest = world._replace(balancers=(), messages=(), cuts=sorted(world.cuts))
        return digest_of((state_digests, sorted(world.messages), rest))

    def outcomes(self, world):
        """Return the outcomes in a state, to detect searches that cover too little."""
        versions = {item.version for item in world.balancers}
        names = [f"version {number} is in force" for number in versions]
        names += ["versions differ"] * (len(versions) > 1)
        joining = Phase.JOINING in world.phases
        if world.newcomer:
            names.append("a newcomer joins" if joining else "a newcomer serves")
        return sorted(names)

    def find_violation(self, world):
        """Return the promise that a state violates, or None."""
        return world.fault or self._disagreement(world)

    def _disagreement(self, world):
        """Return how balancers that reach each other again disagree, or None.

        Messages in flight are lost and the platform is unreachable, which is the
        worst case for an agreement.
        """
        key = (world.now_ms, *(item.state_digest for item in world.balancers))
        if key not in self.disagreements:
            self.disagreements[key] = self._gossip_until_settled(world)
        return self.disagreements[key]

    def _gossip_until_settled(self, world):
        healed = world._replace(messages={}, cuts=frozenset(), fault="")
        builder = TemplateWorldBuilder(healed, self.stepper)
        for _ in range(GOSSIP_ROUNDS):
            for sender in range(self.size):
                for receiver in range(self.size):
                    if sender != receiver:
                        builder.gossip(sender, receiver)
                        builder.deliver_all()
        after = builder.build()
        versions = [item.version for item in after.balancers]
        if len(set(versions)) == 1:
            return after.fault
        return f"versions {versions} stay after all have talked to each other"

    def successors(self, world):
        """Yield each move and the state to which it leads."""
        yield from self._platform_moves(world)
        yield from self._peer_moves(world)
        yield from self._joining_moves(world)
        yield from self._time_moves(world)

    def _builder(self, world):
        return TemplateWorldBuilder(world, self.stepper)

    def _platform_moves(self, world):
        if world.budget.publishes:
            builder = self._builder(world).spend_budget("publishes")
            version = world.published + 1
            yield f"version {version} is published", builder.publish().build()
        if not world.budget.reads:
            return
        for number, balancer in enumerate(world.balancers):
            for version in range(1, world.published + 1):
                event = TemplateRead(
                    self.stepper.model_constants.templates[version], document(version)
                )
                builder = (
                    self._builder(world).spend_budget("reads").deliver(number, event)
                )
                yield f"{balancer.info.name} reads version {version}", builder.build()

    def _peer_moves(self, world):
        for key, message in world.messages.items():
            if not world.cuts & {frozenset((message.sender, message.to))}:
                text = f"{message.text} -> {message.to}"
                yield text, self._builder(world).deliver_message(key).build()
        for number, balancer in enumerate(world.balancers):
            for other, peer in enumerate(world.balancers):
                names = balancer.info.name, peer.info.name
                if other != number and world.budget.gossips:
                    builder = (
                        self._builder(world)
                        .spend_budget("gossips")
                        .gossip(number, other)
                    )
                    yield f"{names[0]} probes {names[1]}", builder.build()
                if other > number and world.budget.cuts:
                    builder = self._builder(world).spend_budget("cuts").cut(*names)
                    yield f"{names[0]} and {names[1]} are cut off", builder.build()
        if world.cuts:
            yield "the cut heals", self._builder(world).heal().build()

    def _joining_moves(self, world):
        if world.budget.replacements and not world.newcomer:
            for number, balancer in enumerate(world.balancers):
                builder = (
                    self._builder(world).spend_budget("replacements").replace(number)
                )
                yield f"{balancer.info.name} is replaced", builder.build()
        if not world.newcomer:
            return
        number = world.index_of(world.newcomer)
        if world.budget.lists:
            names = [item.info.name for item in world.balancers]
            event = InstancesRead(instances(names))
            builder = self._builder(world).spend_budget("lists").deliver(number, event)
            yield f"{world.newcomer} reads the list", builder.build()
        if world.budget.old_lists:
            event = InstancesRead(instances([world.newcomer]))
            builder = self._builder(world).spend_budget("old_lists")
            builder.deliver(number, event)
            yield f"{world.newcomer} reads an old list", builder.build()

    def _time_moves(self, world):
        if world.budget.ticks:
            yield (
                "time passes",
                self._builder(world).spend_budget("ticks").advance(100).build(),
            )
        if world.budget.waits:
            builder = self._builder(world).spend_budget("waits").advance(JOIN_WAIT_MS)
            yield "time passes the longest wait", builder.build()
