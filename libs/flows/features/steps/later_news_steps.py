"""Steps for news that arrive again and again while something is due."""

from random import Random

from behave import given, then, when
from sync_fixtures import OTHER, OWN, beacon

from lagoontally_flows import (
    FetchConfiguration,
    FetchTargets,
    ListTargets,
    ReadConfiguration,
    StoreSync,
    VersionCheck,
)

TICK_MS = 20
READER = "10.0.0.2"
TURN_MS = 60
REVISION = 40
OWN_VERSION = 5


@when("the configuration changes every {gap_ms:d} ms for {duration_ms:d} ms")
def step_changes(context, gap_ms, duration_ms):
    """Record since when each balancer has lacked the oldest version that it lacks."""
    fleet, context.most_behind_ms = context.fleet, {}
    published, next_ms = {}, fleet.now_ms
    end_ms = fleet.now_ms + duration_ms
    while fleet.now_ms < end_ms:
        if fleet.now_ms >= next_ms:
            fleet.change_configuration()
            published[fleet.store.version] = fleet.now_ms
            next_ms += gap_ms
        fleet.run(TICK_MS)
        for balancer in fleet.living():
            lacked_ms = published.get(balancer.version + 1, fleet.now_ms)
            behind_ms = fleet.now_ms - lacked_ms
            before_ms = context.most_behind_ms.get(balancer.name, 0)
            context.most_behind_ms[balancer.name] = max(before_ms, behind_ms)


@then("no balancer has been behind for more than {most_ms:d} ms")
def step_behind(context, most_ms):
    """The platform's bound for a configuration."""
    late = {
        name: behind_ms
        for name, behind_ms in context.most_behind_ms.items()
        if behind_ms > most_ms
    }
    assert not late, late


@given("a follower of a reader, with {members:d} members")
def step_follower(context, members):
    """It knows the reader's targets and configuration."""
    context.now_ms = 0
    store_sync = context.store_sync = StoreSync(priority=9, random=Random(1))
    store_sync.on_era(1, 0)
    store_sync.members = members
    store_sync.on_configuration(OWN_VERSION, 494)
    store_sync.on_configuration_read(REVISION, 0, found=True)
    store_sync.on_listed(REVISION, 0)
    hear(context, beacon(REVISION, OWN))
    context.calls = []


def hear(context, message):
    """Pass on a beacon of the reader."""
    context.store_sync.on_beacon(message, READER, context.now_ms, digest=OWN)


def tick(context):
    """Let time pass and note the call that the follower makes, if any."""
    context.now_ms += TICK_MS
    call = context.store_sync.next_call(context.now_ms)
    if call is not None:
        context.calls.append((context.now_ms, type(call)))
    return call


def called_ms(context, *kinds):
    """Return when one of some calls was made first, None if none was."""
    return next((at for at, kind in context.calls if kind in kinds), None)


@when(
    "version {version:d} is announced, and for {duration_ms:d} ms the targets are"
    " outdated and current by turns"
)
def step_turns(context, version, duration_ms):
    """The beacons arrive before the changes of targets that they announce."""
    current = beacon(REVISION, OWN, version)
    outdated = beacon(REVISION + 1, OTHER, version)
    while context.now_ms < duration_ms:
        hear(context, outdated)
        for _ in range(TURN_MS // TICK_MS):
            tick(context)
        hear(context, current)


@when(
    "for {duration_ms:d} ms its targets are outdated and a version is announced each"
    " {gap_ms:d} ms"
)
def step_both(context, duration_ms, gap_ms):
    """Each fetch of the configuration returns the newest version."""
    version = OWN_VERSION
    while context.now_ms < duration_ms:
        version += 1
        hear(context, beacon(REVISION + 1, OTHER, version)._replace(routes=9))
        for _ in range(gap_ms // TICK_MS):
            if isinstance(tick(context), FetchConfiguration | ReadConfiguration):
                context.store_sync.on_configuration(version, 9)


@then("it has called for the configuration within {most_ms:d} ms")
def step_called_configuration(context, most_ms):
    """From the reader or from the store."""
    at = called_ms(context, FetchConfiguration, ReadConfiguration)
    assert at is not None and at <= most_ms, context.calls


@then("it has called for the targets within {most_ms:d} ms")
def step_called_targets(context, most_ms):
    """From the reader or from the store."""
    at = called_ms(context, FetchTargets, ListTargets)
    assert at is not None and at <= most_ms, context.calls


@when(
    "for {duration_ms:d} ms only readers without contact are heard, each {gap_ms:d} ms"
)
def step_failing(context, duration_ms, gap_ms):
    """The store rejects many balancers of a large data centre."""
    message = beacon(REVISION, OWN)._replace(reachable=False, contact_age_ms=9_000)
    context.reader_ms = None
    while context.now_ms < duration_ms and context.reader_ms is None:
        for _ in range(TICK_MS // gap_ms):
            hear_at(context, message, context.now_ms + TICK_MS)
        tick(context)
        note_reader(context)


def hear_at(context, message, at_ms):
    """Pass on a beacon that arrives at another time than the present."""
    context.store_sync.on_beacon(message, READER, at_ms, digest=OWN)


def note_reader(context):
    """Note when the follower became the reader."""
    if context.store_sync.reader and context.reader_ms is None:
        context.reader_ms = context.now_ms


@when(
    "the reader falls silent, and the store answers the follower each {gap_ms:d} ms for"
    " {duration_ms:d} ms"
)
def step_own_reads(context, gap_ms, duration_ms):
    """It reads configurations that are too large for the reader's link."""
    context.reader_ms, next_ms = None, gap_ms
    while context.now_ms < duration_ms:
        if context.now_ms >= next_ms and not context.store_sync.reader:
            next_ms += gap_ms
            context.store_sync.on_configuration_read(
                REVISION, context.now_ms, found=True
            )
        tick(context)
        note_reader(context)


@then("it has become the reader within {most_ms:d} ms")
def step_reader(context, most_ms):
    """Its data centre has no other."""
    found = context.reader_ms
    assert found is not None and found <= most_ms, found


@given("a follower that hears of version {version:d} while version {own:d} is in force")
def step_hears(context, version, own):
    """A balancer of another data centre tells it."""
    context.now_ms, context.own = 0, own
    check = context.check = VersionCheck(random=Random(1))
    check.on_own(own, 0)
    check.on_version(version, READER, 0)


def due(context):
    """Return what the store is to be read again for, if anything."""
    return context.check.due(context.now_ms, reader=False, members=6, reachable=True)


@when(
    "a version, still older than that, is put in force each {gap_ms:d} ms for"
    " {duration_ms:d} ms"
)
def step_older(context, gap_ms, duration_ms):
    """The reader's watch is late."""
    context.due_ms = None
    while context.now_ms < duration_ms and context.due_ms is None:
        context.now_ms += gap_ms
        context.own += 1
        context.check.on_own(context.own, context.now_ms)
        if due(context) is not None:
            context.due_ms = context.now_ms


@then("the store is read again for version {version:d} within {most_ms:d} ms")
def step_read_again(context, version, most_ms):
    """A follower waits for three seconds, and some more with its members."""
    assert context.due_ms is not None and context.due_ms <= most_ms, context.due_ms
    assert due(context).version == version


@when(
    "it hears of version {version:d}, and version {own:d} is put in force"
    " {duration_ms:d} ms later"
)
def step_next(context, version, own, duration_ms):
    """The one that it waited for has come."""
    context.check.on_version(version, READER, 0)
    context.now_ms += duration_ms
    context.check.on_own(own, context.now_ms)


@then("the store isn't read again for {duration_ms:d} ms")
def step_not_read(context, duration_ms):
    """The later version may just not have arrived yet."""
    context.now_ms += duration_ms
    assert due(context) is None
