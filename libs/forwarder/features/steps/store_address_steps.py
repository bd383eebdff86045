"""Steps for an address of the store that changes."""

import json
from pathlib import Path

from behave import given, then, when

from lagoontally_forwarder._clock import now_ms

NEW_PORT = 8_999


@given("a call to the store is running")
def step_call(context):
    """Nothing answers at the store's address."""
    reader = context.process.store_reader
    reader.store.cancel()
    reader.store.get("/watch", 60_000, lambda _result: None)
    assert reader.store.busy


@when("the settings name another address of the store")
def step_new_address(context):
    """The platform has written the file again."""
    host = context.process.settings.host
    reload(context, store_address=f"{host}:{NEW_PORT}")


@when("the settings change otherwise")
def step_other_change(context):
    """Only the grace period differs."""
    reload(context, grace_s=9)


def reload(context, **changed):
    """Write the settings file and let the balancer check it."""
    process = context.process
    path = Path(process.path)
    path.write_text(json.dumps(json.loads(path.read_text()) | changed))
    process._settings_mtime = None
    process._check_settings(now_ms())


@then("the next call goes there")
def step_next_call(context):
    """The running one was given up."""
    process = context.process
    assert process.store_reader.store.address == (process.settings.host, NEW_PORT)
    assert not process.store_reader.store.busy


@then("the balancer still knows its targets")
def step_targets(context):
    """It is the same store."""
    process = context.process
    assert process.balancer.view.targets
    assert process.store_sync.history.position is not None


@then("the call is still running")
def step_running(context):
    """It isn't made again without need."""
    assert context.process.store_reader.store.busy
