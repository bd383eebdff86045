"""What the review's scripts share: a deployment whose balancers are the built program.

The stand-ins of store, targets, routers and callers are the project's own
(`libs/standins`); here are only the settings of a small deployment, what a caller
notes of resets, and how a script ends.
"""

import json
import os
import shutil
import signal
import sys
import tempfile
import time
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
sys.path.insert(0, str(ROOT / "libs/standins/src/lagoontally_standins"))

import packets  # noqa: E402  (found by the path above)
from packets import _caller, _deployment  # noqa: E402

HELD, BROKEN, NOT_RUN = 0, 1, 2
COMMAND = ["python3", "-I", "-S", "target/app/balancer.pyc"]  # deploy/system.toml
SYSTEM_CHECKSUM = 0  # of resets that the system sends; targets' packets have a sum
NETWORKS = range(60, 120)
WITH_TROUBLE = os.environ.get("TROUBLE", "1") != "0"


class NotRunError(Exception):
    """The case could not run."""


class Record:
    """The file that tells what was sent, answered and run.

    Args:
        folder: Folder of the case.
    """

    def __init__(self, folder):
        self.file = (folder / "record.txt").open("w")
        self.started = time.monotonic()
        self.line(f"trouble: {'yes' if WITH_TROUBLE else 'no'}")

    def summary(self, deployment):
        """Write what callers sent and were answered, and what targets ran."""
        for flow in CallerFlow.known:
            target = flow.target or "none"
            self.line(
                f"flow from port {flow.flow[1]} to route port {flow.flow[3]}:"
                f" {flow.requests} requests, {flow.answers} answers, last by {target},"
                f" {flow.system_resets} resets of the system while open"
            )
        for run in deployment.ledger:
            self.line(f"run: {run.request} by {run.target} of {run.service}")

    def line(self, text):
        """Write a line with the time since the start."""
        print(f"{time.monotonic() - self.started:8.3f} {text}", file=self.file)
        self.file.flush()


class CallerFlow(_caller.CallerFlow):
    """A flow that notes who reset it.

    Attributes:
        known: All flows so far.
        system_resets: Resets of the system while the flow was open.
        requests: Number of requests that its caller asked for.
        answers: Number of answers to them.
    """

    known = []

    def __init__(self, *arguments):
        super().__init__(*arguments)
        self.system_resets = 0
        self.requests = 0
        self.answers = 0
        self.known.append(self)

    def send_request(self, request):
        """Send a request as soon as the flow is open."""
        self.requests += 1
        super().send_request(request)

    def on_packet(self, header, data):
        """Handle a packet; the checksum tells the system's resets from a target's."""
        near = (header.sequence - self.peer_sequence) & 0xFFFFFFFF
        near = min(near, (1 << 32) - near)
        if header.flags & 1 and self.opened and near > 76_800:
            return  # not a valid reset of an open flow
        if header.flags & 1 and self.opened and header.checksum == SYSTEM_CHECKSUM:
            self.system_resets += 1
        super().on_packet(header, data)

    def _on_answer(self, answer):
        self.answers += 1
        super()._on_answer(answer)


def start(case, *, data_centres=("tifton",), balancers=3, targets=2, prepare=None):
    """Start a deployment of the built program.

    Args:
        case: Folder of the case.
        data_centres: Names of the data centres.
        balancers: Number of balancers in each.
        targets: Number of targets of each service in each.
        prepare: Function of the deployment, called before balancers start.

    Returns:
        The deployment, its ``Record`` and the temporary folder.
    """
    if not (ROOT / "target/app/balancer.pyc").exists():
        raise NotRunError("target/ is not built")
    os.chdir(ROOT)
    record = Record(case)
    folder = Path(tempfile.mkdtemp(prefix="review-"))
    _caller.CallerFlow = CallerFlow
    network = packets.reserve_network(NETWORKS)
    _deployment.ROUTE_HOST = f"127.{network}.250.1"  # only in packets' headers
    deployment = packets.Deployment(
        folder,
        network,
        data_centres=list(data_centres),
        balancers=balancers,
        targets=targets,
    )
    seeds = [
        f"{deployment.host(1 + index % len(data_centres), 1 + index)}:"
        f"{_deployment.PEER_PORT}"
        for index in range(min(3, balancers))
    ]
    for process in deployment.balancers.values():
        process.command = COMMAND
        process.settings["seeds"] = seeds
    if prepare is not None:
        prepare(deployment)
    for process in deployment.balancers.values():
        process.write_settings()
    if not deployment.start():
        deployment.stop()
        raise NotRunError("balancers were not ready in time")
    return deployment, record, folder


def run(case, body, **options):
    """Run a case and exit with its status.

    Args:
        case: Folder of the case.
        body: Function of the deployment and the ``Record`` that returns the texts of
            the violations that it saw.
        **options: Options of ``start``.
    """
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(NOT_RUN))  # ends balancers
    deployment = folder = None
    try:
        deployment, record, folder = start(case, **options)
        violations = body(deployment, record)
        record.summary(deployment)
        for violation in violations:
            record.line(f"BROKEN {violation}")
        record.line(f"violations: {len(violations)}")
        status = BROKEN if violations else HELD
        print(json.dumps({"case": case.name, "violations": len(violations)}))
    except Exception as error:  # any other would look like a broken rule
        print(f"the case could not run: {type(error).__name__}: {error}")
        status = NOT_RUN
    finally:
        if deployment is not None:
            deployment.stop()
        if folder is not None:
            keep = os.environ.get("KEEP_LOGS")
            if keep:
                shutil.copytree(folder, keep, dirs_exist_ok=True)
            shutil.rmtree(folder, ignore_errors=True)
    sys.exit(status)
