"""Steps of a short chaos run."""

import json
import subprocess
import sys

from behave import then, when

# Ends sooner: time is kept for a fault that no longer fits, and for stopping.
LIMIT_S = 56
KINDS = ("kill_balancer", "freeze_balancer", "replace_balancer")
ZERO = ("doubled", "told_not_run_but_ran", "crossed_workspaces", "wrong_answers")


@when("faults are made for about 45 s with seed {seed:d}")
def step_chaos(context, seed):
    """A whole deployment under load has faults of the balancers."""
    command = [sys.executable, "-m", "lagoontally_standins", "chaos"]
    command += ["--seed", str(seed), "--seconds", str(LIMIT_S)]
    for kind in KINDS:
        command += ["--kind", kind]
    context.done = subprocess.run(command, capture_output=True, text=True)
    assert context.done.stdout, context.done.stderr
    context.result = json.loads(context.done.stdout)


@then("nothing was doubled, crossed or answered wrongly")
def step_zero(context):
    """The counts that must be 0 are 0, and calls were answered."""
    result = context.result
    assert [result[name] for name in ZERO] == [0] * len(ZERO), context.done.stdout
    assert result["answered"] > 0 and result["faults"], context.done.stdout


@then("lines were silent no longer than each fault allows")
def step_silence(context):
    """There is no breach, and the exit status says so."""
    assert context.result["breaches"] == [], context.done.stdout
    assert context.done.returncode == 0
