"""Child processes of a deployment, each ended by its own process id."""

import json
import os
import signal
import subprocess
import sys
from concurrent.futures import ThreadPoolExecutor
from concurrent.futures import TimeoutError as FutureTimeoutError
from pathlib import Path
from typing import NamedTuple

EXIT_WAIT_S = 15.0


class NotReadyError(Exception):
    """A child process ended, or stayed silent, before it served."""


class ProcessRecord(NamedTuple):
    """A running process, as ``up`` reports it.

    Attributes:
        role: ``platform``, ``fabric``, ``upstream`` or ``balancer``.
        name: Name of the instance.
        data_centre: Data centre that it runs in, empty outside of them.
        tenant: Tenant that it serves, empty for both.
        pid: Process id.
        address: IP address or ``IP:port`` at which it serves.
        control: URL of its control, empty without one.
    """

    role: str
    name: str
    data_centre: str
    tenant: str
    pid: int
    address: str
    control: str = ""


class Child:
    """One child process.

    Attributes:
        name: Name of the instance.
        process: The process.
        log: File that takes what it writes to standard error.
    """

    def __init__(self, name: str, arguments: list[str], log: Path):
        self.name = name
        self.log = log
        with log.open("ab") as errors:
            self.process = subprocess.Popen(
                [sys.executable, "-m", *arguments],
                stdin=subprocess.DEVNULL,
                stdout=subprocess.PIPE,
                stderr=errors,
                # A child outlives an interrupt typed at the terminal, so that
                # its parent decides the order in which children end.
                start_new_session=True,
            )

    def wait_ready(self, pool: ThreadPoolExecutor, wait_s: float) -> None:
        """Wait for the line that says that the process serves.

        Args:
            pool: Executor that reads the line.
            wait_s: How long to wait at most.

        Raises:
            NotReadyError: The process ended, or wrote nothing in time.
        """
        reading = pool.submit(self.process.stdout.readline)
        try:
            line = reading.result(wait_s)
            ready = json.loads(line).get("ready") is True
        except (FutureTimeoutError, ValueError, AttributeError):
            ready = False
        if not ready:
            self.end()
            raise NotReadyError(f"{self.name} doesn't serve; see {self.log}")

    def signal(self, number: signal.Signals) -> None:
        """Send a signal, unless the process has ended."""
        if self.process.poll() is None:
            os.kill(self.process.pid, number)

    def ask_to_end(self) -> None:
        """Ask the process to end, also when it is frozen."""
        self.signal(signal.SIGTERM)
        self.signal(signal.SIGCONT)

    def wait_end(self, wait_s: float = EXIT_WAIT_S) -> bool:
        """Wait until the process has ended; kill it when it doesn't.

        Args:
            wait_s: How long to wait at most.

        Returns:
            Whether it ended by itself.
        """
        try:
            self.process.wait(wait_s)
            ended = True
        except subprocess.TimeoutExpired:
            self.process.kill()
            self.process.wait()
            ended = False
        self.process.stdout.close()
        return ended

    def end(self) -> bool:
        """Ask the process to end and wait for it."""
        self.ask_to_end()
        return self.wait_end()
