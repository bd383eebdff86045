"""Steps for a version that a peer has announced and the store lacks."""

from behave import then, when

from lagoontally_flows import ReadConfiguration, Watch

TICK_MS = 20


@when("for {duration_ms:d} ms the store answers with version {version:d} only")
def step_answers(context, duration_ms, version):
    """A restored copy lacks the newer version, and no peer answers."""
    store_sync = context.store_sync
    context.calls = []
    for _ in range(duration_ms // TICK_MS):
        context.now_ms += TICK_MS
        call = store_sync.next_call(context.now_ms)
        if call is None:
            continue
        context.calls.append(type(call))
        if isinstance(call, ReadConfiguration):
            store_sync.on_configuration(version, 9)
            store_sync.on_configuration_read(18, context.now_ms, found=True)
        elif isinstance(call, Watch):
            store_sync.on_changes(
                18, context.now_ms, after=call.revision, targets_changed=False
            )


@then("it has watched, and read the configuration at most {count:d} times")
def step_watched(context, count):
    """About four times a second, as a member asks a peer."""
    calls = context.calls
    assert Watch in calls and calls.count(ReadConfiguration) <= count, (
        calls.count(Watch),
        calls.count(ReadConfiguration),
    )
