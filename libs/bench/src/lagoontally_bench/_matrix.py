"""The fault matrix: every fault struck at every step, and the check after it."""

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
TWICE_AFTER_MS = 3_000
LASTING_FAULT_BREAKS = 2


class Step(NamedTuple):
    """A step at which a fault strikes.

    Attributes:
        name: Its name in the table.
        moment: Name of the moment that marks it.
        after_drain: True when only a moment after the planned drain counts.
        from_ms: Earlier moments don't count.
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


class Strike(NamedTuple):
    """A fault at a step; ``times`` says how often it strikes."""

    fault: str
    step: str
    times: int = 1


class Cell(NamedTuple):
    """One run of the matrix.

    Attributes:
        seed: Seed of the scenario.
        strikes: The faults struck in it.
        mutation: Name of the deliberate fault of the core, or empty.
    """

    seed: int
    strikes: tuple[Strike, ...]
    mutation: str = ""

    @property
    def name(self):
        """Say what is struck where."""
        return " + ".join(
            f"{strike.fault} at {strike.step}" + (" twice" * (strike.times > 1))
            for strike in self.strikes
        )


class CellResult(NamedTuple):
    """What came of a cell.

    Attributes:
        cell: The cell.
        breaches: The promises that didn't hold.
        struck: How many strikes found their step.
        answered: Requests that were answered.
        told: Requests that had an outcome.
    """

    cell: Cell
    breaches: tuple[Breach, ...]
    struck: int
    answered: int
    outcomes: int


class _Trigger:
    """Strikes a fault at the first moment of its step."""

    def __init__(self, scenario, strike):
        self.scenario = scenario
        self.step = STEPS_BY_NAME[strike.step]
        self.fault = FAULTS_BY_NAME[strike.fault]
        self.left = strike.times
        self.next_ms = self.step.from_ms
        self.struck = 0

    def __call__(self, moment):
        """Strike if this is the moment."""
        world = self.scenario.world
        if not self.left or world.now_ms < self.next_ms:
            return
        if moment.name != self.step.moment or not self._after_drain():
            return
        self.left -= 1
        self.struck += 1
        self.next_ms = world.now_ms + TWICE_AFTER_MS
        self.fault.strike(self.scenario, moment)

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
        triggers = [_Trigger(scenario, strike) for strike in cell.strikes]
        scenario.world.listeners.extend(triggers)
        scenario.run()
    faults = [FAULTS_BY_NAME[strike.fault] for strike in cell.strikes]
    breaches = _check(scenario, faults)
    outcomes = scenario.world.outcomes
    answered = sum(type(item.outcome).__name__ == "Answered" for item in outcomes)
    struck = sum(trigger.struck for trigger in triggers)
    return CellResult(cell, tuple(breaches), struck, answered, len(outcomes))


def _check(scenario, faults: list[Fault]):
    world = scenario.world
    breaches = check_requests(world)
    breaches += check_isolation(world)
    breaches += check_progress(world)
    planned = all(fault.planned for fault in faults)
    breaches += check_lines(
        scenario.callers,
        end_ms=world.now_ms,
        allowed_breaks=0 if planned else LASTING_FAULT_BREAKS,
        gap_ms=_longest_gap(faults),
    )
    unreachable = any(fault.unreachable for fault in faults)
    published = _reached(scenario, scenario.published, unreachable)
    breaches += check_versions(world, published=published)
    for target, version, workspace in scenario.drains:
        for at_ms, other, reached in published:
            if (other, reached) == (version, workspace):
                breaches += check_leaving(world, target, at_ms)
    return breaches


def _longest_gap(faults):
    """Return the longest silence that the faults may cause, None for any."""
    gaps = [fault.gap_ms for fault in faults]
    return None if None in gaps else max(gaps)


def _reached(scenario, published, unreachable):
    """Return when each version could be known in each workspace.

    That is when it was published, but where the platform was out of reach of
    every balancer of the workspace, when the first of them had it.
    """
    reached = []
    for workspace, (at_ms, version) in itertools.product(WORKSPACES, published):
        if unreachable:
            at_ms = _first_in_force(scenario.world, version, workspace)
        if at_ms is not None:
            reached.append((at_ms, version, workspace))
    return reached


def _first_in_force(world, version, workspace):
    times = [
        at_ms
        for at_ms, name, newer in world.versions
        if newer >= version and world.balancers[name].workspace == workspace
    ]
    return min(times, default=None)


def single_cells(seed, *, times=1):
    """Return a cell for each fault at each step."""
    return [
        Cell(seed, (Strike(fault.name, step.name, times),))
        for fault, step in itertools.product(FAULTS, STEPS)
    ]


def pair_cells(seed, count):
    """Return ``count`` cells of two different faults at random steps."""
    random = Random(seed)
    cells = []
    for number in range(count):
        first, second = random.sample(FAULTS, 2)
        strikes = tuple(
            Strike(fault.name, random.choice(STEPS).name) for fault in (first, second)
        )
        cells.append(Cell(seed + number, strikes))
    return cells


def run_cells(cells, *, workers):
    """Run cells, ``workers`` at a time, and yield their results in order."""
    with ProcessPoolExecutor(workers) as pool:
        yield from pool.map(run_cell, cells, chunksize=4)
