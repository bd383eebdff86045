"""The explorations: the models that are searched and their sizes."""

import time
from typing import NamedTuple

from ._explore_edge import EdgeBudget, EdgeModel
from ._explore_once import AtMostOnceModel, Scope
from ._explore_templates import TemplateBudget, TemplateModel
from ._once_state import Budget
from ._search import SearchReport, search


class Exploration(NamedTuple):
    """One exploration.

    Attributes:
        name: Its name.
        model: Returns a new model.
        quick: True when it is small enough for every test run.
    """

    name: str
    model: object
    quick: bool = False


class ExplorationResult(NamedTuple):
    """The result of one exploration.

    Attributes:
        name: Its name.
        report: The report of the search.
        seconds: Duration of the search.
    """

    name: str
    report: SearchReport
    seconds: float


def _at_most_once(
    balancers, commands, *, holds_echo=True, successor_choices=(), prelude=(), **budget
):
    scope = Scope(
        balancers, commands, Budget(**budget), holds_echo, successor_choices, prelude
    )
    return lambda: AtMostOnceModel(scope)


def _template(balancers, **budget):
    return lambda: TemplateModel(balancers, TemplateBudget(**budget))


def _platform_reads(**budget):
    return lambda: EdgeModel(EdgeBudget(**budget))


TWO_LEAVES_PRELUDE = (
    "send command 0",
    "datagram 0.1 -> A",
    "the target runs",
    "answered",
    "B is asked to leave",
    "A is asked to leave",
    "100 ms pass",
)
# A hands over to B and C, B to A and C. The successor of the session is the other
# leaving balancer or the remaining one.
CROSSWISE_SUCCESSORS = (("BC", "B"), ("AC", "C"))
STRAIGHT_SUCCESSORS = (("BC", "C"), ("AC", "C"))
TWO_LEAVES_OPTIONS = {"leaves": 2, "ticks": 3, "prelude": TWO_LEAVES_PRELUDE}

EXPLORATIONS = (
    Exploration(
        "first contact, copies, a rebound address",
        _at_most_once(2, 1, holds_echo=False, rebinds=1, ticks=1),
        quick=True,
    ),
    Exploration(
        "first contact, copies, expiry",
        _at_most_once(2, 1, holds_echo=False, jumps=1),
        quick=True,
    ),
    Exploration(
        "a crash, a wrong suspicion, expiry",
        _at_most_once(2, 1, crashes=1, declares=1, jumps=1),
        quick=True,
    ),
    Exploration(
        "sheds, expiry", _at_most_once(2, 1, sheds=2, ticks=1, jumps=1), quick=True
    ),
    Exploration("a freeze, expiry", _at_most_once(2, 1, freezes=1, ticks=1, jumps=1)),
    Exploration("a leave, copies", _at_most_once(2, 1, leaves=1, ticks=3)),
    Exploration(
        "a leave, a crash", _at_most_once(2, 1, copies=1, leaves=1, ticks=3, crashes=1)
    ),
    Exploration(
        "a leave, expiry", _at_most_once(2, 1, copies=1, leaves=1, ticks=2, jumps=1)
    ),
    Exploration(
        "a leave, a freeze",
        _at_most_once(2, 1, copies=1, leaves=1, ticks=2, jumps=1, freezes=1),
    ),
    Exploration(
        "two leaves, crosswise",
        _at_most_once(
            3, 1, successor_choices=CROSSWISE_SUCCESSORS, **TWO_LEAVES_OPTIONS
        ),
    ),
    Exploration(
        "two leaves, straight",
        _at_most_once(
            3, 1, successor_choices=STRAIGHT_SUCCESSORS, **TWO_LEAVES_OPTIONS
        ),
    ),
    Exploration(
        "two commands, a crash", _at_most_once(2, 2, copies=1, crashes=1, declares=1)
    ),
    Exploration(
        "two heirs, a leave, a crash, a freeze",
        _at_most_once(
            3, 2, leaves=1, ticks=3, crashes=1, freezes=1, declares=1, jumps=1
        ),
    ),
    Exploration("versions, stale reads", _template(2, reads=3), quick=True),
    Exploration("versions, stale reads, three balancers", _template(3, reads=2)),
    Exploration(
        "a newcomer, stale reads",
        _template(2, publishes=1, replacements=1, ticks=1),
        quick=True,
    ),
    Exploration(
        "a newcomer, an old list",
        _template(2, publishes=1, replacements=1, ticks=1, old_lists=1),
        quick=True,
    ),
    Exploration(
        "a newcomer, a cut, the longest wait",
        _template(2, publishes=1, replacements=1, waits=1, cuts=1),
    ),
    Exploration(
        "a newcomer among three, a cut",
        _template(3, publishes=1, replacements=1, ticks=1, cuts=1),
    ),
    Exploration(
        "reads of the platform, a pause",
        _platform_reads(publishes=2, answers=2, failures=0, reads=0),
        quick=True,
    ),
    Exploration("reads of the platform, a failure", _platform_reads(publishes=2)),
    Exploration("reads of the platform, three documents", _platform_reads()),
)


def explore(exploration, *, states_limit, seed=0):
    """Run one exploration.

    Args:
        exploration: The exploration.
        states_limit: Maximum number of states to visit.
        seed: As in ``search``.

    Returns:
        An ``ExplorationResult``.
    """
    started_s = time.monotonic()
    report = search(exploration.model(), states_limit=states_limit, seed=seed)
    if report.violation is not None:
        report = _find_shorter_trace(exploration, report, states_limit)
    return ExplorationResult(exploration.name, report, time.monotonic() - started_s)


def _find_shorter_trace(exploration, report, states_limit):
    """Search breadth-first for a shorter trace of a violation."""
    breadth_first_report = search(
        exploration.model(), states_limit=states_limit, breadth_first=True
    )
    return report if breadth_first_report.violation is None else breadth_first_report
