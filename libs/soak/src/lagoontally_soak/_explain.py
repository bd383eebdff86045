"""Whether the balancers' logs explain the requests that failed."""

import json
import subprocess
import sys
from concurrent.futures import ThreadPoolExecutor
from ipaddress import IPv4Address
from typing import NamedTuple

THREADS = 4
NO_CAUSE = "which was believed alive"  # all that the logs show is a usual way
NO_LINE = "no line mentions"
ALL_SERVING = "{0} of {0} balancers were serving"


class Failure(NamedTuple):
    """A request that wasn't answered.

    Attributes:
        request: Its id.
        caller: Address, as a number, and port of its caller.
        asked_s: Unix time at which it was asked.
        outcome: How it ended.
    """

    request: str
    caller: tuple
    asked_s: float
    outcome: str


def unexplained(failures, folder, balancers):
    """Return the failures for which ``lagoontally trace`` names no cause.

    Args:
        failures: ``Failure`` records.
        folder: Folder of the balancers' logs.
        balancers: Number of balancers.

    Returns:
        Pairs of a failure and what the command said.
    """
    logs = sorted(str(path) for path in folder.glob("*.log"))
    with ThreadPoolExecutor(THREADS) as pool:
        verdicts = pool.map(lambda failure: _verdict(failure, logs), failures)
        return [
            (failure, verdict)
            for failure, verdict in zip(failures, verdicts, strict=True)
            if not _is_cause(verdict, balancers)
        ]


def _is_cause(verdict, balancers):
    if ALL_SERVING.format(balancers) not in verdict:
        return True
    return NO_CAUSE not in verdict and NO_LINE not in verdict


def _verdict(failure, logs):
    """Follow the request, or its caller where its flow never opened."""
    host, port = failure.caller
    for subject in (failure.request, f"{IPv4Address(host)}:{port}"):
        words = ["trace", subject, *logs, "--at", str(failure.asked_s), "--json"]
        command = [sys.executable, "-m", "lagoontally", *words]
        done = subprocess.run(command, capture_output=True, text=True)
        verdict = json.loads(done.stdout)["verdict"]
        if not verdict.startswith(NO_LINE):
            break
    return verdict
