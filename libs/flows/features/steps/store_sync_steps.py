"""Steps for the decisions on which balancer reads the store."""

from random import Random

from behave import given, then, when
from fleet import Balancer, Fleet

from lagoontally_flows import Delta, Position, StoreSync


@given("{count:d} balancers that have run for {duration_ms:d} ms")
def step_fleet(context, count, duration_ms):
    """A settled fleet."""
    context.fleet = Fleet(count)
    context.fleet.run(duration_ms)


@given(
    "{count:d} balancers with {routes:d} routes that have run for {duration_ms:d} ms"
)
def step_fleet_routes(context, count, routes, duration_ms):
    """A settled fleet with a configuration of that size."""
    context.fleet = Fleet(count, routes)
    context.fleet.run(duration_ms)


@when("{duration_ms:d} ms pass for the fleet")
def step_run(context, duration_ms):
    """Time passes."""
    context.fleet.run(duration_ms)


@when("the targets change")
def step_targets(context):
    """An entry changes."""
    context.fleet.change_targets()


@when("the targets change and {count:d} balancers miss the delta")
def step_targets_missed(context, count):
    """Datagrams are lost."""
    fleet = context.fleet
    followers = [one for one in fleet.living() if not one.store_sync.reader]
    fleet.lost = {one.name for one in followers[:count]}
    fleet.change_targets()


@when("the configuration changes")
def step_configuration(context):
    """A configuration is published."""
    context.fleet.change_configuration()


@when("the reader dies")
def step_reader_dies(context):
    """The process of each reader is killed."""
    for reader in context.fleet.readers():
        reader.alive = False


@when("the store stops answering the reader")
def step_reader_turned_away(context):
    """The reader's calls hang."""
    context.fleet.store.unreachable_from = {one.name for one in context.fleet.readers()}


@when("the store stops answering {count:d} balancers")
def step_some_turned_away(context, count):
    """The reader is among them."""
    fleet = context.fleet
    names = [one.name for one in fleet.readers() + fleet.living()]
    fleet.store.unreachable_from = set(list(dict.fromkeys(names))[:count])


@when("the store answers no balancer")
def step_outage(context):
    """Calls of all balancers time out, also of one that starts later."""
    fleet = context.fleet
    fleet.store.unreachable_from = {one.name for one in fleet.balancers} | {"new"}


@when("the store answers every balancer")
def step_outage_ends(context):
    """Calls succeed again."""
    context.fleet.store.unreachable_from = set()


@when("the store loses its history and the targets change")
def step_compaction(context):
    """Watches from older revisions are refused."""
    fleet = context.fleet
    context.calls_before = fleet.store.calls
    fleet.change_targets()
    fleet.store.forgotten = fleet.store.revision


@when("the store loses its history")
def step_compaction_only(context):
    """Other keys were written in the meantime."""
    context.fleet.store.revision += 5
    context.fleet.store.forgotten = context.fleet.store.revision


@given("{count:d} balancers that start before there is a configuration")
def step_before_configuration(context, count):
    """The store contains only targets."""
    context.fleet = Fleet(count)
    context.fleet.store.version = 0


@then("all that has cost at most {most:d} calls to the store")
def step_priced_calls(context, most):
    """Ten reads that may be old cost one call."""
    assert context.fleet.store.billed_calls <= most, context.fleet.store.billed_calls


@then("the change has cost at most {most:d} calls to the store")
def step_change_calls(context, most):
    """Only the reader lists the store again."""
    calls = context.fleet.store.calls - context.calls_before
    assert calls <= most, calls


@when("stale reads of the store stay at its present state")
def step_stale(context):
    """Reads that may be old return the present state."""
    context.fleet.store.stale_revision = context.fleet.store.revision


@when("a balancer starts")
def step_start(context):
    """A balancer without any state joins."""
    context.fleet.balancers.append(Balancer("new", 99, 99))


@then("{count:d} balancer reads for the others")
def step_readers(context, count):
    """The calls don't grow with the fleet."""
    assert len(context.fleet.readers()) == count, context.fleet.readers()


@then("{duration_ms:d} ms cost at most {most:d} calls to the store")
def step_calls(context, duration_ms, most):
    """Calls are billed."""
    before = context.fleet.store.calls
    context.fleet.run(duration_ms)
    calls = context.fleet.store.calls - before
    assert calls <= most, calls


@then("every balancer knows the targets")
def step_all_show(context):
    """No view is outdated."""
    newest = context.fleet.store.targets
    old = [one.name for one in context.fleet.living() if one.targets != newest]
    assert not old, old


@then("every balancer has the configuration")
def step_all_have(context):
    """No configuration is outdated."""
    newest = context.fleet.store.version
    old = [one.name for one in context.fleet.living() if one.version != newest]
    assert not old, old


@then("with {seeds:d} seeds a lost reader delays a change by {most_ms:d} ms at most")
def step_seeds(context, seeds, most_ms):
    """The store stops answering the reader just before the change."""
    for seed in range(seeds):
        context.fleet = Fleet(12)
        for number, balancer in enumerate(context.fleet.balancers):
            balancer.store_sync.random = Random(seed * 100 + number)
        context.fleet.run(5_000)
        step_reader_turned_away(context)
        step_targets(context)
        step_configuration(context)
        context.fleet.run(most_ms)
        step_all_show(context)
        step_all_have(context)


@given("a balancer whose targets are those of revision {revision:d}")
def step_follower(context, revision):
    """A follower that has listed them."""
    context.store_sync = StoreSync(priority=9, random=Random(1))
    context.store_sync.on_era(1, 0)
    context.store_sync.on_listed(revision, 0)
    context.applied = []


@when("part {part:d} of {parts:d} of reader {reader:d} for {revision:d} arrives")
def step_part(context, part, parts, reader, revision):
    """Each reader splits its changes in its own way."""
    receive_part(
        context, part, parts, reader, context.store_sync.history.view, revision
    )


@when(
    "part {part:d} of {parts:d} of reader {reader:d} from {previous:d} for {revision:d}"
    " arrives"
)
def step_later_part(context, part, parts, reader, previous, revision):
    """A change that continues another one."""
    receive_part(context, part, parts, reader, Position(1, previous, 0), revision)


def receive_part(context, part, parts, reader, previous, revision):
    """Receive a part with one entry."""
    position = Position(1, revision, 0)
    entry = (f"{reader}-{part}", None)
    delta = Delta(
        reader, previous, position, position, 0, part, parts, [entry], 1, False
    )
    found = context.store_sync.on_delta(delta, 0, digest_after=lambda _entries: 0)
    context.applied += found or []


@then("{entries} are applied")
def step_applied(context, entries):
    """All parts at once, or none."""
    expected = [] if entries == "no entries" else entries.split(", ")
    assert [key for key, _ in context.applied] == expected, context.applied


@then("its targets are those of revision {revision:d}")
def step_revision(context, revision):
    """The revision covers only applied changes."""
    view = context.store_sync.history.view
    assert view == Position(1, revision, 0), view


@when("both change and the store loses its history before it reports that")
def step_hidden_changes(context):
    """Watches from revisions before the changes are refused."""
    fleet = context.fleet
    fleet.change_configuration()
    fleet.change_targets()
    fleet.store.forgotten = fleet.store.revision
    context.calls_before = fleet.store.calls


@when("the reader dies as soon as the others know the targets")
def step_reader_dies_early(context):
    """It dies before it reads the configuration."""
    fleet = context.fleet
    (reader,) = fleet.readers()
    others = [one for one in fleet.living() if one is not reader]
    while any(one.targets != fleet.store.targets for one in others):
        fleet.run(20)
    assert reader.version < fleet.store.version, "the reader was too fast"
    reader.alive = False
