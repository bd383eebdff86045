"""Moves of the template model: what a step of a balancer leads to."""

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
    """A message between balancers that is on its way."""

    sender: str
    to: str
    event: PeerMessage
    text: str


class TemplateWorldBuilder:
    """The following state while it is made."""

    def __init__(self, world, stepper):
        self.after = world
        self.stepper = stepper
        self.balancers = list(world.balancers)
        self.phases = list(world.phases)
        self.messages = dict(world.messages)

    def build(self):
        """Return the state."""
        return self.after._replace(
            balancers=tuple(self.balancers),
            phases=tuple(self.phases),
            messages=self.messages,
        )

    def spend_budget(self, name):
        """Spend one of a budget."""
        left = getattr(self.after.budget, name) - 1
        budget = self.after.budget._replace(**{name: left})
        self.after = self.after._replace(budget=budget)
        return self

    def publish(self):
        """Publish the next version."""
        self.after = self.after._replace(published=self.after.published + 1)
        return self

    def cut(self, one, other):
        """Let nothing pass between two balancers."""
        cuts = self.after.cuts | {frozenset((one, other))}
        self.after = self.after._replace(cuts=cuts)
        if self.after.newcomer in (one, other):
            # A peer that was out of reach while it joined isn't its measure.
            self.after = self.after._replace(floor=0)
        return self

    def heal(self):
        """Let everything pass again."""
        self.after = self.after._replace(cuts=frozenset())
        return self

    def replace(self, number):
        """End a balancer and start a newcomer in its place."""
        replaced = self.balancers[number].info
        generation = self.after.generation + 1
        state = new_state(replaced.name, generation)
        self.balancers[number] = pack(state)
        self.phases[number] = Phase.JOINING
        self._declare_dead(number, replaced)
        self.after = self.after._replace(
            newcomer=replaced.name,
            generation=generation,
            floor=self._reachable_version(number),
            started_ms=self.after.now_ms,
        )
        self._step(number, ((self.after.now_ms, Tick()),))
        return self

    def _declare_dead(self, number, replaced):
        """Let the others know that the former balancer is dead."""
        for other, balancer in enumerate(self.balancers):
            if other == number:
                continue
            state = unpack(balancer, self.stepper.model_constants)
            state.membership.mark(replaced.incarnation, DEAD, self.after.now_ms)
            self.balancers[other] = pack(state)
        self.messages = {
            key: item
            for key, item in self.messages.items()
            if replaced.name not in (item.to, item.sender)
        }

    def _reachable_version(self, number):
        own = self.balancers[number].info.name
        if any(own in pair for pair in self.after.cuts):
            return 0
        others = [item.version for item in self.balancers if item.info.name != own]
        return max(others)

    def gossip(self, number, other):
        """Let one balancer probe another."""
        state = unpack(self.balancers[number], self.stepper.model_constants)
        record = state.membership.own_record(state.pause_count, state.template_version)
        ping = Ping(NO_PROBE_ID, record, [], [])
        self._send_to_peer(number, self.balancers[other].info.name, ping)
        return self

    def deliver_message(self, key):
        """Deliver a message that is on its way."""
        in_flight = self.messages.pop(key)
        return self.deliver(self.after.index_of(in_flight.to), in_flight.event)

    def deliver_all(self):
        """Deliver messages until none is on its way."""
        while self.messages:
            self.deliver_message(min(self.messages))

    def deliver(self, number, event):
        """Step a balancer."""
        self._step(number, ((self.after.now_ms, event),))
        return self

    def advance(self, duration_ms):
        """Let time pass, with ticks on the way."""
        from_ms = self.after.now_ms
        until_ms = from_ms + duration_ms
        times = (
            *range(from_ms + TICK_INTERVAL_MS, until_ms, TICK_INTERVAL_MS),
            until_ms,
        )
        ticks = tuple((at_ms, Tick()) for at_ms in times)
        self.after = self.after._replace(now_ms=until_ms)
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
        """Check a newcomer that starts to take callers' packets."""
        joining = self.phases[number] is Phase.JOINING
        self.phases[number] = Phase.SERVING
        waited_ms = self.after.now_ms - self.after.started_ms
        if joining and version < self.after.floor and waited_ms < JOIN_WAIT_MS:
            name = self.balancers[number].info.name
            newer = self.after.floor
            self._fault(f"{name} serves {version}, a reachable peer had {newer}")

    def _fault(self, text):
        self.after = self.after._replace(fault=text)

    def _send_to_peer(self, number, to, message):
        info = self.balancers[number].info
        if frozenset((info.name, to)) in self.after.cuts:
            return
        event = PeerMessage(info.incarnation, message)
        text = f"{type(message).__name__} of {info.name}"
        in_flight = InFlightMessage(info.name, to, event, text)
        self.messages[digest_of((to, event))] = in_flight
