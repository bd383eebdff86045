"""The main job: a whole deployment under load and planned change, audited."""

import json
import logging
import time
from collections import Counter
from concurrent.futures import ThreadPoolExecutor
from random import Random

from ._audit import Told, audit, audit_passes, read_ledgers
from ._children import NotReadyError
from ._deployment import Deployment, Options
from ._load import Load, LoadPlan

# All of it ends within 60 s, on a slow start too: the load is then shorter.
START_LIMIT_S = 28.0
LOAD_S = 25.0
LATEST_END_S = 42.0
CHANGE_LIMIT_S = 8.0
STOP_LIMIT_S = 6.0
REPLACE_SHARE = 0.24
DRAIN_SHARE = 0.52
CHANGE_WAIT_S = 8.0
REASONS_SHOWN = 10
EXIT_PASSED = 0
EXIT_FAILED = 1
EXIT_NOT_STARTED = 2

log = logging.getLogger("lagoontally.run")


def run(seed: int) -> int:
    """Run callers against a whole deployment and audit the ledgers.

    One balancer is replaced and one upstream drained while calls go on. The
    counts are printed as one JSON line.

    Args:
        seed: Seed of all choices.

    Returns:
        The exit status: zero when nothing happened that must not.
    """
    logging.basicConfig(level=logging.INFO)
    started_s = time.monotonic()
    options = Options(
        seed=seed,
        start_limit_s=START_LIMIT_S,
        change_limit_s=CHANGE_LIMIT_S,
        stop_limit_s=STOP_LIMIT_S,
    )
    deployment = Deployment(options)
    try:
        with deployment, Load(deployment.entry, plan=LoadPlan(seed=seed)) as load:
            end_s = min(time.monotonic() + LOAD_S, started_s + LATEST_END_S)
            changed = run_load(deployment, load, Random(seed), end_s=end_s)
            result = load.finish()
    except NotReadyError as error:
        log.error("the deployment doesn't serve: %s", error)
        return EXIT_NOT_STARTED
    ledgers = read_ledgers(deployment.ledgers)
    for finding in ledgers.findings:
        log.error("ledger line %s: %s", finding.place, finding.reason)
    counts = audit(ledgers.runs, result.calls, result.lines)
    log_reasons(result.calls)
    print(json.dumps({"seed": seed} | counts), flush=True)
    passed = changed and not ledgers.findings and audit_passes(counts)
    return EXIT_PASSED if passed else EXIT_FAILED


def run_load(deployment, load, random, *, end_s):
    """Let callers call while a balancer is replaced and an upstream drained.

    Args:
        deployment: The running deployment.
        load: The callers.
        random: Source of the choices.
        end_s: When no new call is made any more, on the monotonic clock.

    Returns:
        Whether both changes were made.
    """
    began_s = time.monotonic()
    load_s = end_s - began_s
    balancer = random.choice(sorted(deployment.balancers))
    plan = random.choice(deployment.upstreams)
    load.start()
    with ThreadPoolExecutor(1) as pool:
        wait_until(began_s + REPLACE_SHARE * load_s)
        replacing = pool.submit(deployment.replace_balancer, balancer)
        wait_until(began_s + DRAIN_SHARE * load_s)
        deployment.drain_upstream(plan.service, plan.name)
        log.info("%s is leaving", plan.name)
        wait_until(end_s)
        load.ended.set()
        try:
            log.info("%s was replaced by %s", balancer, replacing.result(CHANGE_WAIT_S))
        except (TimeoutError, NotReadyError) as error:
            log.error("%s wasn't replaced: %r", balancer, error)
            return False
    return True


def wait_until(time_s):
    """Sleep until a time of the monotonic clock."""
    time.sleep(max(0.0, time_s - time.monotonic()))


def log_reasons(calls):
    """Log the most frequent reasons of the calls that weren't answered."""
    reasons = Counter(
        (call.service, call.method, call.told.value, call.reason)
        for call in calls
        if call.told is not Told.ANSWERED
    )
    for why, count in reasons.most_common(REASONS_SHOWN):
        log.info("%d not answered: %s", count, " ".join(why))
