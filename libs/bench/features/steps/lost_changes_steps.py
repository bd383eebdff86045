"""Steps for changes of the store that balancers must not lose."""

from unittest.mock import patch

from behave import given, then, when

from lagoontally_bench._lost_changes_fleet import SILENT
from lagoontally_bench._lost_changes_plan import (
    HONEST,
    PRESENT,
    START_MS,
    Plan,
    make_plan,
)
from lagoontally_bench._lost_changes_run import PORTS, Run
from lagoontally_bench._lost_changes_search import play
from lagoontally_flows import Beacon, ConfigurationDelta, Delta, StoreSync
from lagoontally_flows._store import _relays
from lagoontally_platform import ENTRY_PREFIX, OPERATOR_PREFIX

LATENCY_MS = 2
LOST_MS = 10**9
MAX_WAIT_MS = 10_000
BEACON_INTERVAL_MS = 300


def follow(context, count, named):
    """Run balancers until one reads, with a network that delays all alike."""
    context.run = Run(Plan(1, count, named, True, True, ()))
    context.fleet = fleet = context.run.fleet
    fleet.store.copies_lag = True
    fleet.draw_age = lambda _process, _path: 0
    fleet.draw_latency = lambda _process, _path, *, response: LATENCY_MS
    fleet.run(START_MS)
    (context.reader,) = [one.name for one in fleet.readers()]
    context.members = [name for name in fleet.processes if name != context.reader]


def run_until(context, holds):
    """Run until a condition holds."""
    end_ms = context.fleet.now_ms + MAX_WAIT_MS
    while not holds():
        assert context.fleet.now_ms < end_ms, "waited in vain"
        context.fleet.run(1)


def delay(context, delay_ms, applies):
    """Delay the requests or responses of the store that a condition applies to."""
    usual = context.fleet.draw_latency

    def latency_ms(process, path, *, response):
        found = applies(process, path, response)
        return delay_ms if found else usual(process, path, response=response)

    context.fleet.draw_latency = latency_ms


@given("{count:d} balancers that follow the store")
def step_fleet(context, count):
    """One of them reads."""
    follow(context, count, HONEST)


@given(
    "{count:d} balancers that follow a store whose old reads name its newest revision"
)
def step_fleet_present(context, count):
    """The items come from a copy, the revision doesn't."""
    follow(context, count, PRESENT)


@when("{duration_ms:d} ms go by")
def step_pass(context, duration_ms):
    """Time passes."""
    context.fleet.run(duration_ms)


@when("a route changes")
def step_route(context):
    """The operator publishes a configuration."""
    context.run.publish(1)


@when("{count:d} routes are added")
def step_routes(context, count):
    """The operator publishes a change in several parts."""
    routes = context.run.routes()
    added = [port for port in PORTS if port not in routes][:count]
    context.run.publish_routes(
        routes | {port: context.run.new_route(port) for port in added}
    )


@when("{count:d} routes are dropped")
def step_routes_dropped(context, count):
    """The first ones of the configuration."""
    routes = context.run.routes()
    for port in list(routes)[:count]:
        del routes[port]
    context.run.publish_routes(routes)


@when("a target starts")
def step_target(context):
    """Its key is greater than those of the others."""
    run = context.run
    run.started += 1
    run.write_target(f"{ENTRY_PREFIX}i-ff{run.started:04x}", run.new_target())


@when("the last target ends")
def step_last_target_ends(context):
    """The last one in the order of the listing."""
    context.run.write_target(max(context.run.targets), None)


@when("the first target ends")
def step_first_target_ends(context):
    """The first one in the order of the listing."""
    context.run.write_target(min(context.run.targets), None)


@when(
    "the reader restarts with targets {targets_ms:d} ms and a configuration"
    " {configuration_ms:d} ms old"
)
def step_restart(context, targets_ms, configuration_ms):
    """Both reads may be old."""

    def age_ms(_process, path):
        return configuration_ms if OPERATOR_PREFIX in path else targets_ms

    context.fleet.draw_age = age_ms
    context.run.start(context.reader)


@when("the reader restarts with a first page {first_ms:d} ms and others {ms:d} ms old")
def step_restart_pages(context, first_ms, ms):
    """Copies of different age answer the calls of one listing."""
    context.fleet.one_copy = False
    context.fleet.draw_age = lambda _process, path: ms if "after=" in path else first_ms
    context.run.start(context.reader)


@when("a member restarts")
def step_member_restart(context):
    """It reads what is known from the store or from its reader."""
    context.run.start(context.members[0])


@when("a member restarts and its read of the configuration is lost")
def step_member_read_lost(context):
    """Later reads are answered."""
    name = context.members[0]
    delay(
        context,
        LOST_MS,
        lambda process, path, _response: (
            process.name == name and OPERATOR_PREFIX in path and "stale-ok" in path
        ),
    )
    context.run.start(name)


@when("a member restarts and the answer to its first watch takes {ms:d} ms")
def step_member_watch_late(context, ms):
    """Later watches are answered at once."""
    name, late = context.members[0], []

    def applies(process, path, response):
        if response and process.name == name and "kv-watch" in path and not late:
            late.append(path)
            return True
        return False

    delay(context, ms, applies)
    context.run.start(name)


@when("a member restarts and the store comes back from its copy of {ms:d} ms ago")
def step_member_restart_restore(context, ms):
    """The first page has been read, the others have not."""
    context.run.start(context.members[0])
    context.fleet.run(LATENCY_MS + 1)
    context.run.restore(ms)


@when("reads of the configuration take {ms:d} ms, a little more than the listing")
def step_reads_take(context, ms):
    """The first watch is running when the answer arrives."""
    delay(
        context,
        ms - LATENCY_MS,
        lambda _process, path, response: OPERATOR_PREFIX in path and not response,
    )


@when("each page of a listing takes {ms:d} ms for the member that would yield")
def step_listing_takes(context, ms):
    """Both members list the targets once the reader is gone."""
    context.lists = set()
    slow = max(context.members, key=context.run.priorities.get)

    def applies(process, path, response):
        if "prefix=servers/" not in path or not response:
            return False
        context.lists.add(process.name)
        return process.name == slow

    delay(context, ms, applies)


@when("both members list the targets, the one that would yield first")
def step_both_list(context):
    """The fast one has told the other what it found."""
    for name in sorted(context.members, key=context.run.priorities.get, reverse=True):
        context.fleet.processes[name].store_sync.reader = True
        run_until(context, lambda name=name: name in context.lists)
    context.fleet.run(50)


@when("copies of the former history are not read any more")
def step_no_former_copies(context):
    """Reads that may be old are of the present era."""
    context.fleet.store.copies_lag = False


@when("changes of the targets don't reach the members")
def step_deltas_lost(context):
    """Other messages do."""
    context.fleet.draw_loss = lambda _sender, _receiver, message: isinstance(
        message, Delta
    )


@when("beacons don't reach the members")
def step_beacons_lost(context):
    """Other messages do."""
    context.fleet.draw_loss = lambda _sender, _receiver, message: isinstance(
        message, Beacon
    )


@when("a member restarts with targets {ms:d} ms old")
def step_member_restart_old(context, ms):
    """Its read comes from a copy of the former history."""
    context.fleet.draw_age = lambda _process, _path: ms
    context.run.start(context.members[0])


@when("the reader has listed the targets of the new era")
def step_reader_lists(context):
    """Its delta arrives a little later."""
    history = context.fleet.processes[context.reader].store_sync.history
    run_until(context, lambda: history.view.era == context.fleet.store.era)
    context.fleet.run(50)


@when("the member stands still until the reader reads again")
def step_member_pauses(context):
    """It goes on with the beacons that have arrived."""
    member = context.fleet.processes[context.members[0]]
    member.held = []
    reader = context.fleet.processes[context.reader]
    run_until(context, lambda: reader.store_sync.reader)
    context.fleet.run(BEACON_INTERVAL_MS)
    member.resume()


@when("the reader's watches are not answered")
def step_deaf(context):
    """Its other calls are."""
    context.fleet.deaf.add(context.reader)


@when("the reader is killed")
def step_reader_dies(context):
    """It isn't started again."""
    context.fleet.stop(context.reader)


@when("the first member is cut off from its peers")
def step_member_cut(context):
    """No message reaches it."""
    context.fleet.peer_cuts = {context.members[0]}


@when("no balancer is cut off from its peers")
def step_no_member_cut(context):
    """Messages arrive again."""
    context.fleet.peer_cuts = set()


@when("the second member is cut off from the store for {duration_ms:d} ms")
def step_second_cut(context, duration_ms):
    """Its calls time out."""
    context.run.cut_from_store(context.members[1:2], SILENT, duration_ms)


@when("the members are cut off from the store for {duration_ms:d} ms")
def step_members_cut(context, duration_ms):
    """Their calls time out."""
    context.run.cut_from_store(context.members, SILENT, duration_ms)


@when("two balancers read and the third gets every part from one of them")
def step_two_readers(context):
    """Even parts come from the reader, odd ones from the other."""
    other, third = context.members
    context.fleet.processes[other].store_sync.reader = True

    def lost(sender, receiver, message):
        if isinstance(message, Beacon):
            return receiver.name != third  # none of the two yields
        if receiver.name != third or not isinstance(message, ConfigurationDelta):
            return False
        return (sender.name == context.reader) == bool(message.part % 2)

    context.fleet.draw_loss = lost
    run_until(context, lambda: context.fleet.watching() == {context.reader, other})


@when("the history is lost")
def step_history_lost(context):
    """Watches from older revisions are refused."""
    context.run.forget()


@when("the store comes back from its copy of {age_ms:d} ms ago")
def step_restore(context, age_ms):
    """What is alive is written again."""
    context.run.restore(age_ms)


@when("the members have learned of the new era")
def step_new_era(context):
    """From their reader."""
    fleet = context.fleet
    histories = [fleet.processes[name].store_sync.history for name in context.members]
    run_until(context, lambda: all(one.era == fleet.store.era for one in histories))


@then("after {duration_ms:d} ms no balancer lacks a change")
def step_lacking(context, duration_ms):
    """Versions, routes and targets are those of the store."""
    context.fleet.run(duration_ms)
    assert not context.run.lacking(), context.run.lacking()


@given("data centres of {count:d} members and more have relays")
def step_relays(context, count):
    """One for each two members."""
    for name, value in (("MIN_MEMBERS", count), ("GROUP_SIZE", 2)):
        patched = patch.object(_relays, name, value)
        patched.start()
        context.add_cleanup(patched.stop)


@then("with {seeds:d} seeds no change is lost, old reads {sources} and name {named}")
def step_search(context, seeds, sources, named):
    """Random faults among changes, up to five balancers."""
    one_copy = {"come from one copy": True, "come from several copies": False}[sources]
    for seed in range(seeds):
        wrong = play(make_plan(seed, named, one_copy=one_copy)).wrong
        assert not wrong, (seed, wrong)


@then("with the seeds {seeds} no change is lost")
def step_seeds(context, seeds):
    """Seeds that once lost a change, with listings from one copy."""
    plans = [make_plan(int(seed), HONEST, one_copy=True) for seed in seeds.split(", ")]
    lost = [(plan.seed, play(plan).wrong) for plan in plans]
    assert not any(wrong for _, wrong in lost), lost


@then("with {seeds:d} seeds positions that come from old reads lose changes at times")
def step_search_notices(context, seeds):
    """Such a balancer takes an old read for a consistent one."""
    listed, read = StoreSync.on_listed, StoreSync.on_configuration_read

    def on_listed(self, *arguments, may_be_old=False, **options):
        listed(self, *arguments, **options)

    def on_read(self, *arguments, may_be_old=False, **options):
        read(self, *arguments, **options)

    plans = [make_plan(seed, PRESENT, one_copy=True) for seed in range(seeds)]
    with (
        patch.object(StoreSync, "on_listed", on_listed),
        patch.object(StoreSync, "on_configuration_read", on_read),
    ):
        assert any(play(plan).wrong for plan in plans)
