"""A small serving fleet, the initial state of the explorations."""

import json
from typing import NamedTuple

from lagoontally_core import (
    IdentityReply,
    Instance,
    InstancesRead,
    PeerMessage,
    SelfInfo,
    SendPeer,
    State,
    TemplateRead,
    Tick,
)
from lagoontally_model import Timing, parse_template

from ._snapshots import ModelConstants, step_seeded

SERVICE = "dossier-desk"
WORKSPACE = "dossier-hub-balancing"
TARGETS = ("127.20.2.1:7001", "127.20.2.2:7001")
NAMES = ("A", "B", "C")
TICK_MS = 100
NEVER_MS = 10**9
START_MS = 1_000
WARMUP_TICKS = 4
# The same relations as between the default limits, on a shorter scale: a request
# is remembered for the fixed margin of 60 s and for longer than the life of an Echo.
TIMING = Timing(
    echo_life_ms=6_000,
    remember_ms=76_000,
    request_timeout_ms=2_000,
    ping_interval_ms=NEVER_MS,
    drain_ms=3_000,
    handover_timeout_ms=2_000,
)


class Fleet(NamedTuple):
    """Serving balancers and the time.

    Attributes:
        states: Their cores' states, by name.
        now_ms: The time; the balancers' clocks differ only by their offsets.
    """

    states: dict[str, State]
    now_ms: int


def document(version, *, state="active"):
    """Return a document of the two targets at ``version``."""
    targets = [
        {
            "name": f"desk-{number}",
            "address": address,
            "data_centre": "kgn-a",
            "state": state,
            "slots": 2,
            "connections": 100,
        }
        for number, address in enumerate(TARGETS, 1)
    ]
    service = {
        "entry_port": 5711,
        "placement": "flow",
        "imbalance_weight": 0.5,
        "targets": targets,
    }
    workspace = {"tenant": "dossiers", "services": {SERVICE: service}}
    return json.dumps(
        {
            "format": 1,
            "version": version,
            "published_at": "2026-12-03T21:00:00Z",
            "quarantine_s": 600,
            "workspaces": {WORKSPACE: workspace},
            "retired": [],
        }
    ).encode()


def model_constants(versions=(1,)):
    """Return the ``ModelConstants`` that the states of a model share."""
    templates = {number: parse_template(document(number)) for number in versions}
    return ModelConstants(TIMING, templates)


def new_state(name, generation=0):
    """Return the state of a balancer that has just started."""
    seed = ord(name) + 1_000 * generation
    info = SelfInfo(
        incarnation=seed * 0x9E3779B97F4A7C15 % 2**64,
        name=name,
        workspace=WORKSPACE,
        data_centre="kgn-a",
        peer_address=peer_address(name),
        echo_key=bytes([seed % 256]) * 32,
        wall_offset_ms=0,
    )
    return State(info, TIMING)


def peer_address(name):
    """Return the address at which a balancer receives peer messages."""
    return f"{name}:7946"


def instances(names):
    """Return the platform's list of instances for these balancers."""
    return tuple(Instance(name, "kgn-a", peer_address(name), False) for name in names)


def serving_fleet(size):
    """Return a fleet in which every balancer serves and knows all members."""
    states = {name: new_state(name) for name in NAMES[:size]}
    by_address = {peer_address(name): name for name in states}
    template = parse_template(document(1))
    listed = InstancesRead(instances(states))
    started = (TemplateRead(template, document(1)), listed)
    identities = [IdentityReply(address, WORKSPACE, SERVICE) for address in TARGETS]
    now_ms = START_MS
    queue = [(name, event) for name in states for event in (Tick(), *started)]
    queue += [(name, event) for name in states for event in identities]
    for _ in range(WARMUP_TICKS):
        now_ms += TICK_MS
        queue += [(name, Tick()) for name in states]
        while queue:
            name, event = queue.pop(0)
            for action in step_seeded(states[name], event, now_ms):
                if isinstance(action, SendPeer):
                    sender = states[name].info.incarnation
                    message = PeerMessage(sender, action.message)
                    queue.append((by_address[action.peer_address], message))
    return Fleet(states, now_ms)
