"""Steps for the sessions that are kept as text."""

from difflib import unified_diff

from behave import then, when

from lagoontally_bench._golden import SESSIONS, golden_path


@when("the session {name} is run again")
def step_run_session(context, name):
    """A session follows from its seed alone."""
    context.session = SESSIONS[name]()
    context.golden = golden_path(name).read_text()


@then("it equals the kept one")
def step_equals_kept(context):
    """Each message is at the same time and place, with the same content."""
    golden, text = context.golden.splitlines(), context.session.splitlines()
    changes = "\n".join(unified_diff(golden, text, "kept", "now", lineterm=""))
    assert context.session == context.golden, changes
