"""Sessions whose recorded messages are compared with golden files."""

import json
from pathlib import Path

from lagoontally_caller.protocol import GET, Block, Request

from ._outer_nodes import CallerNode, UpstreamNode
from ._recorder import Recorder
from ._world import World

GOLDEN_DIR = Path(__file__).resolve().parents[2] / "features" / "golden"
SEED = 20_261_203
WORKSPACE = "pivot-command-relay"
PIVOT = "pivot-link"
DESK = "dossier-desk"
VAULT = "pack-vault"
CENTRES = ("tifton", "moultrie")
RECORD_FROM_MS = 6_000
SLOW_NOTIFY_MS = 4_000
BLOCK_EXPONENT = 2


class Session:
    """A small world whose messages are recorded once it serves.

    Attributes:
        world: The world.
        recorder: Records the messages.
        version: The latest published version.
        targets: ``[name, address, data centre, state]`` of each target, by service.
    """

    def __init__(self, title, *, balancers, services, templates=False):
        self.title = title
        self.world = World(SEED)
        self.recorder = Recorder(self.world, templates=templates)
        self.version = 0
        self.targets = {
            service: [
                [f"{service}-{item}", f"127.20.{number}.{item}:7001", centre, "active"]
                for item, centre in enumerate(CENTRES, 1)
            ]
            for number, service in enumerate(services, 1)
        }
        for number in range(balancers):
            centre = CENTRES[number % len(CENTRES)]
            self.add_balancer(f"{centre}-{number // len(CENTRES) + 1}", centre)
        for service in services:
            for name, address, centre, _ in self.targets[service]:
                self.recorder.watch_upstream(
                    UpstreamNode(
                        self.world,
                        name=name,
                        address=address,
                        data_centre=centre,
                        service=service,
                        workspace=WORKSPACE,
                    )
                )
        self.publish()
        self.world.run_until(RECORD_FROM_MS)
        self._begin_recording()

    def _begin_recording(self):
        """Clear the record and reseed, so that the start-up has no influence on it."""
        self.recorder.lines.clear()
        self.world.random.seed(SEED)
        self.world.links.random.seed(SEED)
        for node in self.world.balancers.values():
            node.random.seed(f"{SEED} {node.name}")

    def add_balancer(self, name, centre):
        """Start a balancer."""
        node = self.world.add_balancer(name, centre, WORKSPACE)
        self.recorder.watch_balancer(node)
        return node

    def add_caller(self, name, service):
        """Add a caller."""
        caller = CallerNode(self.world, name=name, workspace=WORKSPACE, service=service)
        self.recorder.watch_caller(caller)
        return caller

    def node(self, name):
        """Return a balancer."""
        return self.world.balancers[name]

    def publish(self):
        """Publish the current targets as a new version."""
        self.version += 1
        self.world.publish(self._document())

    def drain(self, service):
        """Publish the first target of a service as leaving."""
        self.targets[service][0][3] = "leaving"
        self.recorder.add_note(f"{self.targets[service][0][0]} is published as leaving")
        self.publish()

    def _document(self):
        services = {
            service: {
                "entry_port": 5700 + number,
                "placement": "flow",
                "imbalance_weight": 0.5,
                "targets": [
                    {
                        "name": name,
                        "address": address,
                        "data_centre": centre,
                        "state": state,
                        "slots": 2,
                        "connections": 100,
                    }
                    for name, address, centre, state in targets
                ],
            }
            for number, (service, targets) in enumerate(self.targets.items(), 1)
        }
        workspace = {"tenant": "irrigation", "services": services}
        return json.dumps(
            {
                "format": 1,
                "version": self.version,
                "published_at": "2026-12-03T21:00:00Z",
                "quarantine_s": 600,
                "workspaces": {WORKSPACE: workspace},
                "retired": [],
            }
        ).encode()

    def schedule(self, after_ms, action, *arguments, **options):
        """Call ``action`` ``after_ms`` after the start of the recording."""
        self.world.after(after_ms, lambda: action(*arguments, **options))

    def run(self, duration_ms):
        """Run the session and return its text."""
        self.world.run_until(RECORD_FROM_MS + duration_ms)
        outcome_lines = [
            f"told {item.request_id or item.path}: {type(item.outcome).__name__}"
            for item in self.world.outcomes
        ]
        return (
            "\n".join([f"# {self.title}", *self.recorder.lines, *outcome_lines]) + "\n"
        )


def first_session():
    """An Echo handshake, a command, and a line with notifications."""
    session = Session(first_session.__doc__, balancers=2, services=(PIVOT,))
    caller = session.add_caller("pivot0", PIVOT)
    session.schedule(0, caller.command, "/pivot/0/command", "stop-1")
    session.schedule(
        500, caller.open_line, "/pivot/0/status", renew_s=60.0, silence_s=60.0
    )
    return session.run(4_000)


def rolling_replacement():
    """A pivot line with commands while every balancer is replaced."""
    session = Session(rolling_replacement.__doc__, balancers=2, services=(PIVOT,))
    for upstream in session.world.upstreams.values():
        upstream.logic.control({"notify_ms": SLOW_NOTIFY_MS})
    caller = session.add_caller("pivot0", PIVOT)
    session.schedule(
        0, caller.open_line, "/pivot/0/status", renew_s=10.0, silence_s=15.0
    )
    for number in range(4):
        path = "/pivot/0/command"
        session.schedule(
            2_000 + 6_000 * number, caller.command, path, f"stop-{number + 1}"
        )
    for number, centre in enumerate(CENTRES):
        after_ms = 3_000 + 9_000 * number
        session.schedule(after_ms, session.add_balancer, f"{centre}-9", centre)
        session.schedule(after_ms + 6_000, session.node(f"{centre}-1").leave)
    return session.run(24_000)


def crashed_home():
    """A sign-off whose home crashes while it runs, and one after that."""
    session = Session(crashed_home.__doc__, balancers=3, services=(DESK,))
    caller = session.add_caller("desk0", DESK)
    session.schedule(0, caller.command, "/dossier/1/signoff", "sign-1")
    session.schedule(1_000, caller.command, "/dossier/2/signoff", "sign-2")

    def crash_home(moment):
        if moment.name == "at the upstream" and moment.subject == "sign-2":
            session.world.listeners.remove(crash_home)
            running = [
                node
                for node in session.world.balancers.values()
                if node.state.exchanges
            ]
            running[0].kill()

    session.world.listeners.append(crash_home)
    session.schedule(20_000, caller.command, "/dossier/3/signoff", "sign-3")
    return session.run(22_000)


def drained_pack():
    """A dossier pack of many blocks while its upstream is drained."""
    session = Session(drained_pack.__doc__, balancers=2, services=(VAULT,))
    caller = session.add_caller("desk0", VAULT)
    for number in range(8):
        session.schedule(500 * number, caller.ask, _block_request(number))
    session.schedule(1_750, session.drain, VAULT)
    return session.run(6_000)


def _block_request(number):
    block = Block(number, False, BLOCK_EXPONENT)
    return Request(GET, "/pack/1", block=block)


def uneven_template():
    """A template change that balancers see at different times."""
    session = Session(
        uneven_template.__doc__, balancers=3, services=(DESK,), templates=True
    )
    world = session.world
    world.links.cut("platform", "moultrie-1")
    world.links.cut("platform", "tifton-2")
    caller = session.add_caller("desk0", DESK)
    for number in range(3):
        path = f"/dossier/{number}/signoff"
        session.schedule(150 * number, caller.command, path, f"sign-{number + 1}")
    session.schedule(100, session.drain, DESK)
    return session.run(3_000)


def cut_centre():
    """A data centre that is cut off, misses a template, and is healed."""
    session = Session(cut_centre.__doc__, balancers=4, services=(DESK,), templates=True)
    links = session.world.links
    caller = session.add_caller("desk0", DESK)

    def cut():
        session.recorder.add_note("moultrie is cut off from tifton and the platform")
        links.cut("moultrie", "tifton")
        links.cut("platform", "moultrie")

    def heal():
        session.recorder.add_note("the cut heals; the platform stays out of its reach")
        links.heal()
        links.cut("platform", "moultrie")

    session.schedule(0, caller.command, "/dossier/1/signoff", "sign-1")
    session.schedule(1_000, cut)
    session.schedule(2_000, session.drain, DESK)
    session.schedule(9_000, caller.command, "/dossier/2/signoff", "sign-2")
    session.schedule(12_000, heal)
    session.schedule(20_000, caller.command, "/dossier/3/signoff", "sign-3")
    return session.run(24_000)


SESSIONS = {
    function.__name__: function
    for function in (
        first_session,
        rolling_replacement,
        crashed_home,
        drained_pack,
        uneven_template,
        cut_centre,
    )
}


def golden_path(name):
    """Return the path of a session's golden file."""
    return GOLDEN_DIR / f"{name}.txt"
