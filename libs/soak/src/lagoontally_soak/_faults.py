"""Faults that a soak makes, each with what ends it."""

import signal
from typing import NamedTuple

from lagoontally_standins.packets import (
    ANSWERING,
    BUSY,
    DELAYED,
    ONE_WAY,
    PASS,
    RESET,
    SERVICES,
    SILENT,
)

LAPSE_S = 3.6  # three heartbeats: how long a dead target's entry stays
DRAIN_S = 3.0
REUSE_S = 2.0
SHORT_S, LONG_S = 0.3, 4.0


class Disturbance(NamedTuple):
    """Something that was disturbed for a while.

    Attributes:
        subject: ``store``, a balancer's name or a target's id.
        start: When it began.
        end: When it was over.
    """

    subject: str
    start: float
    end: float


class Faults:
    """Makes faults on a deployment.

    Args:
        deployment: The ``Deployment``.
        random: Seeded ``Random``.

    Attributes:
        disturbances: Every ``Disturbance`` so far.
        drained: When each target's entry said that it leaves, by id.
        published: When each route was published, and when it was dropped.
        made: Number of faults by name.
    """

    def __init__(self, deployment, random):
        self.deployment = deployment
        self.loop = deployment.loop
        self.random = random
        self.disturbances = []
        self.drained = {}
        self.published = dict.fromkeys(deployment.routes, self.loop.now)
        self.dropped = {}
        self.made = {}
        self.numbers = 40
        self.resting = set()

    def make_one(self):
        """Make a fault that is drawn at random."""
        kinds = (
            self.kill,
            self.terminate,
            self.pause,
            self.hang_up,
            self.harm_path,
            self.harm_path,
            self.harm_store,
            self.forget_history,
            self.write_garbage,
            self.silence_target,
            self.crash_target,
            self.replace_target,
            self.publish_route,
            self.drop_route,
        )
        kind = self.random.choice(kinds)
        if kind():
            self.made[kind.__name__] = self.made.get(kind.__name__, 0) + 1

    def disturbed(self, subjects, start, end):
        """Tell whether one of some subjects was disturbed between two times."""
        return any(
            one.subject in subjects and one.start <= end and one.end >= start
            for one in self.disturbances
        )

    def began(self, subjects, start, end):
        """Tell whether the disturbance of a subject began between two times."""
        return any(
            one.subject in subjects and start <= one.start <= end
            for one in self.disturbances
        )

    def heal(self):
        """End whatever goes on."""
        deployment = self.deployment
        deployment.store.mode, deployment.store.delay_s = ANSWERING, 0.0
        for proxy in deployment.proxies.values():
            proxy.set_mode(PASS)
        for balancer in deployment.balancers.values():
            if balancer.paused:
                balancer.resume()
            if not balancer.alive():
                balancer.start()
        for _, target in deployment.targets.values():
            target.silent = False

    def _duration(self):
        return self.random.uniform(SHORT_S, LONG_S)

    def _note(self, subject, duration_s):
        now = self.loop.now
        self.disturbances.append(Disturbance(subject, now, now + duration_s))

    def _balancer(self):
        """Return a balancer that no fault rests on, None without one."""
        free = [
            balancer
            for name, balancer in self.deployment.balancers.items()
            if name not in self.resting and balancer.alive()
        ]
        return self.random.choice(free) if len(free) > 1 else None

    def _rest(self, balancer, duration_s, end):
        self.resting.add(balancer.name)
        self._note(balancer.name, duration_s)
        self.loop.after(duration_s, lambda: self._end_rest(balancer, end))

    def _end_rest(self, balancer, end):
        self.resting.discard(balancer.name)
        end()

    def kill(self):
        """End a balancer at once and start it again."""
        balancer = self._balancer()
        if balancer is None:
            return False
        balancer.kill()
        self._rest(balancer, self._duration(), balancer.start)
        return True

    def terminate(self):
        """Tell a balancer to stop, and start it again once it has ended."""
        balancer = self._balancer()
        if balancer is None:
            return False
        balancer.signal(signal.SIGTERM)
        self._rest(balancer, 7.0, lambda: balancer.alive() or balancer.start())
        return True

    def pause(self):
        """Let a balancer stand still."""
        balancer = self._balancer()
        if balancer is None:
            return False
        balancer.pause()
        self._rest(balancer, self._duration(), balancer.resume)
        return True

    def hang_up(self):
        """Change a balancer's settings and signal it."""
        balancer = self._balancer()
        if balancer is None:
            return False
        balancer.settings["link_mbps"] += 1
        balancer.write_settings()
        balancer.signal(signal.SIGHUP)
        return True

    def harm_path(self):
        """Harm one balancer's way to the store."""
        name = self.random.choice(sorted(self.deployment.proxies))
        proxy = self.deployment.proxies[name]
        mode = self.random.choice((SILENT, ONE_WAY, RESET, DELAYED))
        duration_s = self._duration()
        proxy.set_mode(mode)
        self._note(name, duration_s)
        self.loop.after(duration_s, lambda: proxy.set_mode(PASS))
        return True

    def harm_store(self):
        """Let the store refuse or delay all calls."""
        store, duration_s = self.deployment.store, self._duration()
        if self.random.random() < 0.5:
            store.mode = BUSY
        else:
            store.delay_s = 0.25
        self._note("store", duration_s)
        self.loop.after(duration_s, self._restore_store)
        return True

    def _restore_store(self):
        self.deployment.store.mode = ANSWERING
        self.deployment.store.delay_s = 0.0

    def forget_history(self):
        """Drop the store's history."""
        self.deployment.store.forget_history()
        self._note("store", 0.0)
        return True

    def write_garbage(self):
        """Write what names no target beside the entries."""
        garbage = (b"{", b"\xff", b"5", b"[]", {"service": 7}, {"state": "gone"})
        key = f"servers/i-{self.random.randrange(1 << 16):04x}0000"
        self.deployment.store.put(key, self.random.choice(garbage))
        return True

    def _target(self):
        """Return a target's id whose service has others nearby, None without."""
        targets = self.deployment.targets
        free = [
            identity
            for identity in sorted(targets)
            if identity not in self.drained and not targets[identity][1].silent
        ]
        if not free:
            return None
        identity = self.random.choice(free)
        place, target = targets[identity]
        others = [
            other
            for other in free
            if targets[other][0] == place
            and targets[other][1].service == target.service
        ]
        return identity if len(others) > 1 else None

    def silence_target(self):
        """Let a target drop everything for a while."""
        identity = self._target()
        if identity is None:
            return False
        target, duration_s = self.deployment.targets[identity][1], self._duration()
        target.silent = True
        self._note(identity, duration_s)

        def end():
            target.silent = False

        self.loop.after(duration_s, end)
        return True

    def crash_target(self):
        """End a target; its entry lapses, and its address goes to another service."""
        identity = self._target()
        if identity is None:
            return False
        place, target = self.deployment.targets[identity]
        target.close()
        self._note(identity, 1e9)
        self.drained[identity] = None
        self.loop.after(LAPSE_S, lambda: self._lapse(identity, place, target))
        return True

    def _lapse(self, identity, place, target):
        self.deployment.remove_target(identity)
        other = next(one for one in SERVICES if one != target.service)
        self.loop.after(REUSE_S, lambda: self._reuse(place, other, target.address))
        self._add(place, target.service)

    def _reuse(self, place, service, address):
        self.deployment.add_target(place, service, int(address[0].split(".")[-1]))

    def _add(self, place, service):
        self.numbers += 1
        self.deployment.add_target(place, service, self.numbers)

    def replace_target(self):
        """Start another target and let one leave."""
        identity = self._target()
        if identity is None:
            return False
        place, target = self.deployment.targets[identity]
        self._add(place, target.service)
        self.deployment.register(identity, "draining")
        self.drained[identity] = self.loop.now
        self.loop.after(DRAIN_S + self._duration(), lambda: self._leave(identity))
        return True

    def _leave(self, identity):
        self._note(identity, 1e9)
        self.deployment.remove_target(identity)

    def publish_route(self):
        """Add a route."""
        routes = self.deployment.routes
        place = (next(iter(routes))[0], 9_000 + len(self.published))
        routes[place] = self.random.choice(SERVICES)
        self.published[place] = self.loop.now
        self.deployment.publish()
        return True

    def drop_route(self):
        """Remove a route that was added."""
        added = [place for place in self.deployment.routes if place[1] >= 9_000]
        if not added:
            return False
        place = self.random.choice(added)
        del self.deployment.routes[place]
        self.dropped[place] = self.loop.now
        self.deployment.publish()
        return True
