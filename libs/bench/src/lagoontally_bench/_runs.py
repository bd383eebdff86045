"""Runs of an experiment and their results."""

from concurrent.futures import ProcessPoolExecutor
from itertools import product
from typing import NamedTuple

from ._core_model import LIMITS_BY_POLICY, CoreModel
from ._experiment import Condition, Experiment, Fleet
from ._policies import make_policy
from ._queueing import Model

PERCENTILES = (50.0, 99.0, 99.9)
CURVE_POINTS = 60


class RunPlan(NamedTuple):
    """One run of an experiment."""

    experiment: Experiment
    fleet: Fleet
    load: float
    work: str
    condition: Condition
    policy: str


class Point(NamedTuple):
    """Results of one interval of a run."""

    at_s: float
    p99_ms: float
    imbalance: float


class RunResult(NamedTuple):
    """Results of one run.

    Attributes:
        service: Name of the service.
        load: Offered load.
        work: Distribution of the service time.
        condition: Name of the condition.
        policy: Name of the policy.
        p50_ms: Median latency.
        p99_ms: 99th percentile.
        p999_ms: 99.9th percentile.
        wait_p99_ms: 99th percentile of the latency less the work at normal speed, 0
            with real cores.
        jobs_imbalance: Mean of the samples of max over mean of the targets' jobs.
        busy_imbalance: Mean of the samples of max over mean of the busy slots.
        shed: Number of tries that a target shed.
        refused: Number of requests that were refused to their caller.
        timed_out: Number of requests that timed out.
        amplification: Number of sends to targets per request.
        recovery_s: Time from the end of an outage to its last related failure.
        command_p99_ms: 99th percentile of commands; real cores only.
        commands_failed: Commands refused or timed out; real cores only.
        curve: Results over time.
    """

    service: str
    load: float
    work: str
    condition: str
    policy: str
    p50_ms: float
    p99_ms: float
    p999_ms: float
    wait_p99_ms: float
    jobs_imbalance: float
    busy_imbalance: float
    shed: int
    refused: int
    timed_out: int
    amplification: float
    recovery_s: float
    command_p99_ms: float
    commands_failed: int
    curve: list[Point]


def plan_runs(experiment):
    """Return every run of an experiment."""
    return [
        RunPlan(experiment, *choice)
        for choice in product(
            experiment.fleets,
            experiment.loads,
            experiment.work,
            experiment.conditions,
            experiment.policies,
        )
    ]


def run_one(plan):
    """Run one plan; every policy gets the same seed."""
    real = plan.policy in LIMITS_BY_POLICY
    kind = CoreModel if real else Model
    model = kind(
        plan.experiment,
        plan.fleet,
        load=plan.load,
        work=plan.work,
        condition=plan.condition,
        policy=plan.policy if real else make_policy(plan.policy),
        seed=plan.experiment.seed,
    ).run()
    ordered = sorted(latency for _, latency in model.latencies)
    p50, p99, p999 = (_percentile(ordered, share) for share in PERCENTILES)
    return RunResult(
        service=plan.fleet.name,
        load=plan.load,
        work=plan.work,
        condition=plan.condition.name,
        policy=plan.policy,
        p50_ms=p50,
        p99_ms=p99,
        p999_ms=p999,
        wait_p99_ms=_percentile(sorted(model.waits), 99.0),
        jobs_imbalance=_mean(model.jobs_imbalance),
        busy_imbalance=_mean(model.busy_imbalance),
        shed=model.counts["shed"],
        refused=model.counts["refused"],
        timed_out=model.counts["timed_out"],
        amplification=round(model.sends / plan.experiment.requests, 4),
        recovery_s=model.recovery_s(),
        command_p99_ms=_percentile(sorted(model.command_latencies), 99.0),
        commands_failed=model.counts.get("commands_failed", 0),
        curve=_curve(model),
    )


def run_experiment(experiment, *, workers):
    """Run an experiment; return its results in the order of the plan."""
    with ProcessPoolExecutor(workers) as executor:
        return list(executor.map(run_one, plan_runs(experiment)))


def _percentile(ordered, share):
    if not ordered:
        return 0.0
    position = min(len(ordered) - 1, int(len(ordered) * share / 100))
    return round(ordered[position], 1)


def _mean(samples):
    values = [value for _, value in samples]
    return round(sum(values) / len(values), 3) if values else 0.0


def _curve(model):
    width_ms = model.end_ms / CURVE_POINTS
    return [
        Point(
            round(number * width_ms / 1000, 1),
            _percentile(sorted(_within(model.latencies, number, width_ms)), 99.0),
            _plain_mean(_within(model.jobs_imbalance, number, width_ms)),
        )
        for number in range(CURVE_POINTS)
    ]


def _within(samples, number, width_ms):
    start_ms = number * width_ms
    return [value for at, value in samples if start_ms <= at < start_ms + width_ms]


def _plain_mean(values):
    return round(sum(values) / len(values), 3) if values else 0.0
