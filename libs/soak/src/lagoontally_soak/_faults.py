"""Faults that a soak test injects and ends."""

import signal
from collections import Counter

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

from ._disturbances import STORE, STORE_PARTLY, Disturbances
from ._route_history import RouteHistory

ENTRY_EXPIRY_S = 3.6  # a dead target's entry expires after three heartbeats
DRAIN_S = 3.0
ADDRESS_REUSE_DELAY_S = 2.0
RESTORE_SHARE = 0.12  # of the faults that come with a restored store
MAX_COPY_AGE_S = 3.0
MAX_AWAY_S = 1.0
MAX_LOST_WRITES = 400  # of items that balancers don't use
MIN_FAULT_S, MAX_FAULT_S = 0.3, 4.0
FIRST_PORT, LAST_PORT = 9_000, 19_999  # of the routes that are added here


class Faults:
    """Injects faults into a deployment.

    Args:
        deployment: The ``Deployment``.
        random: Seeded ``Random``.
        restore_random: Another one, for restores of the store. It leaves the other
            faults of recorded seeds as they were.

    Attributes:
        disturbances: The ``Disturbances`` so far.
        drain_started_at: When each target's entry became ``draining``, by id; None
            for a crashed target.
        route_history: The ``RouteHistory``.
        injected_counts: Number of faults by name.
        faulted_balancers: Names of balancers under one of these faults.
        restarting: Number of restarts by a ``Series`` under way, by balancer name.
    """

    def __init__(self, deployment, random, restore_random):
        self.deployment = deployment
        self.loop = deployment.loop
        self.random = random
        self.disturbances = Disturbances()
        self.drain_started_at = {}
        self.route_history = RouteHistory(deployment.routes, self.loop.now)
        self.next_port = FIRST_PORT + len(deployment.routes)
        self.injected_counts = {}
        self.last_target_number = 40
        self.faulted_balancers = set()
        self.restarting = Counter()
        self.restore_random = restore_random

    def inject_one(self):
        """Inject a random fault, at times together with a restored store."""
        if self.restore_random.random() < RESTORE_SHARE:
            self.restore_store()
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
            self.injected_counts[kind.__name__] = (
                self.injected_counts.get(kind.__name__, 0) + 1
            )

    def end_all(self):
        """End all faults."""
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
        subjects = {STORE, STORE_PARTLY, *deployment.balancers}
        self.disturbances.end(subjects, self.loop.now)

    def _duration(self):
        return self.random.uniform(MIN_FAULT_S, MAX_FAULT_S)

    def is_faulted(self, name):
        """Return whether a fault may have ended a balancer's process."""
        return name in self.faulted_balancers or self.restarting[name] > 0

    def record_disturbance(self, subject, duration_s):
        """Record a disturbance that begins now."""
        now = self.loop.now
        self.disturbances.record(subject, now, now + duration_s)

    def publish(self):
        """Publish the deployment's routes."""
        self.deployment.publish()
        self.route_history.record(self.deployment.routes, self.loop.now)

    def _pick_balancer(self):
        """Return a random balancer without a fault, None unless two are free.

        A series may have killed it; to choose another one would change what a seed
        draws. It starts again at the latest when the fault ends.
        """
        free = [
            balancer
            for name, balancer in self.deployment.balancers.items()
            if name not in self.faulted_balancers
        ]
        return self.random.choice(free) if len(free) > 1 else None

    def _disturb_balancer(self, balancer, duration_s, end):
        self.faulted_balancers.add(balancer.name)
        self.record_disturbance(balancer.name, duration_s)
        self.loop.after(duration_s, lambda: self._end_disturbance(balancer, end))

    def _end_disturbance(self, balancer, end):
        self.faulted_balancers.discard(balancer.name)
        end()

    def kill(self):
        """Kill a balancer and restart it."""
        balancer = self._pick_balancer()
        if balancer is None:
            return False
        balancer.kill()
        self._disturb_balancer(
            balancer, self._duration(), lambda: balancer.alive() or balancer.start()
        )
        return True

    def terminate(self):
        """Terminate a balancer and restart it after it has exited."""
        balancer = self._pick_balancer()
        if balancer is None:
            return False
        balancer.signal(signal.SIGTERM)
        self._disturb_balancer(
            balancer, 7.0, lambda: balancer.alive() or balancer.start()
        )
        return True

    def pause(self):
        """Pause a balancer's process."""
        balancer = self._pick_balancer()
        if balancer is None:
            return False
        balancer.pause()
        self._disturb_balancer(balancer, self._duration(), balancer.resume)
        return True

    def hang_up(self):
        """Change a balancer's settings and send it SIGHUP."""
        balancer = self._pick_balancer()
        if balancer is None:
            return False
        balancer.settings["link_mbps"] += 1
        balancer.write_settings()
        if balancer.survives_hang_up():  # otherwise it is about to read them
            balancer.signal(signal.SIGHUP)
        return True

    def harm_path(self):
        """Disturb one balancer's connections to the store."""
        name = self.random.choice(sorted(self.deployment.proxies))
        proxy = self.deployment.proxies[name]
        mode = self.random.choice((SILENT, ONE_WAY, RESET, DELAYED))
        duration_s = self._duration()
        proxy.set_mode(mode)
        self.record_disturbance(name, duration_s)
        self.loop.after(duration_s, lambda: proxy.set_mode(PASS))
        return True

    def harm_store(self):
        """Make the store refuse or delay all calls."""
        store, duration_s = self.deployment.store, self._duration()
        if self.random.random() < 0.5:
            store.mode = BUSY
        else:
            store.delay_s = 0.25
        self.record_disturbance(STORE, duration_s)
        self.loop.after(duration_s, self._restore_store)
        return True

    def _restore_store(self):
        self.deployment.store.mode = ANSWERING
        self.deployment.store.delay_s = 0.0

    def restore_store(self):
        """Take the store away and bring it back from an older copy."""
        random = self.restore_random
        away_s = random.uniform(0.0, MAX_AWAY_S)
        age_s = random.uniform(0.0, MAX_COPY_AGE_S)
        for number in range(random.randrange(MAX_LOST_WRITES)):
            self.deployment.store.put("other/key", {"number": number})
        self.deployment.restore_store(random, age_s=age_s, away_s=away_s)
        self.record_disturbance(STORE, away_s)
        count = self.injected_counts.get("restore_store", 0)
        self.injected_counts["restore_store"] = count + 1

    def forget_history(self):
        """Drop the store's history."""
        self.deployment.store.forget_history()
        self.record_disturbance(STORE_PARTLY, 0.0)
        return True

    def write_garbage(self):
        """Write an invalid entry to the store."""
        garbage = (b"{", b"\xff", b"5", b"[]", {"service": 7}, {"state": "gone"})
        key = f"servers/i-{self.random.randrange(1 << 16):04x}0000"
        self.deployment.store.put(key, self.random.choice(garbage))
        return True

    def _pick_target(self):
        """Return a random target's id.

        None if its data centre has no other available target of its service.
        """
        targets = self.deployment.targets
        free = [
            target_id
            for target_id in sorted(targets)
            if target_id not in self.drain_started_at
            and not targets[target_id][1].silent
        ]
        if not free:
            return None
        target_id = self.random.choice(free)
        data_centre_index, target = targets[target_id]
        others = [
            other
            for other in free
            if targets[other][0] == data_centre_index
            and targets[other][1].service == target.service
        ]
        return target_id if len(others) > 1 else None

    def silence_target(self):
        """Make a target drop all packets for a while."""
        target_id = self._pick_target()
        if target_id is None:
            return False
        target, duration_s = self.deployment.targets[target_id][1], self._duration()
        target.silent = True
        self.record_disturbance(target_id, duration_s)

        def end():
            target.silent = False

        self.loop.after(duration_s, end)
        return True

    def crash_target(self):
        """Stop a target; once its entry expires, another service reuses its address."""
        target_id = self._pick_target()
        if target_id is None:
            return False
        data_centre_index, target = self.deployment.targets[target_id]
        target.close()
        self.record_disturbance(target_id, 1e9)
        self.drain_started_at[target_id] = None
        self.loop.after(
            ENTRY_EXPIRY_S,
            lambda: self._expire_entry(target_id, data_centre_index, target),
        )
        return True

    def _expire_entry(self, target_id, data_centre_index, target):
        self.deployment.remove_target(target_id)
        other = next(service for service in SERVICES if service != target.service)
        self.loop.after(
            ADDRESS_REUSE_DELAY_S,
            lambda: self._reuse_address(data_centre_index, other, target.address),
        )
        self._add_target(data_centre_index, target.service)

    def _reuse_address(self, data_centre_index, service, address):
        self.deployment.add_target(
            data_centre_index, service, int(address[0].split(".")[-1])
        )

    def _add_target(self, data_centre_index, service):
        self.last_target_number += 1
        self.deployment.add_target(data_centre_index, service, self.last_target_number)

    def replace_target(self):
        """Start a target and drain another of its service."""
        target_id = self._pick_target()
        if target_id is None:
            return False
        data_centre_index, target = self.deployment.targets[target_id]
        self._add_target(data_centre_index, target.service)
        self.deployment.register(target_id, "draining")
        self.drain_started_at[target_id] = self.loop.now
        self.loop.after(
            DRAIN_S + self._duration(), lambda: self._remove_target(target_id)
        )
        return True

    def _remove_target(self, target_id):
        self.record_disturbance(target_id, 1e9)
        self.deployment.remove_target(target_id)

    def publish_route(self):
        """Add a route."""
        routes = self.deployment.routes
        route = (next(iter(routes))[0], self.next_port)
        self.next_port += 1
        routes[route] = self.random.choice(SERVICES)
        self.publish()
        return True

    def drop_route(self):
        """Remove a route that was added."""
        added = [
            route
            for route in self.deployment.routes
            if FIRST_PORT <= route[1] <= LAST_PORT
        ]
        if not added:
            return False
        route = self.random.choice(added)
        del self.deployment.routes[route]
        self.publish()
        return True
