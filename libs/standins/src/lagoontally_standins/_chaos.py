"""The chaos run: seeded faults in turn on real processes, audited."""

import json
import logging
import time
from concurrent.futures import ThreadPoolExecutor
from random import Random

from ._audit import ZERO_COUNTS, audit, read_ledgers
from ._children import NotReadyError
from ._deployment import Deployment
from ._faults import FAULT_KINDS, Stage, in_turn
from ._load import Load, LoadPlan
from ._operator import ask_balancer
from ._run import EXIT_FAILED, EXIT_NOT_STARTED, EXIT_PASSED, log_reasons
from ._silence import Timed, late_on_leaving, timeline, too_long
from ._starts import Options

LONGEST_S = 300.0
SETTLE_S = 6.0
# Left of the whole time for the last calls, for stopping and the audit.
RESERVE_S = 12.0
START_LIMIT_S = 30.0
STOP_LIMIT_S = 8.0
WARM_UP_S = 3.0
IN_FORCE_S = 17.0
POLL_S = 0.5
# Silences are judged by the fault behind them, not by their number.
CHAOS_ZERO_COUNTS = tuple(name for name in ZERO_COUNTS if name != "lines_broken")

log = logging.getLogger("lagoontally.chaos")


def chaos(seed: int, seconds: float, kinds: tuple[str, ...] = ()) -> int:
    """Run callers against a whole deployment while faults are made in turn.

    The result is printed as one JSON line, with the faults in order.

    Args:
        seed: Seed of all choices.
        seconds: How long it takes in all, at most ``LONGEST_S``.
        kinds: The kinds of fault to make; all of them when empty.

    Returns:
        The exit status: zero when nothing happened that must not.
    """
    logging.basicConfig(level=logging.INFO)
    end_s = time.monotonic() + min(seconds, LONGEST_S) - RESERVE_S
    options = Options(seed=seed, start_limit_s=START_LIMIT_S, stop_limit_s=STOP_LIMIT_S)
    deployment = Deployment(options)
    try:
        with deployment, Load(deployment.entry, plan=LoadPlan(seed=seed)) as load:
            stage = Stage(deployment, load, Random(seed))
            run = _Run(stage, kinds or FAULT_KINDS)
            run.make_faults(end_s=end_s)
    except NotReadyError as error:
        log.error("a process doesn't serve: %s", error)
        return EXIT_NOT_STARTED
    result = run.audited()
    print(json.dumps({"seed": seed} | result), flush=True)
    return EXIT_FAILED if result["breaches"] else EXIT_PASSED


class _Run:
    """One run: the faults made so far and what became of them."""

    def __init__(self, stage, kinds):
        self.stage = stage
        self.kinds = kinds
        self.faults = []
        self.behind = []
        self.began_s = 0.0
        self.ended_s = 0.0
        self.result = None

    def make_faults(self, *, end_s):
        """Make one fault after the other while there is time, then end."""
        self.began_s = time.monotonic()
        self.stage.load.start()
        time.sleep(WARM_UP_S)
        for fault in in_turn(self.stage.random, self.kinds):
            if time.monotonic() + fault.needs_s + SETTLE_S > end_s:
                break
            self.make(fault)
            time.sleep(SETTLE_S)
        self.behind = wait_in_force(self.stage.deployment)
        self.save_status()
        self.ended_s = time.monotonic()
        self.result = self.stage.load.finish()

    def make(self, fault):
        """Make one fault and note when."""
        from_s = time.monotonic()
        log.info("%.1f s: %s", from_s - self.began_s, fault.kind)
        target = fault.act(self.stage)
        made = Timed(fault.kind, target, fault.planned, from_s, time.monotonic())
        self.faults.append(made)
        log.info("%.1f s: undone on %s", made.until_s - self.began_s, target)

    def save_status(self):
        """Keep what every balancer says of itself beside its log."""
        deployment = self.stage.deployment
        file = deployment.directory / "status.json"
        file.write_text(json.dumps(all_status(deployment), indent=2))

    def audited(self):
        """Return what is printed."""
        calls, lines = self.result
        ledgers = read_ledgers(self.stage.deployment.ledgers)
        log_reasons(calls)
        counts = audit(ledgers.runs, calls, lines)
        counts["late_on_leaving"] = late_on_leaving(ledgers.runs, self.stage.drains)
        counts["lines_not_open"] = sum(
            not (line.opened and line.open) for line in lines
        )
        entries = timeline(
            self.faults, calls, lines, began_s=self.began_s, end_s=self.ended_s
        )
        breaches = [
            f"{name}: {counts[name]}"
            for name in (*CHAOS_ZERO_COUNTS, "late_on_leaving", "lines_not_open")
            if counts[name]
        ]
        breaches += too_long(self.faults, lines, end_s=self.ended_s)
        breaches += [f"{name} hasn't the newest template" for name in self.behind]
        breaches += [f"{item.place}: {item.reason}" for item in ledgers.findings]
        if not counts["answered"] or not self.faults:
            breaches.append("nothing was answered, or no fault was made")
        directory = str(self.stage.deployment.directory)
        return counts | {
            "faults": entries,
            "breaches": breaches,
            "directory": directory,
        }


def all_status(deployment: Deployment) -> dict[str, dict]:
    """Return each balancer's answer to a status query, by name."""
    plans = list(deployment.balancers.values())
    with ThreadPoolExecutor(len(plans)) as pool:
        answers = pool.map(lambda plan: ask_balancer(plan.address, "status"), plans)
        return {plan.name: answer for plan, answer in zip(plans, answers, strict=True)}


def wait_in_force(deployment: Deployment) -> list[str]:
    """Wait until every balancer has the newest template.

    Returns:
        Names of the balancers that hadn't in time.
    """
    due_s = time.monotonic() + IN_FORCE_S
    while True:
        version = deployment.document["version"]
        behind = [
            name
            for name, status in all_status(deployment).items()
            if status.get("template_version") != version
        ]
        if not behind or time.monotonic() > due_s:
            return behind
        time.sleep(POLL_S)
