"""Steps for a version that a peer has announced and the store lacks."""

from random import Random

from behave import given, then, when
from sync_fixtures import OWN, beacon

from lagoontally_flows import ReadConfiguration, StoreSync, Watch

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


@given("a follower with version {version:d} in force")
def step_follower_version(context, version):
    """It follows the beacons of a reader."""
    context.now_ms = 0
    context.store_sync = StoreSync(priority=9, random=Random(1))
    context.store_sync.on_configuration(version, 9)


@when("it hears of version {first:d}, and {gap_ms:d} ms later of version {second:d}")
def step_hears_twice(context, first, gap_ms, second):
    """Two beacons of its reader."""
    step_hears(context, first)
    context.now_ms += gap_ms
    step_hears(context, second)


def step_hears(context, version):
    """Pass on the beacon of a reader with a version."""
    message = beacon(40, OWN, version)
    context.store_sync.on_beacon(message, "10.0.0.2", context.now_ms, digest=OWN)


@then("it has been behind for {duration_ms:d} ms")
def step_behind(context, duration_ms):
    """The later version doesn't begin the time anew."""
    assert context.now_ms - context.store_sync.behind_since_ms == duration_ms


@when("version {version:d} is in force")
def step_in_force(context, version):
    """It was fetched."""
    context.store_sync.on_configuration(version, 9)


@then("it isn't behind")
def step_not_behind(context):
    """Nothing newer is announced."""
    assert context.store_sync.behind_since_ms is None
