"""Real balancers as processes, which are ended by their own ids only."""

import json
import os
import signal
import subprocess
import sys

BALANCER_PROGRAM = (
    "import sys; from lagoontally_forwarder import main; sys.exit(main())"
)


class BalancerProcess:
    """A balancer's process, started again whenever it is told to.

    Args:
        settings: Its settings as a document.
        folder: Folder for the settings file and the log.

    Attributes:
        command: What is run, the program's sources unless it is changed.
        process: The running process, None before the first start.
        paused: Whether it is stopped by a signal.
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
        """Write the settings file, in one step for its readers."""
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
        """Tell whether the process runs."""
        return self.process is not None and self.process.poll() is None

    def signal(self, number):
        """Send a signal to the process, if it runs."""
        if self.alive():
            self.process.send_signal(number)

    def pause(self):
        """Stop the process without ending it."""
        self.signal(signal.SIGSTOP)
        self.paused = True

    def resume(self):
        """Let a paused process go on."""
        self.signal(signal.SIGCONT)
        self.paused = False

    def kill(self):
        """End the process at once and wait for its end."""
        self.signal(signal.SIGKILL)
        if self.process is not None:
            self.process.wait()
        self.paused = False

    def read_log(self):
        """Return the log's lines as documents; an unfinished one is left out."""
        lines = []
        for line in self.log_path.read_bytes().splitlines():
            try:
                lines.append(json.loads(line))
            except ValueError:
                lines.append({"event": "unreadable", "text": line.decode("replace")})
        return lines
