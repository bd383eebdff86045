"""The faults of the chaos run: each is made, held for a while and undone."""

import copy
import logging
import time
from collections.abc import Callable
from random import Random
from typing import NamedTuple

from ._deployment import Deployment, find_target
from ._fleet import UpstreamPlan, time_text
from ._load import Load
from ._starts import upstream_start

# How long the fabric still sends to a balancer that has stopped answering.
NOTICE_S = 1.0
GONE_S = 2.0
FREEZE_S = 10.0
SHORT_FREEZE_S = 5.0
CUT_S = 6.0
DRAIN_S = 8.0
PLATFORM_S = 6.0
NOISE_S = 8.0
MUTED_CALLERS = 3
NOISE = {"loss": 0.05, "duplicate": 0.1, "reorder": 0.2}
NO_NOISE = dict.fromkeys(NOISE, 0.0)

log = logging.getLogger("lagoontally.chaos")


class Drain(NamedTuple):
    """A time in which a target was leaving, on the day's clock."""

    target: str
    from_s: float
    until_s: float


class Stage:
    """What the faults act upon.

    Attributes:
        deployment: The running deployment.
        load: The callers.
        random: Source of the choices.
        drains: The drains made so far.
    """

    def __init__(self, deployment: Deployment, load: Load, random: Random):
        self.deployment = deployment
        self.load = load
        self.random = random
        self.drains: list[Drain] = []

    def any_balancer(self) -> str:
        """Choose a balancer."""
        return self.random.choice(sorted(self.deployment.balancers))

    def any_upstream(self) -> UpstreamPlan:
        """Choose an upstream."""
        return self.random.choice(self.deployment.upstreams)

    def publish_state(self, plan: UpstreamPlan, state: str) -> None:
        """Publish a new version in which a target has a state."""
        document = copy.deepcopy(self.deployment.document)
        find_target(document, plan.service, plan.name)["state"] = state
        document["version"] += 1
        document["published_at"] = time_text()
        self.deployment.publish(document)


class Fault(NamedTuple):
    """One kind of fault.

    Attributes:
        kind: Its name.
        planned: Whether no line may break by it.
        needs_s: How long it takes to make, hold and undo.
        act: Makes, holds and undoes it; returns what it was made upon.
    """

    kind: str
    planned: bool
    needs_s: float
    act: Callable[[Stage], str]


def kill_balancer(stage: Stage) -> str:
    """Kill a balancer; the fabric and the platform notice later."""
    deployment = stage.deployment
    name = stage.any_balancer()
    plan = deployment.balancers[name]
    deployment.kill(name)
    time.sleep(NOTICE_S)
    deployment.withdraw(name)
    time.sleep(GONE_S)
    deployment.add_balancer(plan)
    deployment.forget_balancer(name)
    return name


def freeze_balancer(stage: Stage) -> str:
    """Stop a balancer and let it go on."""
    deployment = stage.deployment
    name = stage.any_balancer()
    deployment.freeze(name)
    time.sleep(NOTICE_S)
    deployment.withdraw(name)
    time.sleep(FREEZE_S - NOTICE_S)
    deployment.wake(name)
    deployment.readmit(name)
    return name


def replace_balancer(stage: Stage) -> str:
    """Start a balancer and end another as a planned leave."""
    name = stage.any_balancer()
    stage.deployment.replace_balancer(name)
    return name


def cut_balancer(stage: Stage) -> str:
    """Cut the link between the fabric and a balancer, each way."""
    name = stage.any_balancer()
    address = stage.deployment.balancers[name].address
    stage.deployment.set_fabric({"blocked": [address]})
    time.sleep(CUT_S)
    stage.deployment.set_fabric({"blocked": []})
    return name


def drain_upstream(stage: Stage) -> str:
    """Publish that a target is leaving, and later that it is active again."""
    plan = stage.any_upstream()
    stage.publish_state(plan, "leaving")
    from_s = time.time()
    time.sleep(DRAIN_S)
    stage.drains.append(Drain(plan.name, from_s, time.time()))
    stage.publish_state(plan, "active")
    return plan.name


def kill_upstream(stage: Stage) -> str:
    """Kill an upstream and start it again; the template names it all the time."""
    deployment = stage.deployment
    plan = stage.any_upstream()
    deployment.kill(plan.name)
    time.sleep(CUT_S)
    start = upstream_start(plan, deployment.options, deployment.directory)
    deployment.start_later(start)
    return plan.name


def freeze_upstream(stage: Stage) -> str:
    """Stop an upstream and let it go on with what it has received."""
    plan = stage.any_upstream()
    stage.deployment.freeze(plan.name)
    time.sleep(SHORT_FREEZE_S)
    stage.deployment.wake(plan.name)
    return plan.name


def platform_down(stage: Stage) -> str:
    """Let the platform answer nobody, while a version is published."""
    return _platform_fault(stage, "down")


def platform_stale(stage: Stage) -> str:
    """Let the platform show old values, while a version is published."""
    return _platform_fault(stage, "stale")


def _platform_fault(stage, mode):
    stage.deployment.set_platform({"mode": mode})
    stage.publish_state(stage.any_upstream(), "active")
    time.sleep(PLATFORM_S)
    stage.deployment.set_platform({"mode": "up"})
    return "platform"


def noise(stage: Stage) -> str:
    """Let the fabric lose, double and reorder datagrams."""
    stage.deployment.set_fabric(NOISE)
    time.sleep(NOISE_S)
    stage.deployment.set_fabric(NO_NOISE)
    return "fabric"


def mute_callers(stage: Stage) -> str:
    """Let the present paths of some callers go silent for good."""
    chosen = stage.random.sample(stage.load.callers, MUTED_CALLERS)
    muted = [caller.path_address() for caller in chosen]
    stage.deployment.set_fabric({"muted": muted})
    return " ".join(caller.name for caller in chosen)


FAULTS = (
    Fault("kill_balancer", False, 6.0, kill_balancer),
    Fault("freeze_balancer", False, FREEZE_S, freeze_balancer),
    Fault("replace_balancer", True, 5.0, replace_balancer),
    Fault("drain_upstream", True, DRAIN_S, drain_upstream),
    Fault("kill_upstream", False, CUT_S + 1.0, kill_upstream),
    Fault("freeze_upstream", False, SHORT_FREEZE_S, freeze_upstream),
    Fault("cut_balancer", False, CUT_S, cut_balancer),
    Fault("platform_down", True, PLATFORM_S, platform_down),
    Fault("platform_stale", True, PLATFORM_S, platform_stale),
    Fault("noise", False, NOISE_S, noise),
    Fault("mute_callers", False, 5.0, mute_callers),
)
FAULT_KINDS = tuple(fault.kind for fault in FAULTS)
FIRST_KINDS = FAULT_KINDS[:3]


def in_turn(random: Random, kinds: tuple[str, ...] = FAULT_KINDS):
    """Yield faults for ever, each kind once a round, in a new order each time.

    The first round begins with the balancers' own faults, so that a short run
    holds them.

    Args:
        random: Source of the order.
        kinds: The kinds to choose from.

    Yields:
        The next ``Fault``.
    """
    faults = [fault for fault in FAULTS if fault.kind in kinds]
    random.shuffle(faults)
    yield from sorted(faults, key=lambda fault: fault.kind not in FIRST_KINDS)
    while True:
        random.shuffle(faults)
        yield from faults
