"""Tracing of failed requests in the balancers' logs."""

import json
import subprocess
import sys
from concurrent.futures import ThreadPoolExecutor
from ipaddress import IPv4Address
from typing import NamedTuple

THREADS = 4
# Parts of the verdicts of ``lagoontally trace``.
ROUTINE_HANDLING = "which was believed alive"  # the logs show no fault
NO_LOG_LINE = "no line mentions"
ALL_SERVING = "{0} of {0} balancers were serving"


class Failure(NamedTuple):
    """A request that wasn't answered.

    Attributes:
        request: Its id.
        caller: Address, as a number, and port of its caller.
        sent_s: Unix time at which it was sent.
        outcome: Value of its ``Outcome``.
    """

    request: str
    caller: tuple
    sent_s: float
    outcome: str


def unexplained_failures(failures, folder, balancers):
    """Return the failures for which ``lagoontally trace`` names no cause.

    Args:
        failures: ``Failure`` records.
        folder: Folder that holds the balancers' logs.
        balancers: Number of balancers.

    Returns:
        Pairs of a failure and the command's verdict.
    """
    logs = sorted(str(path) for path in folder.glob("*.log"))
    with ThreadPoolExecutor(THREADS) as pool:
        verdicts = pool.map(lambda failure: _trace_verdict(failure, logs), failures)
        return [
            (failure, verdict)
            for failure, verdict in zip(failures, verdicts, strict=True)
            if not _names_cause(verdict, balancers)
        ]


def _names_cause(verdict, balancers):
    if ALL_SERVING.format(balancers) not in verdict:
        return True
    return ROUTINE_HANDLING not in verdict and NO_LOG_LINE not in verdict


def _trace_verdict(failure, logs):
    """Trace the request, or its caller if no log mentions the request."""
    host, port = failure.caller
    for subject in (failure.request, f"{IPv4Address(host)}:{port}"):
        arguments = ["trace", subject, *logs, "--at", str(failure.sent_s), "--json"]
        command = [sys.executable, "-m", "lagoontally", *arguments]
        completed = subprocess.run(command, capture_output=True, text=True)
        verdict = json.loads(completed.stdout)["verdict"]
        if not verdict.startswith(NO_LOG_LINE):
            break
    return verdict
