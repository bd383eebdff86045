"""Steps for positions in the store's history."""

from random import Random

from behave import given, then, when
from sync_fixtures import (
    OTHER,
    OWN,
    STEP_MS,
    assert_next_call,
    beacon,
    next_call,
    position,
)

from lagoontally_flows import (
    Delta,
    FetchConfiguration,
    FetchTargets,
    ListTargets,
    ReadConfiguration,
    StoreSync,
    Watch,
)

FRESH_MS = 1_400


@given("a balancer without a position")
def step_new(context):
    """It has just started, and has a configuration."""
    context.now_ms = 0
    context.store_sync = StoreSync(priority=9, random=Random(1))
    context.store_sync.on_era(1, 0)


@given("a balancer, which has read nothing yet")
def step_started(context):
    """It knows nothing."""
    context.now_ms = 0
    context.store_sync = StoreSync(priority=9, random=Random(1))


@when("the store answers at once")
def step_answers(_context):
    """No call fails."""


@when("the store fails for a call")
def step_fails(context):
    """It answers the next one."""
    assert_next_call(context, ListTargets(True))
    context.store_sync.on_failure(context.now_ms)


@then("its first listing and configuration may be from an old copy")
def step_first_old(context):
    """Each balancer reads at its start, and such a read costs a tenth."""
    assert_first_reads(context, may_be_old=True)


@then("its first listing and configuration aren't from an old copy")
def step_first_new(context):
    """The store may have changed while it was away."""
    assert_first_reads(context, may_be_old=False)


def assert_first_reads(context, *, may_be_old):
    """Answer the listing, and compare both calls."""
    assert_next_call(context, ListTargets(may_be_old))
    context.store_sync.on_listed(20, context.now_ms, may_be_old=may_be_old)
    if may_be_old:
        assert_next_call(context, Watch(20, 1))
    assert_next_call(context, ReadConfiguration(may_be_old))


@given("a reader that knows targets and configuration up to revision {revision:d}")
def step_reader(context, revision):
    """Both were read consistently."""
    step_reader_positions(context, revision, revision)


@given(
    "a reader that knows targets up to revision {targets:d}"
    " and configuration up to {configuration:d}"
)
def step_reader_positions(context, targets, configuration):
    """The configuration was read first."""
    step_new(context)
    store_sync = context.store_sync
    store_sync.on_configuration(4, 9)
    store_sync.on_configuration_read(configuration, 0, found=True)
    store_sync.on_listed(targets, 0)
    store_sync.reader = True


@given("a follower that knows targets up to revision {revision:d}")
def step_follower(context, revision):
    """It has the newest configuration."""
    step_reader_positions(context, revision, revision)
    context.store_sync.reader = False
    context.store_sync.on_configuration(5, 9)


@when("it hears the beacon of a reader with version {version:d}")
def step_beacon(context, version):
    """That reader yields to this one."""
    message = beacon(10, OWN, version)
    context.store_sync.on_beacon(message, "10.0.0.2", context.now_ms, digest=OWN)
    context.store_sync.reader = True


@when("the store has lost its history")
def step_history(context):
    """A watch gets 410."""
    context.store_sync.on_history_gone(context.now_ms)


@when("a consistent listing at revision {revision:d} arrives")
def step_listing(context, revision):
    """The targets haven't changed."""
    assert isinstance(next_call(context), ListTargets | FetchTargets)
    context.store_sync.on_listed(revision, context.now_ms)


@when("version {version:d} arrives from a peer")
def step_peer_configuration(context, version):
    """The answer to a fetch."""
    context.store_sync.on_configuration(version, 9)


@then("its next call reads the configuration, not from an old copy")
def step_reads(context):
    """A watch from the listing would miss what was written before it."""
    assert_next_call(context, ReadConfiguration(may_be_old=False))


@when("a listing that may be old and names revision {revision:d} arrives")
def step_old_listing(context, revision):
    """The first call of a balancer."""
    assert_next_call(context, ListTargets(may_be_old=True))
    context.store_sync.on_listed(revision, context.now_ms, may_be_old=True)


@when("a configuration that may be old and names revision {revision:d} arrives")
def step_old_configuration(context, revision):
    """The other call of a balancer that starts."""
    context.store_sync.on_configuration(4, 9)
    context.store_sync.on_configuration_read(
        revision, context.now_ms, found=True, may_be_old=True
    )


@when("it becomes the reader")
def step_become_reader(context):
    """No reader was heard."""
    context.store_sync.reader = True


@then(
    "its next calls are a catch-up from {revision:d}, a consistent read, a"
    " consistent listing"
)
def step_calls(context, revision):
    """The catch-up is answered although the store has other changes as well."""
    store_sync = context.store_sync
    assert_next_call(context, Watch(revision, 1))
    store_sync.on_changes(30, context.now_ms, after=revision, targets_changed=False)
    assert_next_call(context, ReadConfiguration(may_be_old=False))
    store_sync.on_configuration_read(31, context.now_ms, found=True)
    assert_next_call(context, ListTargets(may_be_old=False))
    store_sync.on_listed(32, context.now_ms)


@then("it watches from revision {revision:d}")
def step_watches(context, revision):
    """All changes up to there are known."""
    call = next_call(context)
    assert isinstance(call, Watch) and call.revision == revision, call


@when("a watch from revision {after:d} is answered up to revision {revision:d}")
def step_answered(context, after, revision):
    """It contains no change of targets."""
    context.store_sync.on_changes(
        revision, context.now_ms, after=after, targets_changed=False
    )


@when("the store is in era {era:d} and lists its targets at revision {revision:d}")
def step_era(context, era, revision):
    """The store has come back from an older copy."""
    context.store_sync.on_era(era, context.now_ms)
    context.store_sync.on_listed(revision, context.now_ms)


@then("its beacon names no position")
def step_no_claim(context):
    """Its targets may be old."""
    context.beacon = context.store_sync.beacon(context.now_ms, digest=OWN)
    assert context.beacon.view == position(0), context.beacon
    assert not context.beacon.known.revision, context.beacon


@when(
    "a listing that may be old and names revision {revision:d} arrives at another"
    " balancer"
)
def step_other_listing(context, revision):
    """It has just started, too."""
    step_new(context)
    step_old_listing(context, revision)


@when("that balancer hears the beacon")
def step_hear(context):
    """Both have the same targets."""
    context.store_sync.on_beacon(context.beacon, "10.0.0.2", 0, digest=OWN)


@when("no listing has arrived")
def step_no_listing(_context):
    """The store answers nothing."""


@when("targets without a position arrive from a peer")
def step_copy_without_position(context):
    """The peer has read them from an old copy."""
    context.result = context.store_sync.on_targets(position(0), context.now_ms)


@then("they are {outcome}")
def step_taken(context, outcome):
    """Old targets are better than none."""
    assert context.result == (outcome == "taken"), context.result


@when("the beacon of a reader at revision {revision:d} with {content} targets arrives")
def step_reader_beacon(context, revision, content):
    """The reader's digest is that of the targets here, or another one."""
    digest = OWN if content == "equal" else OTHER
    context.store_sync.on_configuration(5, 9)
    context.store_sync.on_beacon(
        beacon(revision, digest), "10.0.0.2", context.now_ms, digest=OWN
    )


@when(
    "a reader's change from an unknown position to {revision:d} arrives that leads to"
    " {content} targets"
)
def step_change(context, revision, content):
    """The reader's own targets were old before this change."""
    view = position(revision)
    digest = OWN if content == "equal" else OTHER
    change = Delta(3, view, view, view, 5, 0, 1, [("a", None)], digest, False)
    found = context.store_sync.on_delta(
        change, context.now_ms, digest_after=lambda _entries: OWN
    )
    assert (found is not None) == (content == "equal"), found


@then("it knows targets up to {revision:d}")
def step_knows(context, revision):
    """As the reader does."""
    history = context.store_sync.history
    assert history.targets == history.view == position(revision), history.targets


@then("it knows no position")
def step_knows_none(context):
    """What it has may be old still."""
    assert context.store_sync.history.targets is None


@then("it fetches the reader's")
def step_fetches(context):
    """After the catch-up, if that is still due."""
    calls = [next_call(context), next_call(context)]
    assert FetchTargets("10.0.0.2") in calls, calls


@when("the reader's targets at revision {revision:d} arrive and differ still")
def step_copy(context, revision):
    """A target that is known to be leaving stays so here."""
    assert context.store_sync.on_targets(position(revision), context.now_ms)


@then("it makes no call")
def step_no_call(context):
    """To read again wouldn't help."""
    context.store_sync.postpone_takeover(beacon(40, OTHER), context.now_ms + STEP_MS)
    assert next_call(context) is None


@when("a response names revision {revision:d}, {kind}")
def step_response_revision(context, revision, kind):
    """Its call was running when a change arrived."""
    context.result = context.store_sync.history.is_outdated(
        revision, may_be_old=kind == "may be old"
    )


@then("the response is found to be {state}")
def step_state(context, state):
    """Outdated responses aren't applied."""
    assert context.result == (state == "outdated"), context.result


@then("its beacon is of revision {revision:d}")
def step_beacon_revision(context, revision):
    """Followers at an older view compare their targets."""
    message = context.store_sync.beacon(context.now_ms, digest=OWN)
    assert message.view == position(revision), message


@when(
    "the beacon of a reader at revision {revision:d} that settles a restored copy"
    " arrives"
)
def step_settling_beacon(context, revision):
    """It keeps targets that the copy lacks."""
    message = beacon(revision, OWN)._replace(settling=True)
    context.store_sync.on_beacon(message, "10.0.0.2", context.now_ms, digest=OWN)


@when("it becomes the reader and reads both at revision {revision:d}")
def step_reader_reads(context, revision):
    """The other reader's process has ended."""
    store_sync = context.store_sync
    assert isinstance(next_call(context), Watch)  # the catch-up
    store_sync.reader = True
    store_sync.on_listed(revision, context.now_ms)
    store_sync.on_configuration(5, 9)
    store_sync.on_configuration_read(revision, context.now_ms, found=True)


@when("{duration_ms:d} ms pass for it")
def step_time(context, duration_ms):
    """Without any message."""
    context.now_ms += duration_ms


@then("its next call lists the targets again")
def step_lists_again(context):
    """What the copy lacked is written again, or gone."""
    assert_next_call(context, ListTargets(may_be_old=False))


@when("the beacon of a reader that has lost the store arrives")
def step_failing_beacon(context):
    """The store answers no balancer."""
    message = beacon(20, OWN)._replace(reachable=False, contact_age_ms=9_000)
    context.store_sync.on_beacon(message, "10.0.0.2", context.now_ms, digest=OWN)


@when("its calls to the store fail, and it becomes the reader")
def step_failing_reader(context):
    """No other balancer reaches the store either."""
    context.store_sync.on_failure(context.now_ms)
    context.store_sync.reader = True


@then("it fetches the configuration from the peer in one of two calls")
def step_fetches_configuration(context):
    """The other one tries the store."""
    calls = [next_call(context), next_call(context)]
    assert any(type(call) is FetchConfiguration for call in calls), calls


@when("it becomes the reader {duration_ms:d} ms later")
def step_reader_later(context, duration_ms):
    """The former reader is silent."""
    context.now_ms += duration_ms
    context.store_sync.reader = True


@then("its first beacon is of a reader without contact")
def step_no_contact(context):
    """The store answered it too long ago."""
    message = context.store_sync.beacon(context.now_ms, digest=OWN)
    assert message.contact_age_ms > FRESH_MS, message


@then("its next beacon, at the same time, is of a reader in contact")
def step_contact(context):
    """Otherwise others would take over in the time until the next one."""
    message = context.store_sync.beacon(context.now_ms, digest=OWN)
    assert message is not None and message.contact_age_ms == 0, message
