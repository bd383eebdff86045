"""Steps for the sessions with golden files."""

from difflib import unified_diff

from behave import then, when

from lagoontally_bench._golden import SESSIONS, golden_path


@when("the session {name} is run")
def step_run_session(context, name):
    """A session depends only on its seed."""
    context.session = SESSIONS[name]()
    context.golden = golden_path(name).read_text()


@then("it equals the golden file")
def step_equals_kept(context):
    """Each message has the same time, path and content."""
    golden, text = context.golden.splitlines(), context.session.splitlines()
    changes = "\n".join(unified_diff(golden, text, "golden", "now", lineterm=""))
    assert context.session == context.golden, changes
