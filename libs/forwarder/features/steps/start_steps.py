"""Steps for the start of the program that is built for instances."""

import marshal
import shutil
import subprocess
import sys
import tempfile
from pathlib import Path

from behave import then, when

ENTRY = Path(__file__).resolve().parents[4] / "deploy" / "balancer.py"
STATUS = 7
MODULE = f"""
import os, signal
os.kill(os.getpid(), signal.SIGHUP)
def main():
    return {STATUS}
"""


@when("SIGHUP arrives while the built program loads its modules")
def step_signal_at_load(context):
    """The program file holds one module, which sends the signal when it is loaded."""
    with tempfile.TemporaryDirectory() as folder:
        entry = Path(folder) / ENTRY.name
        shutil.copy(ENTRY, entry)
        code = compile(MODULE, "lagoontally_forwarder", "exec")
        program = marshal.dumps({"lagoontally_forwarder": (True, code)})
        (Path(folder) / "program.bin").write_bytes(program)
        command = [sys.executable, "-I", "-S", str(entry)]
        context.status = subprocess.run(command, timeout=20).returncode


@then("the program runs on")
def step_runs_on(context):
    """A process that the signal ended would have the status -1."""
    assert context.status == STATUS, context.status
