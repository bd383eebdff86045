"""Moves of the template model: applies balancers' steps to a state."""

from typing import NamedTuple

from lagoontally_core import (
    JOIN_WAIT_MS,
    PeerMessage,
    Phase,
    Ping,
    SendPeer,
    ServeEntries,
    Tick,
)

from ._small_fleet import new_state
from ._snapshots import digest_of, pack, unpack

DEAD = 3
NO_PROBE_ID = 0
TICK_INTERVAL_MS = 700


class InFlightMessage(NamedTuple):
    """A message in flight between balancers."""

    sender: str
    to: str
    event: PeerMessage
    text: str


class TemplateWorldBuilder:
    """Builds the next state from a state."""

    def __init__(self, world, stepper):
        self.base = world
        self.stepper = stepper
        self.balancers = list(world.balancers)
        self.phases = list(world.phases)
        self.messages = dict(world.messages)

    def build(self):
        """Return the next state."""
        return self.base._replace(
            balancers=tuple(self.balancers),
            phases=tuple(self.phases),
            messages=self.messages,
        )

    def spend_budget(self, name):
        """Decrement an entry of the budget."""
        left = getattr(self.base.budget, name) - 1
        budget = self.base.budget._replace(**{name: left})
        self.base = self.base._replace(budget=budget)
        return self

    def publish(self):
        """Publish the next version."""
        self.base = self.base._replace(published=self.base.published + 1)
        return self

    def cut(self, one, other):
        """Cut two balancers off from each other."""
        cuts = self.base.cuts | {frozenset((one, other))}
        self.base = self.base._replace(cuts=cuts)
        if self.base.newcomer in (one, other):
            # A peer that is unreachable during the join sets no minimum version.
            self.base = self.base._replace(floor=0)
        return self

    def heal(self):
        """Remove all cuts."""
        self.base = self.base._replace(cuts=frozenset())
        return self

    def replace(self, number):
        """Replace a balancer by one that joins under the same name."""
        replaced = self.balancers[number].info
        generation = self.base.generation + 1
        state = new_state(replaced.name, generation)
        self.balancers[number] = pack(state)
        self.phases[number] = Phase.JOINING
        self._declare_dead(number, replaced)
        self.base = self.base._replace(
            newcomer=replaced.name,
            generation=generation,
            floor=self._reachable_version(number),
            started_ms=self.base.now_ms,
        )
        self._step(number, ((self.base.now_ms, Tick()),))
        return self

    def _declare_dead(self, number, replaced):
        """Mark the replaced balancer as dead in the others and drop its messages."""
        for other, balancer in enumerate(self.balancers):
            if other == number:
                continue
            state = unpack(balancer, self.stepper.model_constants)
            state.membership.mark(replaced.incarnation, DEAD, self.base.now_ms)
            self.balancers[other] = pack(state)
        self.messages = {
            key: item
            for key, item in self.messages.items()
            if replaced.name not in (item.to, item.sender)
        }

    def _reachable_version(self, number):
        own = self.balancers[number].info.name
        if any(own in pair for pair in self.base.cuts):
            return 0
        others = [item.version for item in self.balancers if item.info.name != own]
        return max(others)

    def gossip(self, number, other):
        """Send a probe from one balancer to another."""
        state = unpack(self.balancers[number], self.stepper.model_constants)
        record = state.membership.own_record(state.pause_count, state.template_version)
        ping = Ping(NO_PROBE_ID, record, [], [])
        self._send_to_peer(number, self.balancers[other].info.name, ping)
        return self

    def deliver_message(self, key):
        """Deliver a message in flight."""
        in_flight = self.messages.pop(key)
        return self.deliver(self.base.index_of(in_flight.to), in_flight.event)

    def deliver_all(self):
        """Deliver messages until none is in flight."""
        while self.messages:
            self.deliver_message(min(self.messages))

    def deliver(self, number, event):
        """Step a balancer."""
        self._step(number, ((self.base.now_ms, event),))
        return self

    def advance(self, duration_ms):
        """Advance the time and send ticks to every balancer."""
        from_ms = self.base.now_ms
        until_ms = from_ms + duration_ms
        times = (
            *range(from_ms + TICK_INTERVAL_MS, until_ms, TICK_INTERVAL_MS),
            until_ms,
        )
        ticks = tuple((at_ms, Tick()) for at_ms in times)
        self.base = self.base._replace(now_ms=until_ms)
        for number in range(len(self.balancers)):
            self._step(number, ticks)
        return self

    def _step(self, number, events):
        before = self.balancers[number]
        after, actions = self.stepper.step(before, events)
        self.balancers[number] = after
        name = before.info.name
        if after.version < before.version:
            self._fault(f"{name} went from {before.version} back to {after.version}")
        for action in actions:
            if isinstance(action, SendPeer):
                to = action.peer_address.partition(":")[0]
                self._send_to_peer(number, to, action.message)
            elif isinstance(action, ServeEntries):
                self._serve(number, after.version)

    def _serve(self, number, version):
        """Check the version of a joining balancer that starts to serve."""
        joining = self.phases[number] is Phase.JOINING
        self.phases[number] = Phase.SERVING
        waited_ms = self.base.now_ms - self.base.started_ms
        if joining and version < self.base.floor and waited_ms < JOIN_WAIT_MS:
            name = self.balancers[number].info.name
            newer = self.base.floor
            self._fault(f"{name} serves {version}, a reachable peer had {newer}")

    def _fault(self, text):
        self.base = self.base._replace(fault=text)

    def _send_to_peer(self, number, to, message):
        info = self.balancers[number].info
        if frozenset((info.name, to)) in self.base.cuts:
            return
        event = PeerMessage(info.incarnation, message)
        text = f"{type(message).__name__} of {info.name}"
        in_flight = InFlightMessage(info.name, to, event, text)
        self.messages[digest_of((to, event))] = in_flight
