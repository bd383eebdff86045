"""Steps for a store that comes back from an older copy."""

from random import Random
from unittest.mock import patch

from behave import given, then, when
from fleet import Balancer, Fleet

from lagoontally_flows import (
    ALL_CHANGES,
    CURRENT,
    Delta,
    ListingRules,
    Position,
    StoreSync,
    Target,
    target_cookie,
)
from lagoontally_flows._store import StoreHistory
from lagoontally_flows._targets import View

RULES = (ListingRules(True, True), ListingRules(False, True), ALL_CHANGES)
LOST_CHANGES = 60


def restore(fleet, changes):
    """Make changes of both kinds and return to the state before them."""
    store = fleet.store
    copy = store.copy()
    for number in range(changes):
        store.change_targets()
        if number % 7 == 0:
            store.change_configuration(store.version + 1)
    fleet.run(300)
    newest = store.version
    store.restore(copy)
    return newest


@when("{changes:d} changes are made and the store comes back from a copy before them")
def step_restore(context, changes):
    """The operator writes the newest configuration again, the targets theirs."""
    newest = restore(context.fleet, changes)
    if newest > context.fleet.store.version:
        context.fleet.store.change_configuration(newest)


@when("{count:d} other items are written to the store")
def step_other_items(context, count):
    """Revisions are given out again."""
    context.fleet.store.revision += count


@when("{count:d} balancers miss the next delta")
def step_miss(context, count):
    """Datagrams are lost."""
    fleet = context.fleet
    followers = [one for one in fleet.living() if not one.store_sync.reader]
    fleet.lost = {one.name for one in followers[:count]}


def behind(fleet):
    """Return the names of balancers that don't follow the newest era."""
    return [
        one.name
        for one in fleet.living()
        if one.store_sync.history.era != fleet.store.era
        or one.store_sync.history.view.era != fleet.store.era
    ]


@then("every balancer follows the present era")
def step_follow(context):
    """Views and watches are in the newest era."""
    assert not behind(context.fleet), behind(context.fleet)


@then("with {seeds:d} seeds every balancer follows the newest era after {most_ms:d} ms")
def step_search(context, seeds, most_ms):
    """One reader and two to five followers, with random events."""
    for seed in range(seeds):
        fleet = play(Random(seed))
        fleet.run(most_ms)
        wrong = behind(fleet) + outdated(fleet)
        assert not wrong, (seed, wrong)


def outdated(fleet):
    """Return the names of balancers that lack a change."""
    store = fleet.store
    return [
        one.name
        for one in fleet.living()
        if one.targets != store.targets or one.version != store.version
    ]


@then(
    "with {seeds:d} seeds a history that ignores eras ends with lost changes at times"
)
def step_ignored(context, seeds):
    """Break the comparison of eras on purpose."""
    with patch.object(StoreHistory, "compare_era", lambda *_arguments: CURRENT):
        fleets = [play(Random(seed)) for seed in range(seeds)]
        for fleet in fleets:
            fleet.run(6_000)
    assert any(outdated(fleet) for fleet in fleets)


def play(random):
    """Run a fleet through random events and end all faults."""
    fleet = Fleet(random.randint(3, 6))
    for number, balancer in enumerate(fleet.balancers):
        balancer.store_sync.random = Random(number)
    fleet.run(random.choice((0, 40, 3_000)))
    for _ in range(random.randint(2, 8)):
        random.choice(EVENTS)(fleet, random)
        fleet.run(random.choice((0, 20, 60, 300, 1_000)))
    fleet.store.unreachable_from = set()
    fleet.lost = set()
    return fleet


def restore_event(fleet, random):
    """Restore the store; the newest configuration is written again."""
    newest = restore(fleet, random.choice((0, 1, 9)))
    fleet.store.revision += random.choice((0, 0, 5, 40))
    if newest > fleet.store.version:
        fleet.store.change_configuration(newest)


def cut_event(fleet, random):
    """Cut some balancers off from the store, or none."""
    names = [one.name for one in fleet.balancers]
    fleet.store.unreachable_from = set(random.sample(names, random.randint(0, 2)))


def loss_event(fleet, random):
    """Lose the next delta at some balancers."""
    names = [one.name for one in fleet.balancers]
    fleet.lost = set(random.sample(names, random.randint(0, 2)))


def restart_event(fleet, random):
    """Restart a balancer."""
    balancer = random.choice(fleet.balancers)
    number = fleet.balancers.index(balancer)
    fleet.balancers[number] = Balancer(balancer.name, number, random.randrange(99))


EVENTS = (
    restore_event,
    restore_event,
    cut_event,
    loss_event,
    restart_event,
    lambda fleet, _random: fleet.change_targets(),
    lambda fleet, _random: fleet.change_configuration(),
)


def target(name, *, leaving=False):
    """Return a target with a short name."""
    identity = name.encode().rjust(8, b"-")
    cookie = target_cookie(identity, 5)
    address = (f"10.0.0.{ord(name)}", 80)
    return Target(identity, 5, cookie, address, "tifton", "desk", 2, leaving, 0)


@given("a view with targets a and b, a leaving target c and a delisted target d")
def step_view(context):
    """What was known before the store came back."""
    context.view = View()
    for name in "abd":
        context.view.put(name, target(name), 0)
    context.view.put("c", target("c", leaving=True), 0)
    context.view.put("d", None, 10)


@when("the store lists {names} from its copy, settled {step:d} times")
def step_listed(context, names, step):
    """In the copy every target is ready."""
    entries = {name: target(name) for name in names.split(", ")}
    for key, listed in context.view.changes_to(entries, RULES[step]):
        context.view.put(key, listed, 20)


@when("the entry of {name} is written")
def step_written(context, name):
    """A change after the copy."""
    context.view.put(name, target(name), 30)


@when("an older copy of a peer says that {name} is leaving")
def step_peer_copy(context, name):
    """The peer lacks the other targets."""
    entries = {name: target(name, leaving=True)}
    for key, changed in context.view.leaving_changes(entries):
        context.view.put(key, changed, 20)


@then("the view has {expected}")
def step_has(context, expected):
    """Compare names and states."""
    found = [
        key + (" leaving" if listed.leaving else "")
        for key, listed in sorted(context.view.targets.items())
    ]
    assert ", ".join(found) == expected, found


@given("a reader at revision {revision:d} of era {era:d}")
def step_reader(context, revision, era):
    """A reader that has listed the targets and read the configuration."""
    context.store_sync = StoreSync(priority=1, random=Random(1))
    context.store_sync.on_era(era, 0)
    context.store_sync.on_listed(revision, 0)
    context.store_sync.on_configuration_read(revision, 0, found=True)
    context.store_sync.reader = True


@given("a follower whose view is at revision {revision:d} of era {era:d}")
def step_follower(context, revision, era):
    """A follower that has listed the targets."""
    step_reader(context, revision, era)
    context.store_sync.reader = False


@when(
    "a delta to revision {revision:d} of era {era:d} arrives that leads to {content}"
    " targets"
)
def step_delta(context, revision, era, content):
    """The reader has listed the restored store."""
    after = Position(era, revision, 0)
    delta = Delta(7, after, after, after, 0, 0, 1, [("a", None)], 1, False)
    digest = 1 if content == "equal" else 0
    context.applied = context.store_sync.on_delta(
        delta, 50, digest_after=lambda _entries: digest
    )


@then("it is {outcome}")
def step_outcome(context, outcome):
    """A delta that isn't applied changes no position in the view."""
    assert (context.applied is not None) == (outcome == "applied"), context.applied


@when("a response names era {era}")
def step_response(context, era):
    """Whatever the call was."""
    number = None if era == "none" else int(era)
    context.result = context.store_sync.on_era(number, 50)


@then("the response is {result}, the reader at revision {revision:d} of era {era:d}")
def step_result(context, result, revision, era):
    """Only reads move the positions."""
    assert context.result == result, context.result
    history = context.store_sync.history
    assert history.targets == Position(era, revision, 0), history.targets
    known = None if result == "began" else history.targets
    assert history.position == known, history.position
