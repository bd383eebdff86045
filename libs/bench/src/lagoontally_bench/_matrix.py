"""The fault matrix: injects every fault at every step and checks the outcome."""

import itertools
from concurrent.futures import ProcessPoolExecutor
from random import Random
from typing import NamedTuple

from ._check import (
    Breach,
    check_isolation,
    check_leaving,
    check_lines,
    check_progress,
    check_requests,
    check_versions,
)
from ._faults import FAULTS, Fault
from ._mutations import apply_mutation
from ._scenario import START_LOAD_MS, WORKSPACES, Scenario

SETTLED_MS = START_LOAD_MS + 2_000
REPEAT_AFTER_MS = 3_000
MAX_UNPLANNED_BREAKS = 2


class Step(NamedTuple):
    """A step at which a fault is injected.

    Attributes:
        name: Its name in the table.
        moment: Name of the moment that triggers the injection.
        after_drain: True to ignore moments before the planned drain.
        from_ms: Moments before this time are ignored.
    """

    name: str
    moment: str
    after_drain: bool = False
    from_ms: int = SETTLED_MS


STEPS = (
    Step("Echo asked", "echo asked", from_ms=START_LOAD_MS),
    Step("request at ingress", "request at ingress"),
    Step("relayed", "Relay sent"),
    Step("at the home", "request sent upstream"),
    Step("at the upstream", "at the upstream"),
    Step("answer on its way", "answer on its way"),
    Step("answer sent", "answer sent"),
    Step("line registered", "line registered"),
    Step("notification on its way", "notification on its way"),
    Step("target change", "line registered", after_drain=True),
    Step("handover sent", "HandoverPart sent"),
    Step("handover acknowledged", "HandoverAck sent"),
    Step("succession announced", "Succession sent"),
    Step("succession taken up", "SuccessionAck sent"),
    Step("template taking effect", "template in force", after_drain=True),
)
STEPS_BY_NAME = {step.name: step for step in STEPS}
FAULTS_BY_NAME = {fault.name: fault for fault in FAULTS}


class Injection(NamedTuple):
    """A fault to inject at a step, ``times`` times."""

    fault: str
    step: str
    times: int = 1


class Cell(NamedTuple):
    """One run of the matrix.

    Attributes:
        seed: Seed of the scenario.
        injections: The faults to inject.
        mutation: Name of the mutation of the core, or empty.
    """

    seed: int
    injections: tuple[Injection, ...]
    mutation: str = ""

    @property
    def name(self):
        """Return which faults are injected at which steps."""
        return " + ".join(
            f"{injection.fault} at {injection.step}"
            + (" twice" * (injection.times > 1))
            for injection in self.injections
        )


class CellResult(NamedTuple):
    """The result of a cell.

    Attributes:
        cell: The cell.
        breaches: The breaches of promises.
        injected: How many injections took place.
        answered: Number of requests that were answered.
        completed: Number of requests with an outcome.
    """

    cell: Cell
    breaches: tuple[Breach, ...]
    injected: int
    answered: int
    completed: int


class _Trigger:
    """Injects a fault at the first matching moment of its step."""

    def __init__(self, scenario, injection):
        self.scenario = scenario
        self.step = STEPS_BY_NAME[injection.step]
        self.fault = FAULTS_BY_NAME[injection.fault]
        self.remaining = injection.times
        self.next_ms = self.step.from_ms
        self.injected = 0

    def __call__(self, moment):
        """Inject the fault if the moment matches the step."""
        world = self.scenario.world
        if not self.remaining or world.now_ms < self.next_ms:
            return
        if moment.name != self.step.moment or not self._after_drain():
            return
        self.remaining -= 1
        self.injected += 1
        self.next_ms = world.now_ms + REPEAT_AFTER_MS
        self.fault.inject(self.scenario, moment)

    def _after_drain(self):
        return not self.step.after_drain or self.scenario.drained_ms is not None


def run_cell(cell):
    """Run one cell.

    Args:
        cell: The ``Cell``.

    Returns:
        Its ``CellResult``.
    """
    with apply_mutation(cell.mutation):
        scenario = Scenario(cell.seed)
        triggers = [_Trigger(scenario, injection) for injection in cell.injections]
        scenario.world.listeners.extend(triggers)
        scenario.run()
    faults = [FAULTS_BY_NAME[injection.fault] for injection in cell.injections]
    breaches = _check(scenario, faults)
    completed = scenario.world.outcomes
    answered = sum(type(item.outcome).__name__ == "Answered" for item in completed)
    injected = sum(trigger.injected for trigger in triggers)
    return CellResult(cell, tuple(breaches), injected, answered, len(completed))


def _check(scenario, faults: list[Fault]):
    world = scenario.world
    breaches = check_requests(world)
    breaches += check_isolation(world)
    breaches += check_progress(world)
    planned = all(fault.planned for fault in faults)
    breaches += check_lines(
        scenario.callers,
        end_ms=world.now_ms,
        allowed_breaks=0 if planned else MAX_UNPLANNED_BREAKS,
        gap_ms=_max_gap_ms(faults),
    )
    delays_templates = any(fault.delays_templates for fault in faults)
    published = _known_versions(scenario, scenario.published, delays_templates)
    breaches += check_versions(world, published=published)
    for target, version, workspace in scenario.drains:
        for at_ms, known_version, known_workspace in published:
            if (known_version, known_workspace) == (version, workspace):
                breaches += check_leaving(world, target, at_ms)
    return breaches


def _max_gap_ms(faults):
    """Return the longest silence that the faults may cause, None for unlimited."""
    gaps = [fault.gap_ms for fault in faults]
    return None if None in gaps else max(gaps)


def _known_versions(scenario, published, delays_templates):
    """Return when each version became available in each workspace.

    This is the time of publication. When the faults cut balancers off from the
    platform, it is the time at which the first balancer of the workspace had
    the version in force.
    """
    known_versions = []
    for workspace, (at_ms, version) in itertools.product(WORKSPACES, published):
        if delays_templates:
            at_ms = _first_in_force(scenario.world, version, workspace)
        if at_ms is not None:
            known_versions.append((at_ms, version, workspace))
    return known_versions


def _first_in_force(world, version, workspace):
    times = [
        at_ms
        for at_ms, name, newer in world.versions
        if newer >= version and world.balancers[name].workspace == workspace
    ]
    return min(times, default=None)


def single_cells(seed, *, times=1):
    """Return a cell for each combination of a fault and a step."""
    return [
        Cell(seed, (Injection(fault.name, step.name, times),))
        for fault, step in itertools.product(FAULTS, STEPS)
    ]


def pair_cells(seed, count):
    """Return ``count`` cells with two different faults at random steps each."""
    random = Random(seed)
    cells = []
    for number in range(count):
        first, second = random.sample(FAULTS, 2)
        injections = tuple(
            Injection(fault.name, random.choice(STEPS).name)
            for fault in (first, second)
        )
        cells.append(Cell(seed + number, injections))
    return cells


def run_cells(cells, *, workers):
    """Run cells in ``workers`` processes and yield their results in order."""
    with ProcessPoolExecutor(workers) as pool:
        yield from pool.map(run_cell, cells, chunksize=4)
