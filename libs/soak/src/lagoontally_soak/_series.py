"""Faults in series: changes of configuration that meet restarts and old reads."""

from random import Random

from lagoontally_standins.packets import (
    ANSWERING,
    BUSY,
    DELAYED,
    ONE_WAY,
    PASS,
    RESET,
    RESETTING,
    SERVICES,
    SILENT,
    STORE_SILENT,
)

from ._disturbances import STORE, STORE_PARTLY

FIRST_PORT = 20_000  # of the routes that are added here
MIN_FAULT_S, MAX_FAULT_S = 4.0, 22.0
COPY_AGE_S = (1.0, 6.0)  # range of the largest age of a copy
OLD_READS_S = (3.0, 14.0)
OLD_READS_SHARE = 0.7  # of the data centre restarts, during which reads are old
OVERLAPPING_S, APART_S = (0.2, 1.5), (4.0, 7.0)
SLOW_STORE_S = 0.25
MAX_AWAY_S = 1.5  # until killed balancers are started again
MAX_KILL_DELAY_S = 0.4  # after a change
MAX_CHANGES = 6
CHANGE_INTERVAL_S = (0.0, 0.7)
# Changed routes of one change: changes of more than 8 travel in several datagrams,
# and those of more than 64 are fetched.
CHANGED_ROUTES = ((1, 8), (1, 8), (1, 8), (9, 40), (65, 90))
MAX_ROUTES = 200


class Series:
    """Injects series of faults into a deployment.

    Args:
        deployment: The ``Deployment``.
        faults: The ``Faults``, which share the records of what was injected.
        random: Seeded ``Random``; that of ``faults`` isn't used, so that the other
            faults of recorded seeds stay as they were.
    """

    def __init__(self, deployment, faults, random):
        self.deployment = deployment
        self.loop = deployment.loop
        self.faults = faults
        self.random = random
        self.next_port = FIRST_PORT

    def inject_one(self):
        """Inject a random series."""
        kinds = (
            self.read_old_copies,
            self.restart_data_centre,
            self.restart_data_centre,
            self.restart_data_centre,
            self.move_route,
            self.change_often,
            self.change_often,
            self.harm_store,
            self.harm_paths,
            self.reject_some,
        )
        self._inject(self.random.choice(kinds))

    def inject_last(self):
        """Inject the series that no later change of configuration covers up."""
        self._inject(self.restart_data_centre)

    def next_pause_s(self):
        """Return how long to wait before the next series.

        The next version of the configuration ends what the one before it led to.
        """
        return self.random.uniform(*self.random.choice((OVERLAPPING_S, APART_S)))

    def _inject(self, kind):
        kind()
        counts = self.faults.injected_counts
        counts[kind.__name__] = counts.get(kind.__name__, 0) + 1

    def end_all(self):
        """End all faults."""
        store = self.deployment.store
        store.stale_s = 0.0
        store.modes.clear()

    def read_old_copies(self):
        """Answer reads that may be old from copies that differ in age."""
        random, store = self.random, self.deployment.store
        series, copies = random.random(), {}
        max_age_s = random.uniform(*COPY_AGE_S)
        min_age_s = random.choice((0.0, max_age_s))
        store.stale_as_of_present = random.random() < 0.5

        def draw_age_s(host):
            # By balancer, whatever the network: their order depends on timing.
            balancer = host.split(".", 2)[2]
            if balancer not in copies:
                copies[balancer] = Random(f"{series} {balancer}")
            return copies[balancer].uniform(min_age_s, max_age_s)

        def end():
            if store.stale_s is draw_age_s:
                store.stale_s = 0.0

        store.stale_s = draw_age_s
        self.loop.after(random.uniform(*OLD_READS_S), end)

    def restart_data_centre(self):
        """Change routes and kill all balancers of one or all data centres."""
        random, deployment = self.random, self.deployment
        centres = deployment.data_centres
        if random.random() < 0.7:
            centres = (random.choice(centres),)
        balancers = self.balancers_of(centres)
        away_s = random.uniform(0.0, MAX_AWAY_S)
        if random.random() < OLD_READS_SHARE:
            self.read_old_copies()
        self.change_routes(random)
        delay_s = random.uniform(0.0, MAX_KILL_DELAY_S)
        self.loop.after(delay_s, lambda: self.restart(balancers, away_s))

    def balancers_of(self, centres):
        """Return the balancers of some data centres."""
        return [
            balancer
            for balancer in self.deployment.balancers.values()
            if balancer.settings["data_centre"] in centres
        ]

    def restart(self, balancers, away_s):
        """Kill balancers and start them again after a while."""
        names = [balancer.name for balancer in balancers]
        self.faults.restarting.update(names)
        for balancer in balancers:
            balancer.kill()
            self.faults.record_disturbance(balancer.name, away_s)

        def start():
            self.faults.restarting.subtract(names)
            for balancer in balancers:
                balancer.alive() or balancer.start()

        self.loop.after(away_s, start)

    def move_route(self):
        """Give a route's new flows to another service."""
        routes = self.deployment.routes
        self._move(self.random.choice(sorted(routes)))
        self.faults.publish()

    def _move(self, route):
        routes = self.deployment.routes
        routes[route] = next(other for other in SERVICES if other != routes[route])

    def change_often(self):
        """Publish several versions in quick succession."""
        delay_s = 0.0
        for _ in range(self.random.randint(2, MAX_CHANGES)):
            # Other series may draw before the change is made.
            draws = Random(self.random.random())
            self.loop.after(delay_s, lambda draws=draws: self.change_routes(draws))
            delay_s += self.random.uniform(*CHANGE_INTERVAL_S)

    def change_routes(self, random):
        """Publish a version in which some routes are moved, added or dropped."""
        routes = self.deployment.routes
        count = random.randint(*random.choice(CHANGED_ROUTES))
        present = sorted(routes)
        address = present[0][0]
        least = max(0, count - (MAX_ROUTES - len(present)))
        known = random.randint(least, min(count, len(present)))
        for route in random.sample(present, known):
            if route[1] >= FIRST_PORT and random.random() < 0.6:
                del routes[route]
            else:
                self._move(route)
        for _ in range(count - known):
            routes[(address, self.next_port)] = random.choice(SERVICES)
            self.next_port += 1
        self.faults.publish()

    def _duration(self):
        return self.random.uniform(MIN_FAULT_S, MAX_FAULT_S)

    def harm_store(self):
        """Make the store refuse, drop, reset or delay all calls for long."""
        store, duration_s = self.deployment.store, self._duration()
        mode = self.random.choice((BUSY, STORE_SILENT, RESETTING, ANSWERING))
        store.mode = mode
        if mode == ANSWERING:
            store.delay_s = SLOW_STORE_S
        self.faults.record_disturbance(STORE, duration_s)

        def end():
            store.mode, store.delay_s = ANSWERING, 0.0

        self.loop.after(duration_s, end)

    def harm_paths(self):
        """Disturb the paths of one or all balancers of a data centre for long."""
        random = self.random
        balancers = self.balancers_of((random.choice(self.deployment.data_centres),))
        if random.random() < 0.5:
            balancers = [random.choice(balancers)]
        mode = random.choice((SILENT, ONE_WAY, RESET, DELAYED))
        duration_s = self._duration()
        proxies = [self.deployment.proxies[balancer.name] for balancer in balancers]
        for balancer, proxy in zip(balancers, proxies, strict=True):
            proxy.set_mode(mode)
            self.faults.record_disturbance(balancer.name, duration_s)

        def end():
            for proxy in proxies:
                proxy.set_mode(PASS)

        self.loop.after(duration_s, end)

    def reject_some(self):
        """Let the store reject some balancers, never all of a data centre."""
        random, modes = self.random, self.deployment.store.modes
        mode = random.choice((BUSY, STORE_SILENT, RESETTING))
        hosts = []
        for centre in self.deployment.data_centres:
            balancers = self.balancers_of((centre,))
            for balancer in random.sample(
                balancers, random.randint(0, len(balancers) - 1)
            ):
                proxy = self.deployment.proxies[balancer.name]
                hosts.append(proxy.listener.getsockname()[0])
        duration_s = self._duration()
        modes.clear()  # one rejection at a time leaves a balancer to each centre
        modes.update(dict.fromkeys(hosts, mode))
        self.faults.record_disturbance(STORE_PARTLY, duration_s)

        def end():
            for host in hosts:
                modes.pop(host, None)

        self.loop.after(duration_s, end)
