"""A deployment on loopback: store, targets, balancers, routers and callers."""

import itertools
import time

from ._caller import Callers
from ._loop import Loop
from ._process import BalancerProcess
from ._proxy import Proxy
from ._router import Router
from ._store import ANSWERING, RESETTING, Store
from ._target import Target
from ._wire import parse_host

PACKET_PORT, READY_PORT, PEER_PORT, STORE_PORT = 8172, 8167, 8166, 8169
TARGET_PORT = 8080
GRACE_S = 6
SERVICES = ("pivot-link", "usage-ledger")
ROUTE_HOST = "198.18.0.1"
ROUTE_PORTS = {"pivot-link": 443, "usage-ledger": 8443}
IDLE_TIMEOUT_MS = 15_000
START_TIMEOUT_S = 20
HEARTBEAT_S = 1.2
ENTRY_EXPIRY_S = 3 * HEARTBEAT_S


class Deployment:
    """A simulated platform with real balancer processes.

    Args:
        folder: Folder for settings and logs.
        network: Second octet of all addresses, 1 to 254; deployments that run at
            the same time need different ones.
        data_centres: Names of the data centres.
        balancers: Number of balancers in each data centre.
        targets: Number of targets of each service in each data centre.

    Attributes:
        ledger: Every ``Run`` of every target.
        routes: Services by route (address and port) in the latest configuration.
        idle_routes: Further routes, which see no traffic.
        services_ever: Every service that a route ever had, by route.
        targets: Index of the data centre and ``Target`` by target id.
        states: State that each target last wrote, by target id.
        services: Documents of the services in the configuration.
        warm_up_s: How long targets that start from now on say that they warm up.
        published: The newest configuration's document.
        evacuated: Data centres that are emptied.
    """

    def __init__(self, folder, network, *, data_centres, balancers, targets):
        self.network = network
        self.data_centres = data_centres
        self.loop = Loop()
        self.ledger = []
        self.version = 0
        self.identities = itertools.count(1)
        self.states = {}
        self.services = [{"name": service} for service in SERVICES]
        self.warm_up_s = 0.0
        self.published = None
        self.evacuated = set()
        self.services_ever = {}
        self.idle_routes = {}
        self.store = Store(self.loop, (self.host(0, 1), STORE_PORT))
        self.routes = {
            (parse_host(ROUTE_HOST), port): service
            for service, port in ROUTE_PORTS.items()
        }
        self.publish()
        self.targets = {}
        for centre_index, service, number in itertools.product(
            range(len(data_centres)), SERVICES, range(targets)
        ):
            self.add_target(
                centre_index, service, 1 + number + 20 * SERVICES.index(service)
            )
        self.balancers, self.proxies, self.routers, self.callers = {}, {}, {}, {}
        for centre_index, data_centre in enumerate(data_centres):
            self._add_balancers(folder, centre_index, data_centre, balancers)

    def host(self, group, number):
        """Return an address in the deployment's network.

        Group 0 holds the store; the groups from 1 balancers, from 51 proxies, from
        101 targets and from 201 callers, one group for each data centre.
        """
        return f"127.{self.network}.{group}.{number}"

    def publish(self, **changes):
        """Publish a configuration with the current routes."""
        self.version += 2
        for route, service in self.routes.items():
            self.services_ever.setdefault(route, set()).add(service)
        routes = [
            {
                "name": f"r-{port}",
                "host": ROUTE_HOST,
                "prefix": f"/{port}/",
                "type": "safe",
                "service": service,
            }
            for (_, port), service in (self.routes | self.idle_routes).items()
        ]
        document = {
            "version": self.version,
            "routes": routes,
            "services": self.services,
            "limits": {"idle-timeout-ms": IDLE_TIMEOUT_MS},
        }
        self.published = document | changes
        self.store.put("op/config", self.published)

    def evacuate(self, data_centre, requested=True):
        """Request the evacuation of a data centre, or withdraw it."""
        self.evacuated.discard(data_centre)
        if requested:
            self.evacuated.add(data_centre)
        self.store.put(f"op/evacuate/{data_centre}", {} if requested else None)

    def add_target(self, centre_index, service, number):
        """Start a target, write its entry and return it."""
        identity = f"i-{next(self.identities):08x}"
        address = (self.host(101 + centre_index, number), TARGET_PORT)
        target = Target(
            self.loop,
            identity,
            service,
            address,
            caller_port=PACKET_PORT,
            ledger=self.ledger,
        )
        if self.warm_up_s:
            target.warm_up_ms = round(1_000 * self.warm_up_s)
            target.born_ms = round(1_000 * time.time())
        self.targets[identity] = (centre_index, target)
        self.register(identity)
        return target

    def register(self, identity, state="ready"):
        """Write a target's entry to the store."""
        self.states[identity] = state
        centre_index, target = self.targets[identity]
        entry = target.entry(self.data_centres[centre_index], state)
        self.store.put(f"servers/{identity}", entry)

    def remove_target(self, identity):
        """Stop a target and delete its entry."""
        _, target = self.targets.pop(identity)
        target.close()
        self.store.put(f"servers/{identity}", None)

    def restore_store(self, random, *, age_s, away_s):
        """Take the store away and bring it back from an older copy.

        Whoever wrote to it writes again after a random part of a heartbeat. Entries
        of targets that have ended expire.

        Args:
            random: Random number generator.
            age_s: Age of the copy when the store is taken away.
            away_s: How long the store is away.
        """
        self.store.mode = RESETTING
        self.loop.after(away_s, lambda: self._restore(random, age_s + away_s))

    def _restore(self, random, age_s):
        self.store.mode = ANSWERING
        if not self.store.restore(age_s):
            return
        for key in list(self.store.items):
            if key.startswith("servers/"):
                self.loop.after(ENTRY_EXPIRY_S, lambda key=key: self._expire(key))
        for identity in list(self.targets):
            delay_s = random.random() * HEARTBEAT_S
            self.loop.after(delay_s, lambda identity=identity: self._renew(identity))
        self.loop.after(random.random() * HEARTBEAT_S, self._publish_again)

    def _expire(self, key):
        if key.removeprefix("servers/") not in self.targets and key in self.store.items:
            self.store.put(key, None)

    def _renew(self, identity):
        if identity in self.targets and self.targets[identity][1].sock is not None:
            self.register(identity, self.states[identity])

    def _publish_again(self):
        """Write the newest configuration unless the store has it."""
        stored = self.store.items.get("op/config")
        if stored is None or stored.document != self.published:
            self.store.put("op/config", self.published)
        for data_centre in self.data_centres:
            listed = f"op/evacuate/{data_centre}" in self.store.items
            if listed != (data_centre in self.evacuated):
                self.evacuate(data_centre, requested=not listed)

    def published_configuration(self):
        """Return what should be in force, in the form of ``fetch_configuration``."""
        listed = self.routes | self.idle_routes
        routes = {route: [(service, 1)] for route, service in listed.items()}
        return self.published["version"], routes

    def listed_targets(self):
        """Return what balancers should know, in the form of ``fetch_targets``."""
        return {
            (key, item.document["state"] == "draining")
            for key, item in self.store.items.items()
            if key.removeprefix("servers/") in self.states
        }

    def start(self):
        """Start every balancer and wait until all are in rotation.

        Returns:
            False if one of them exits or isn't in rotation in time.
        """
        for balancer in self.balancers.values():
            balancer.start()
        self.loop.run_until(
            lambda: self.all_ready() or not self._all_alive(), START_TIMEOUT_S
        )
        return self.all_ready() and self._all_alive()

    def _all_alive(self):
        return all(balancer.alive() for balancer in self.balancers.values())

    def all_ready(self):
        """Return whether the latest readiness probe of every balancer succeeded."""
        misses = [
            count
            for router in self.routers.values()
            for count in router.misses.values()
        ]
        return not any(misses)

    def stop(self):
        """Kill every balancer and close the sockets of all others."""
        for balancer in self.balancers.values():
            balancer.kill()
        self.loop.close()

    def _add_balancers(self, folder, centre_index, data_centre, count):
        addresses = {}
        for number in range(1, count + 1):
            host = self.host(1 + centre_index, number)
            name = f"{data_centre}-{number}"
            proxy_address = (self.host(51 + centre_index, number), STORE_PORT)
            self.proxies[name] = Proxy(self.loop, proxy_address, self.store.address)
            settings = {
                "instance": name,
                "data_centre": data_centre,
                "host": host,
                "packet_address": f"{host}:{PACKET_PORT}",
                "ready_address": f"{host}:{READY_PORT}",
                "peer_address": f"{host}:{PEER_PORT}",
                "seeds": [f"{self.host(1, 1)}:{PEER_PORT}"],
                "store_address": "{}:{}".format(*proxy_address),
                "link_mbps": 350,
                "grace_s": GRACE_S,
            }
            self.balancers[name] = BalancerProcess(settings, folder)
            addresses[name] = ((host, PACKET_PORT), (host, READY_PORT))
        self.routers[data_centre] = Router(self.loop, addresses)
        self.callers[data_centre] = Callers(
            self.loop,
            self.host(201 + centre_index, 1),
            PACKET_PORT,
            router=self.routers[data_centre],
            services=self.services_ever,
        )
