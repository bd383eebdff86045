"""Balancer processes; signals are sent only to processes started here."""

import json
import os
import re
import signal
import subprocess
import sys
from http.client import HTTPConnection, HTTPException
from pathlib import Path

FETCH_TIMEOUT_S = 3
LEAVING_FIELD = 7  # index in the array of a target that peers fetch
SHARES_FIELD = 1  # the same in that of a route
# Starts like deploy/balancer.py, but imports the sources.
BALANCER_PROGRAM = """
import sys
from signal import SIG_IGN, SIGHUP, signal
signal(SIGHUP, SIG_IGN)
from lagoontally_forwarder import main
sys.exit(main())
"""


class BalancerProcess:
    """A balancer's process, which can be started repeatedly.

    Args:
        settings: The balancer's settings.
        folder: Folder for the settings file and the log.

    Attributes:
        command: Command line of the process; by default it runs the sources.
        process: The process started last, None before the first start.
        paused: Whether the process is stopped by SIGSTOP.
    """

    def __init__(self, settings, folder):
        self.name = settings["instance"]
        self.settings = settings
        self.settings_path = folder / f"{self.name}.json"
        self.log_path = folder / f"{self.name}.log"
        self.command = [sys.executable, "-c", BALANCER_PROGRAM]
        self.process = None
        self.paused = False
        self.write_settings()

    def write_settings(self):
        """Replace the settings file atomically."""
        scratch = self.settings_path.with_suffix(".new")
        scratch.write_text(json.dumps(self.settings))
        os.replace(scratch, self.settings_path)

    def start(self):
        """Start the process."""
        environment = {
            "PATH": os.environ.get("PATH", ""),
            "PYTHONPATH": os.pathsep.join(sys.path),
            "LAGOONTALLY_SETTINGS": str(self.settings_path),
        }
        with self.log_path.open("ab") as log:
            self.process = subprocess.Popen(
                self.command,
                env=environment,
                stdout=log,
                stderr=subprocess.STDOUT,
            )

    def alive(self):
        """Return whether the process is running."""
        return self.process is not None and self.process.poll() is None

    def signal(self, number):
        """Send a signal to the process if it is running."""
        if self.alive():
            self.process.send_signal(number)

    def survives_hang_up(self):
        """Return whether the process runs and doesn't end by a SIGHUP any more.

        An interpreter that starts does, until the program's first lines have run.
        """
        if not self.alive():
            return False
        status = Path(f"/proc/{self.process.pid}/status").read_text()
        masks = re.findall(r"^Sig(?:Ign|Cgt):\t(\w+)$", status, re.MULTILINE)
        return any(int(mask, 16) & 1 << signal.SIGHUP - 1 for mask in masks)

    def pause(self):
        """Suspend the process with SIGSTOP."""
        self.signal(signal.SIGSTOP)
        self.paused = True

    def resume(self):
        """Resume a paused process with SIGCONT."""
        self.signal(signal.SIGCONT)
        self.paused = False

    def kill(self):
        """Kill the process and wait until it has exited."""
        self.signal(signal.SIGKILL)
        if self.process is not None:
            self.process.wait()
        self.paused = False

    def fetch_targets(self):
        """Return the targets that the balancer knows, None if it doesn't answer.

        Returns:
            A set of pairs of an entry's key and whether the target is leaving.
        """
        document = self._fetch("/targets")
        return document and {
            (key, target[LEAVING_FIELD]) for key, target in document["targets"].items()
        }

    def fetch_configuration(self):
        """Return the configuration in force, None if the balancer doesn't answer.

        Returns:
            A pair of its version and the services and weights by route (address and
            port).
        """
        document = self._fetch("/configuration")
        return document and (
            document["version"],
            {
                (address, port): [tuple(share) for share in route[SHARES_FIELD]]
                for address, port, *route in document["routes"]
            },
        )

    def _fetch(self, path):
        host, _, port = self.settings["peer_address"].rpartition(":")
        connection = HTTPConnection(host, int(port), timeout=FETCH_TIMEOUT_S)
        try:
            connection.request("GET", path)
            return json.loads(connection.getresponse().read())
        except (OSError, HTTPException, ValueError):
            return None
        finally:
            connection.close()

    def read_log(self):
        """Return the log's records; invalid lines become an "unreadable" event."""
        lines = []
        for line in self.log_path.read_bytes().splitlines():
            try:
                lines.append(json.loads(line))
            except ValueError:
                lines.append(
                    {"event": "unreadable", "text": line.decode(errors="replace")}
                )
        return lines
