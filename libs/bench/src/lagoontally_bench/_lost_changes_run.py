"""The operator, the targets and the faults around a fleet of balancers."""

from random import Random

from lagoontally_platform import CONFIGURATION_KEY, ENTRY_PREFIX, EVACUATION_PREFIX
from lagoontally_platform._documents import decode_configuration, decode_target
from lagoontally_standins.packets import LONG_AGO_MS, parse_request, target_entry

from ._lost_changes_fleet import Fleet
from ._lost_changes_plan import PRESENT

REWRITE_MS = 2_000
EXPIRY_MS = 6_000
PUBLISH_AGAIN_MS = 300
FIRST_TARGETS = 7
FIRST_ROUTES = 12
PORTS = range(8_000, 8_040)
SERVICES = ("blue", "green", "red")


class Run:
    """A run of a plan.

    Attributes:
        fleet: The ``Fleet``.
        targets: The documents of the targets that are alive, by key.
        configuration: The newest configuration that the store has acknowledged.
        evacuated: The data centres that the operator has emptied.
        restored: Whether the store has come back from a copy.
        ended: Whether the faults are over.
        undisturbed_ms: How long each change without faults near it took.
    """

    def __init__(self, plan, *, keep_log=False):
        self.random = Random(f"{plan.seed} changes")
        names = [f"b{number}" for number in range(plan.count)]
        self.fleet = Fleet(
            names,
            f"{plan.seed} network",
            one_copy=plan.one_copy,
            names_present=plan.named == PRESENT,
            copies_lag=self.random.random() < 0.5,
        )
        if keep_log:
            self.fleet.log = []
        self.priorities = {
            name: number
            for number, name in enumerate(self.random.sample(names, len(names)))
        }
        self.targets = {}
        self.configuration = None
        self.evacuated = set()
        self.restored = False
        self.ended = False
        self.started = 0
        self.undisturbed_ms = []
        self.wrong = []
        for _ in range(FIRST_TARGETS):
            self.start_target()
        if plan.configured:
            self.publish(FIRST_ROUTES)
        self.fleet.store.changes = [
            change._replace(at_ms=LONG_AGO_MS) for change in self.fleet.store.changes
        ]
        for name in names:
            self.fleet.at(self.random.randrange(200), self.start, name)

    def start(self, name):
        """Start a balancer, or start it again."""
        if not self.ended:
            self.fleet.start(name, self.priorities[name])

    # Changes of the targets and of the operator

    def start_target(self):
        """Start a target under a new id."""
        self.started += 1
        key = f"{ENTRY_PREFIX}i-{self.random.randrange(256):02x}{self.started:04x}"
        self.write_target(key, self.new_target())

    def new_target(self):
        """Return the entry of a target that starts now."""
        return target_entry(
            service=self.random.choice(SERVICES),
            address=(f"10.0.{self.started >> 8}.{self.started & 255}", 80),
            data_centre="z0",
            born_ms=1_000_000 + self.fleet.now_ms,
        )

    def write_target(self, key, document):
        """Write a target's entry; None removes it."""
        if document is None:
            self.targets.pop(key, None)
        else:
            self.targets[key] = document
        self.fleet.put(key, document)

    def change_target(self):
        """Start, drain, remove or restart a target."""
        key = self.random.choice(sorted(self.targets)) if self.targets else None
        kind = self.random.choice(("start", "drain", "remove", "restart"))
        if key is None or kind == "start":
            self.start_target()
        elif kind == "drain":
            self.write_target(key, self.targets[key] | {"state": "draining"})
        elif kind == "remove":
            self.write_target(key, None)
        else:
            document = self.targets[key]
            self.write_target(key, self.new_target() | {"address": document["address"]})

    def publish(self, changes):
        """Publish a configuration with a number of routes changed."""
        routes = self.routes()
        for port in self.random.sample(PORTS, changes):
            if port in routes and self.random.random() < 0.5:
                del routes[port]
            else:
                routes[port] = self.new_route(port)
        self.publish_routes(routes)

    def routes(self):
        """Return the routes of the newest configuration by port."""
        listed = self.configuration["routes"] if self.configuration else ()
        return {int(route["prefix"].strip("/")): route for route in listed}

    def new_route(self, port):
        """Return a route to a new service."""
        service = f"s{self.random.randrange(1_000)}"
        prefix = f"/{port}/"
        return {
            "name": f"r{port}",
            "host": "198.18.0.1",
            "prefix": prefix,
            "service": service,
        }

    def publish_routes(self, routes):
        """Publish a configuration with these routes, which are new at any place."""
        listed = sorted(routes.values(), key=lambda route: route["service"])
        previous = self.configuration["version"] if self.configuration else 0
        self.configuration = {
            "version": previous + self.random.randint(1, 4),
            "routes": listed,
            "limits": {"idle-timeout-ms": self.random.randint(5_000, 9_000)},
        }
        self.fleet.put(CONFIGURATION_KEY, self.configuration)

    def evacuate(self, data_centre, requested=True):
        """Request an evacuation or withdraw it."""
        if requested == (data_centre in self.evacuated):
            return
        self.evacuated ^= {data_centre}
        self.fleet.put(EVACUATION_PREFIX + data_centre, {} if requested else None)

    # Events

    def happen(self, event):
        """Let an event happen."""
        self.fleet.trace("event", event.kind, {"detail": event.detail})
        _HAPPENINGS[event.kind](self, *event.detail)

    def restart_all(self, apart_ms):
        """Restart all balancers, some time apart."""
        for number, name in enumerate(self.fleet.processes):
            self.fleet.at(self.fleet.now_ms + number * apart_ms, self.start, name)

    def restart_reader(self):
        """Restart the readers."""
        for process in self.fleet.readers():
            self.start(process.name)

    def kill(self, name, duration_ms):
        """Kill a balancer that is started again after some time."""
        if self.fleet.processes[name].alive:
            self.fleet.stop(name)
            self.fleet.at(self.fleet.now_ms + duration_ms, self.start, name)

    def pause(self, name, duration_ms):
        """Let a process stand still."""
        process = self.fleet.processes[name]
        if process.held is None:
            process.held = []
            self.later(duration_ms, process.resume)

    def cut_from_store(self, names, mode, duration_ms):
        """Let the store turn some balancers away."""
        self.fleet.store_cuts |= dict.fromkeys(names, mode)
        self.later(duration_ms, self.fleet.store_cuts.clear)

    def cut_from_peers(self, names, duration_ms):
        """Cut balancers off from each other."""
        self.fleet.peer_cuts |= set(names)
        self.later(duration_ms, self.fleet.peer_cuts.clear)

    def during(self, attribute, value, duration_ms):
        """Set an attribute of the fleet for some time."""
        usual = {"loss": 0.0, "answer_loss": 0.0, "slow": False}[attribute]
        setattr(self.fleet, attribute, value)
        self.later(duration_ms, setattr, self.fleet, attribute, usual)

    def deafen(self, names, duration_ms):
        """Answer no watch for some time, then lose the history."""
        self.fleet.deaf |= set(names)
        self.later(duration_ms, self.hear_again)

    def hear_again(self):
        """Lose the history and close the connections of watches."""
        if self.fleet.deaf:
            self.fleet.deaf.clear()
            self.forget()
            self.fleet.cut_watches()

    def forget(self):
        """Lose the history."""
        self.fleet.store.forgotten = self.fleet.store.revision

    def restore(self, age_ms):
        """Restore an older copy; what is alive is written again."""
        fleet, store = self.fleet, self.fleet.store
        self.restored = True
        store.restore(fleet.now_ms, age_ms)
        fleet.cut_watches()
        for key in sorted(self.targets.keys() | store.items().keys()):
            if key.startswith(ENTRY_PREFIX):
                alive = key in self.targets
                wait_ms = self.random.randrange(REWRITE_MS) if alive else EXPIRY_MS
                self.later(wait_ms, self.write_again, key)
        wait_ms = self.random.randrange(PUBLISH_AGAIN_MS)
        self.later(wait_ms, self.publish_again)
        self.later(wait_ms, self.evacuate_again)

    def write_again(self, key):
        """Write an entry that the restored copy holds otherwise."""
        change = self.fleet.store.items().get(key)
        document = self.targets.get(key)
        if (change and change.document) != document:
            self.fleet.put(key, document)

    def publish_again(self):
        """Write the newest configuration if the restored copy lacks it."""
        change = self.fleet.store.items().get(CONFIGURATION_KEY)
        found = change.document["version"] if change else 0
        if self.configuration is not None and found < self.configuration["version"]:
            self.fleet.put(CONFIGURATION_KEY, self.configuration)

    def evacuate_again(self):
        """Write the evacuations that the restored copy holds otherwise."""
        items = self.fleet.store.items()
        wanted = {EVACUATION_PREFIX + name for name in self.evacuated}
        found = {key for key in items if key.startswith(EVACUATION_PREFIX)}
        for key in sorted(wanted ^ found):
            self.fleet.put(key, {} if key in wanted else None)

    def later(self, wait_ms, action, *arguments):
        """Run an action after some time."""
        self.fleet.at(self.fleet.now_ms + wait_ms, action, *arguments)

    def end_faults(self):
        """End all that disturbs the balancers."""
        fleet = self.fleet
        self.hear_again()
        fleet.store_cuts.clear()
        fleet.peer_cuts.clear()
        fleet.loss = fleet.answer_loss = 0.0
        fleet.slow = False
        for name, process in fleet.processes.items():
            process.resume()
            if not process.alive:
                self.start(name)
        self.ended = True

    # Results

    def lacking(self):
        """Return what each balancer lacks of the newest state, in words."""
        found = []
        configuration = self.configuration and decode_configuration(self.configuration)
        targets = {
            key: decode_target(key.removeprefix(ENTRY_PREFIX), document)
            for key, document in self.targets.items()
        }
        for process in self.fleet.living():
            own = process.balancer.configuration
            if own != configuration:
                same = own and configuration and own.version == configuration.version
                found.append(f"{process.name}: {'routes' if same else 'version'}")
            view = process.balancer.view.targets
            if view != targets:
                found.append(f"{process.name}: targets")
            if process.balancer.evacuations.since_ms.keys() != self.evacuated:
                found.append(f"{process.name}: evacuations")
        return found

    def needless_calls(self, duration_ms):
        """Return which balancers still make calls other than the reader's watches."""
        self.fleet.requests.clear()
        self.fleet.run(duration_ms)
        calls = [(name, parse_request(path)) for name, path in self.fleet.requests]
        watching = {name for name, request in calls if request.is_watch}
        others = {name for name, request in calls if not request.is_watch}
        found = [f"{name}: calls" for name in sorted(others)]
        return found + (["readers"] if len(watching) != 1 else [])

    def measure(self, change, most_ms):
        """Make a change and wait until every balancer knows it.

        Returns:
            How long that took, None if it took longer than ``most_ms``.
        """
        change()
        began_ms = self.fleet.now_ms
        while self.lacking():
            if self.fleet.now_ms - began_ms >= most_ms:
                return None
            self.fleet.run(10)
        return self.fleet.now_ms - began_ms


_HAPPENINGS = {
    "targets": lambda run, count: [run.change_target() for _ in range(count)],
    "one target": Run.change_target,
    "routes": Run.publish,
    "one route": Run.publish,
    "evacuate": Run.evacuate,
    "other item": lambda run: run.fleet.put("other/item", 1),
    "restart": Run.start,
    "restart all": Run.restart_all,
    "restart reader": Run.restart_reader,
    "kill": Run.kill,
    "pause": Run.pause,
    "cut from store": Run.cut_from_store,
    "cut from peers": Run.cut_from_peers,
    "lose messages": lambda run, share, ms: run.during("loss", share, ms),
    "lose answers": lambda run, share, ms: run.during("answer_loss", share, ms),
    "deaf": Run.deafen,
    "forget": Run.forget,
    "slow": lambda run, ms: run.during("slow", True, ms),
    "restore": Run.restore,
}
