"""Planned work that overlaps, and what other writers and callers do meanwhile.

No process, store, link or target is disturbed, so that nothing excuses a violation.
"""

import signal

from lagoontally_standins.packets import SERVICES, odd_entries

IDLE_ROUTES = 800  # spread the fetches of three balancers over 0.8 s
EXCHANGED_ROUTES = (70, 350)  # of these in one version; more than a change contains
FIRST_IDLE_PORT = 30_000
VERSIONS, VERSION_INTERVAL_S = (12, 20), (0.3, 0.4)
PAUSE_S = (0.3, 2.5)
RESTART_S = 0.3  # the platform starts an ended process after a short delay
CHECK_END_S = 0.05
SPREAD_AFTER_S = (0.2, 0.9)  # between a signal to stop and a version
ENTRY_S = (1.0, 4.0)  # that another writer's entry is listed
LARGE_ENTRIES, LARGE_BYTES = 8, 1_000_000  # more than a balancer takes in one answer
LARGE_AT_S = (2.0, 12.0)
READABLE, READABLE_SHARE = "a service that nothing names", 0.5  # of odd entries
CROWD_S = (1.0, 3.0)
SLOW_EVERY, SLOW_S = 4, 0.6  # of a crowded target's requests
GIVE_UP_S, GIVE_UP_INTERVAL_S = 0.45, 0.1


class PlannedWork:
    """Draws planned work for a deployment.

    Args:
        deployment: The ``Deployment``.
        faults: The ``Faults``, which record the routes and the balancers that end.
        series: The ``Series``, which changes the routes with traffic.
        pending_since: When the latest request of each flow was sent, while no outcome
            is known.
        random: Seeded ``Random``.
        large_random: Another one, for large entries.
    """

    def __init__(
        self, deployment, faults, series, pending_since, *, random, large_random
    ):
        self.deployment = deployment
        self.loop = deployment.loop
        self.faults = faults
        self.series = series
        self.pending_since = pending_since
        self.random = random
        self.large_random = large_random
        self.next_port = FIRST_IDLE_PORT
        self.stopping = None
        self.odd_keys = set()

    def set_up(self):
        """Publish the routes that see no traffic."""
        self._add_idle_routes(IDLE_ROUTES)
        self.faults.publish()
        delay_s = self.large_random.uniform(*LARGE_AT_S)
        self.loop.after(delay_s, self.write_large_entries)

    def inject_one(self):
        """Begin a random piece of work."""
        kinds = (
            self.publish_in_succession,
            self.restart_while_routes_spread,
            self.write_odd_entry,
            self.crowd_target,
        )
        kind = self.random.choice(kinds)
        kind()
        counts = self.faults.injected_counts
        counts[kind.__name__] = counts.get(kind.__name__, 0) + 1

    def next_pause_s(self):
        """Return how long to wait before the next piece."""
        return self.random.uniform(*PAUSE_S)

    def end_all(self):
        """Remove the entries of other writers."""
        for key in sorted(self.odd_keys):
            self._remove_entry(key)

    def publish_in_succession(self):
        """Publish a large version, and small ones in quick succession."""
        self._publish_large()
        at_s = 0.0
        for _ in range(self.random.randint(*VERSIONS)):
            at_s += self.random.uniform(*VERSION_INTERVAL_S)
            self.loop.after(at_s, self.series.move_route)

    def restart_while_routes_spread(self):
        """Stop a balancer as planned while a large version spreads."""
        if self.stopping is None:
            balancers = self.deployment.balancers
            self.stopping = balancers[self.random.choice(sorted(balancers))]
            self.faults.restarting[self.stopping.name] += 1
            self.stopping.signal(signal.SIGTERM)
            self._start_once_ended()
        self.loop.after(self.random.uniform(*SPREAD_AFTER_S), self._publish_large)

    def write_odd_entry(self):
        """Write an entry that names no target beside a target's own."""
        identity = self.random.choice(sorted(self.deployment.targets))
        index, target = self.deployment.targets[identity]
        entry = target.entry(self.deployment.data_centres[index])
        entry["born"] += 1 + self.random.randrange(1_000)
        kinds = sorted(odd_entries(entry))
        if self.random.random() < READABLE_SHARE:
            kinds = [READABLE]
        kind = self.random.choice(kinds)
        prefix = self.random.choice((f"tool-{identity[2:]}", "i-"))
        key = f"servers/{prefix}"
        if prefix == "i-":
            key += f"{self.random.randrange(1, 1 << 16):04x}0000"
        self.odd_keys.add(key)
        self.deployment.store.put(key, odd_entries(entry)[kind])
        duration_s = self.random.uniform(*ENTRY_S)
        self.loop.after(duration_s, lambda: self._remove_entry(key))

    def write_large_entries(self):
        """Write entries that name no target and don't fit into one answer."""
        keys = [f"servers/i-1a47{number:04x}" for number in range(LARGE_ENTRIES)]
        self.odd_keys.update(keys)
        for key in keys:
            self.deployment.store.put(key, b"[" * LARGE_BYTES)
        duration_s = self.large_random.uniform(*ENTRY_S)
        for key in keys:
            self.loop.after(duration_s, lambda key=key: self._remove_entry(key))

    def crowd_target(self):
        """Let some requests of a target take long, and their callers give up."""
        identity = self.random.choice(sorted(self.deployment.targets))
        _, target = self.deployment.targets[identity]
        target.slow_every, target.slow_s = SLOW_EVERY, SLOW_S
        end = self.loop.now + self.random.uniform(*CROWD_S)
        self._give_up(target, end)

    def _publish_large(self):
        """Exchange routes without traffic, and change some with traffic."""
        count = self.random.randint(*EXCHANGED_ROUTES)
        idle = self.deployment.idle_routes
        for route in sorted(idle)[:count]:
            del idle[route]
        self._add_idle_routes(count)
        self.series.change_routes(self.random)

    def _add_idle_routes(self, count):
        host = next(iter(self.deployment.routes))[0]
        for _ in range(count):
            route = (host, self.next_port)
            self.deployment.idle_routes[route] = SERVICES[0]
            self.next_port += 1
            if self.next_port > 65_000:
                self.next_port = FIRST_IDLE_PORT

    def _start_once_ended(self):
        balancer = self.stopping
        if balancer.alive():
            self.loop.after(CHECK_END_S, self._start_once_ended)
            return

        def start():
            self.stopping = None
            self.faults.restarting[balancer.name] -= 1
            balancer.start()

        self.loop.after(RESTART_S, start)

    def _remove_entry(self, key):
        if key in self.odd_keys:
            self.odd_keys.discard(key)
            self.deployment.store.put(key, None)

    def _give_up(self, target, end):
        """Close the flows of a target whose requests have waited for long."""
        if self.loop.now >= end:
            target.slow_every = 0
            return
        waiting = [
            flow
            for flow, sent_at in self.pending_since.items()
            if flow.target == target.identity and self.loop.now - sent_at >= GIVE_UP_S
        ]
        for flow in waiting:
            flow.close()
        self.loop.after(GIVE_UP_INTERVAL_S, lambda: self._give_up(target, end))
