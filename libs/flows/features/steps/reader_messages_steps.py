"""Steps for what a balancer may conclude from a reader's messages."""

from behave import then, when
from sync_fixtures import OTHER, OWN, beacon, next_call, position

from lagoontally_flows import (
    Delta,
    FetchConfiguration,
    FetchTargets,
    ReadConfiguration,
    Watch,
)


@when(
    "{kind} of a reader with version {version:d}, which knows all up to"
    " {revision:d}, arrives"
)
def step_newer_version(context, kind, version, revision):
    """The balancer's configuration is older."""
    known, store_sync = position(revision), context.store_sync
    if kind == "a beacon":
        message = beacon(40, OWN, version)._replace(known=known)
        store_sync.on_beacon(message, "10.0.0.2", context.now_ms, digest=OWN)
        return
    change = Delta(
        3, position(40), known, known, version, 0, 1, [("a", None)], OWN, False
    )
    found = store_sync.on_delta(
        change, context.now_ms, digest_after=lambda _entries: OWN
    )
    assert found is not None


@then("it knows the configuration up to {revision:d}")
def step_knows_configuration(context, revision):
    """The newer version is fetched first."""
    known = context.store_sync.history.configuration
    assert known == position(revision), known


@when("a change to revision {revision:d} arrives that leads to other targets")
def step_followed_change(context, revision):
    """It continues the view, and the targets differed before."""
    view = position(revision)
    change = Delta(3, position(40), view, view, 5, 0, 1, [("b", None)], OTHER, False)
    found = context.store_sync.on_delta(
        change, context.now_ms, digest_after=lambda _entries: OWN
    )
    assert found is not None


@then(
    "it watches within {most:d} calls, and makes {count:d} calls in which half are"
    " watches"
)
def step_watches_soon(context, most, count):
    """The peer has ended, and the store has only the version in force."""
    store_sync, calls = context.store_sync, []
    for _ in range(count):
        call = next_call(context)
        calls.append(call)
        if type(call) is ReadConfiguration:
            store_sync.on_configuration_read(18, context.now_ms, found=True)
        elif type(call) is Watch:
            store_sync.on_changes(
                18, context.now_ms, after=call.revision, targets_changed=False
            )
        assert type(call) is not FetchTargets, call
    watches = [index for index, call in enumerate(calls) if type(call) is Watch]
    assert watches[0] < most and len(watches) >= count / 2, calls
    assert any(type(call) is FetchConfiguration for call in calls), calls
