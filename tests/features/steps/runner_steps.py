"""Steps that run the test runner on a library of their own."""

import shutil
import subprocess
import sys
import tempfile
from pathlib import Path

from behave import given, then, when

RUNNER = Path(__file__).resolve().parents[2] / "run_features.py"
FEATURE = """Feature: Demo
  Scenario Outline: Numbers are small
    Then <number> is small

    Examples:
      | number |
      | 1      |
      | 20     |
      | 30     |
"""
STEPS = """from behave import then

@then("{number:d} is small")
def step_is_small(context, number):
    assert number < 10
"""


@given("a library whose scenario outline fails for the examples 2 and 3")
def step_library(context):
    """Write the library into a folder with a copy of the runner."""
    scratch = tempfile.TemporaryDirectory()
    context.add_cleanup(scratch.cleanup)
    context.root = Path(scratch.name)
    features = context.root / "libs" / "demo" / "features"
    (features / "steps").mkdir(parents=True)
    (features / "demo.feature").write_text(FEATURE)
    (features / "steps" / "demo_steps.py").write_text(STEPS)
    (context.root / "tests").mkdir()
    shutil.copy(RUNNER, context.root / "tests")


@given("KNOWN-RED.txt lists {listed}")
def step_listed(context, listed):
    """Write one entry for each quoted name."""
    names = [name.strip('"') for name in listed.split('", "')]
    entries = "\n".join(f"test: {name}\nissue: 1\n" for name in names if name)
    (context.root / "KNOWN-RED.txt").write_text(entries)


@when("the runner is started")
def step_run(context):
    """Run all features of the folder."""
    context.done = subprocess.run(
        [sys.executable, str(context.root / "tests" / RUNNER.name)],
        capture_output=True,
        text=True,
    )


@then('it exits with {status:d} and ends with "{counts}"')
def step_result(context, status, counts):
    """Check the exit status and the last line."""
    assert context.done.returncode == status, context.done
    assert context.done.stdout.splitlines()[-1] == counts, context.done.stdout


@then('it prints "{line}"')
def step_prints(context, line):
    """Check that one line of the output is ``line``."""
    lines = [printed.strip() for printed in context.done.stdout.splitlines()]
    assert line in lines, context.done.stdout
