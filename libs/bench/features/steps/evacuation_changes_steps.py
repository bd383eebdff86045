"""Steps for what balancers know of emptied data centres."""

from behave import given, then, when

from lagoontally_bench._lost_changes_fleet import SILENT
from lagoontally_flows import BY_PEER, BY_READER, Evacuated, Evacuation, Position
from lagoontally_forwarder._messages import encode_message
from lagoontally_platform import EVACUATION_PREFIX

HELLO_MS = 500
OLDER_REVISIONS = 5


@when('the operator empties "{data_centre}"')
@given('the operator has emptied "{data_centre}"')
def step_operator_empties(context, data_centre):
    """The store acknowledges the request."""
    context.run.evacuate(data_centre)


@when('the operator takes "{data_centre}" back')
def step_operator_takes_back(context, data_centre):
    """The store acknowledges that the request is gone."""
    context.run.evacuate(data_centre, requested=False)


@when('the operator gives "{data_centre}" up, which the store has lost')
def step_operator_gives_up(context, data_centre):
    """Nothing is written."""
    context.run.evacuated.discard(data_centre)


@given("no data centre is emptied")
def step_none_emptied(context):
    """The store has no request."""
    assert not context.run.evacuated


@when("{count:d} data centres with long names are emptied")
def step_many(context, count):
    """Together they don't fit into a datagram."""
    for number in range(count):
        context.run.evacuate(f"{number:03d}" + "z" * 150)


@when("the store answers nobody for {duration_ms:d} ms")
def step_store_away(context, duration_ms):
    """All calls time out."""
    context.run.cut_from_store(list(context.fleet.processes), SILENT, duration_ms)


@when("a member restarts with reads {ms:d} ms old")
def step_old_start(context, ms):
    """Both come from copies of that age."""
    context.fleet.draw_age = lambda _process, _path: ms
    context.run.start(context.members[0])


@when("all balancers restart with reads {ms:d} ms old")
def step_all_old(context, ms):
    """Nobody remembers anything."""
    context.fleet.draw_age = lambda _process, _path: ms
    context.run.restart_all(0)


@when("watches lack the next changes of evacuations")
def step_withheld(context):
    """The revision that they name covers them."""
    events = context.fleet.store._events

    def without(found):
        return events([i for i in found if not i["key"].startswith(EVACUATION_PREFIX)])

    context.fleet.store._events = without


@when("another data centre tells what it knows for {duration_ms:d} ms")
def step_peer_tells(context, duration_ms):
    """Its reader follows the store."""
    _tell(context, duration_ms, context.fleet.store.revision)


@when("another data centre tells an older list for {duration_ms:d} ms")
def step_peer_old(context, duration_ms):
    """Its reader has lost the store."""
    _tell(context, duration_ms, context.fleet.store.revision - OLDER_REVISIONS)


@when("messages of the reader are held back")
def step_held_back(context):
    """They arrive, and copies of them later."""
    reader, now_ms = context.fleet.processes[context.reader], context.fleet.now_ms
    beacon = reader.store_sync.beacon(
        now_ms + HELLO_MS, digest=reader.balancer.view.digest
    )
    evacuated = reader.store_sync.evacuations.message(BY_READER, now_ms)
    context.copies = [encode_message(beacon), encode_message(evacuated)]


@when("they reach the members")
def step_copies_arrive(context):
    """After newer ones."""
    for name in context.members:
        for copy in context.copies:
            context.fleet.processes[name].receive(copy, context.reader)
        context.fleet.processes[name].tick()


@then('no balancer has taken the evacuation of "{data_centre}" for ended')
def step_never_ended(context, data_centre):
    """Not even for a moment."""
    ended = [
        update
        for _, _, update in context.fleet.evacuation_updates
        if update.evacuation.data_centre == data_centre and not update.began
    ]
    assert not ended, ended


@then('each balancer has taken the evacuation of "{data_centre}" for ended once')
def step_ended_once(context, data_centre):
    """None goes back and forth."""
    ended = [
        name
        for _, name, update in context.fleet.evacuation_updates
        if update.evacuation.data_centre == data_centre and not update.began
    ]
    assert sorted(ended) == sorted(context.fleet.processes), ended


@then("in {duration_ms:d} ms only the reader calls the store")
def step_calls(context, duration_ms):
    """It watches."""
    found = context.run.needless_calls(duration_ms)
    assert not found, found


def _tell(context, duration_ms, revision):
    """Send the evacuations up to a revision to the reader from time to time."""
    fleet = context.fleet
    for _ in range(duration_ms // HELLO_MS):
        era, items = fleet.store.era, fleet.store.items()
        entries = [
            Evacuation(key.removeprefix(EVACUATION_PREFIX), era, change.revision, 0)
            for key, change in items.items()
            if key.startswith(EVACUATION_PREFIX) and change.revision <= revision
        ]
        message = Evacuated(BY_PEER, Position(era, revision, 0), 0, 1, entries)
        for process in fleet.readers():
            process.receive(encode_message(message), "far")
        fleet.run(HELLO_MS)
