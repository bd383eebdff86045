"""Searches for sequences of changes and faults after which balancers lack a change."""

from typing import NamedTuple

from ._lost_changes_fleet import Fleet
from ._lost_changes_plan import EMPTIED, START_MS
from ._lost_changes_run import Run

AFTERMATH_MS = 6_000
RESTORED_AFTERMATH_MS = 14_000  # until outdated entries of a restored store expire
QUIET_MS = 3_000


class Outcome(NamedTuple):
    """What a run has shown.

    Attributes:
        wrong: What balancers lacked after the faults, or took too long to learn.
        undisturbed_ms: How long each change without faults near it took.
        fleet: The ``Fleet``.
    """

    wrong: list
    undisturbed_ms: list
    fleet: Fleet


def play(plan, *, keep_log=False):
    """Run a plan and return its ``Outcome``."""
    run = Run(plan, keep_log=keep_log)
    fleet = run.fleet
    for event in plan.events:
        fleet.at(event.at_ms, run.happen, event)
    last_ms = plan.events[-1].at_ms if plan.events else START_MS
    fleet.run_until(last_ms + 50)
    run.end_faults()
    if run.configuration is None:
        run.publish(3)
    fleet.run(RESTORED_AFTERMATH_MS if run.restored else AFTERMATH_MS)
    wrong = run.lacking() + [
        f"{name}: evacuation undone"
        for _, name, update in fleet.evacuation_updates
        if update.evacuation.data_centre == EMPTIED and not update.began
    ]
    for change in (run.change_target, lambda: run.publish(2)) if not wrong else ():
        took_ms = run.measure(change, QUIET_MS)
        if took_ms is None:
            wrong += [f"{name} after {QUIET_MS} ms" for name in run.lacking()]
            break
        run.undisturbed_ms.append(took_ms)
    return Outcome(wrong or run.needless_calls(QUIET_MS), run.undisturbed_ms, fleet)


def shrink(plan, seeds=20):
    """Return a plan that fails with fewer events.

    Args:
        plan: A ``Plan`` that fails.
        seeds: How many other seeds to try without an event: to remove it shifts all
            that is drawn after it.
    """
    kept, number = plan, 0
    while number < len(kept.events):
        events = kept.events[:number] + kept.events[number + 1 :]
        tries = (kept.seed, *range(seeds))
        plans = (kept._replace(events=events, seed=seed) for seed in tries)
        shorter = next((one for one in plans if play(one).wrong), None)
        if shorter is None:
            number += 1
        else:
            kept = shorter
    return kept
