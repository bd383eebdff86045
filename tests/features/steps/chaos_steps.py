"""Steps for a short chaos run."""

import json
import subprocess
import sys

from behave import then, when

# Injects for less: reserves time for a fault that no longer fits and for stopping.
TIME_LIMIT_S = 56
KINDS = ("kill_balancer", "freeze_balancer", "replace_balancer")
ZERO_COUNTS = ("doubled", "told_not_run_but_ran", "crossed_workspaces", "wrong_answers")


@when("faults are injected for about 45 s with seed {seed:d}")
def step_chaos(context, seed):
    """Inject faults of balancers into a deployment under load."""
    command = [sys.executable, "-m", "lagoontally_standins", "chaos"]
    command += ["--seed", str(seed), "--seconds", str(TIME_LIMIT_S)]
    for kind in KINDS:
        command += ["--kind", kind]
    context.done = subprocess.run(command, capture_output=True, text=True)
    assert context.done.stdout, context.done.stderr
    context.result = json.loads(context.done.stdout)


@then("no request was duplicated, misrouted or answered wrongly")
def step_zero(context):
    """Check the counts that must be 0, and that requests were answered."""
    result = context.result
    assert [result[name] for name in ZERO_COUNTS] == [0] * len(ZERO_COUNTS), (
        context.done.stdout
    )
    assert result["answered"] > 0 and result["faults"], context.done.stdout


@then("lines were silent no longer than each fault allows")
def step_silence(context):
    """Check the breaches and the exit status."""
    assert context.result["breaches"] == [], context.done.stdout
    assert context.done.returncode == 0
