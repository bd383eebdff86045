"""Definitions of experiments, as read from a JSON file."""

from pathlib import Path
from typing import NamedTuple

import msgspec


class Fleet(NamedTuple):
    """One service and its balancers.

    Attributes:
        name: Name of the service.
        targets: Number of its targets.
        slots: Number of requests that a target runs concurrently.
        balancers: Number of balancers.
        centres: Number of data centres over which targets and balancers are spread.
        hop_ms: One-way delay between two data centres.
        demand: Relative demand of the data centres' callers, empty if it
            is even.
    """

    name: str
    targets: int
    slots: int = 2
    balancers: int = 14
    centres: int = 1
    hop_ms: float = 1.0
    demand: tuple[float, ...] = ()


class Condition(NamedTuple):
    """Faults and special load during a run.

    Attributes:
        name: Its name in the results.
        report_age_ms: Age of a load report when it arrives.
        liars: Number of targets that always report that they are idle.
        half_speed: Number of targets that take ``slow_factor`` times as long.
        slow_factor: Multiplier of their service time.
        onset: Part of the run after which they are slow and demand is uneven.
        cold: Number of targets that restart a third into the run.
        cold_ms: How long a restarted target is slow.
        cold_factor: Multiplier of its service time while it is slow.
        silent: Number of targets that answer nothing in the middle third.
        shedding: Number of targets that shed everything in the middle third.
        outage_ms: Duration of an outage of all targets, a third into the run.
        storm: Rate of one caller's reads in the middle third, as a multiple of
            all other requests; real cores only.
        commands: Fraction of the requests that are commands; real cores only.
        dispatcher_dies: True when the dispatcher dies a third into the run.
    """

    name: str
    report_age_ms: float = 0.0
    liars: int = 0
    half_speed: int = 0
    slow_factor: float = 2.0
    onset: float = 0.0
    cold: int = 0
    cold_ms: float = 10_000.0
    cold_factor: float = 5.0
    silent: int = 0
    shedding: int = 0
    outage_ms: float = 0.0
    storm: float = 0.0
    commands: float = 0.0
    dispatcher_dies: bool = False


class Experiment(NamedTuple):
    """A set of runs to compare.

    Attributes:
        name: Name of the result and plot files.
        seed: Seed of every random choice.
        requests: Number of requests in each run.
        fleets: The services.
        loads: Offered loads, as fractions of all slots.
        work: Distributions of the service time, ``exponential`` or ``heavy``.
        mean_work_ms: Mean service time.
        conditions: Conditions of the runs.
        policies: Names of the policies compared.
        report_every_ms: Interval at which each balancer reads each load report.
        queue: Number of requests that can wait at a target before it sheds.
    """

    name: str
    seed: int
    requests: int
    fleets: list[Fleet]
    loads: list[float]
    work: list[str]
    policies: list[str]
    conditions: list[Condition]
    mean_work_ms: float = 100.0
    report_every_ms: float = 1_000.0
    queue: int = 16


def read_experiment(path):
    """Return the ``Experiment`` in a JSON file.

    Raises:
        TypeError: A field is missing or unknown.
    """
    document = msgspec.json.decode(Path(path).read_bytes())
    document["fleets"] = [Fleet(**item) for item in document["fleets"]]
    conditions = document.get("conditions", [{"name": "honest"}])
    document["conditions"] = [Condition(**item) for item in conditions]
    return Experiment(**document)
