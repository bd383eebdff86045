"""Steps for entries that name no target, in the store and in the words of peers."""

import itertools
import json
import socket

from any_input_steps import PEER, respond, tick
from behave import then, when
from deployments import LOCAL, eventually
from fixtures import ENTRY, changes, item, page

from lagoontally_flows import Position, target_cookie
from lagoontally_forwarder._messages import decode_message, encode_message
from lagoontally_forwarder._target_codec import split_delta
from lagoontally_forwarder._view_document import decode_targets
from lagoontally_platform import InvalidResponse, decode_page
from lagoontally_standins.packets import PEER_PORT, odd_entries, odd_keys

FIRST_KEY = "servers/i-1"
ODD_KEY = "servers/i-0000ff01"
FIRST_REVISION = 20
HUGE = 10**400
DEEP = 400  # levels that fit into a datagram
ODD_NAME = bytes.fromhex("000000000000ff01")
TARGET = [
    ODD_NAME.hex(),
    0,
    target_cookie(ODD_NAME, 0),
    ["10.0.0.77", 80],
    "tifton",
    "huvo11a",
    2,
    False,
    0,
]
NAME, BORN, COOKIE, ADDRESS, DATA_CENTRE, SERVICE, SLOTS, _, WARM_UP = range(9)
ODD_FIELDS = (
    (ADDRESS, ["10.0.0.77", 65_536]),
    (ADDRESS, ["10.0.0.77", HUGE]),
    (ADDRESS, ["10.0.0.256", 80]),
    (SLOTS, HUGE),
    (SLOTS, (1 << 63) - 1),
    (SLOTS, 0),
    (WARM_UP, HUGE),
    (WARM_UP, (1 << 63) - 1),
    (BORN, HUGE),
    (NAME, "ff"),
    (COOKIE, 7),
    (SERVICE, ""),
    (SERVICE, "\ud800"),
    (DATA_CENTRE, "x" * 500),
)


def follow(context, events, revision):
    """Pass on the answer to a watch."""
    respond(context, "_on_changes", changes(events, revision))
    context.followed.append((revision, context.process.store_sync.history.position))


@when("each kind of odd entry arrives in a watch, and goes again")
def step_watch(context):
    """One after the other, as the only change."""
    context.followed, revisions = [], itertools.count(FIRST_REVISION)
    for document in odd_entries(ENTRY).values():
        for event in (item(ODD_KEY, document), {"key": ODD_KEY, "deleted": True}):
            revision = next(revisions)
            follow(context, [event | {"revision": revision}], revision)


@when("all kinds of odd entries are listed at once")
def step_listed(context):
    """Beside the one that was there, whose target is leaving now."""
    revision = 900
    entries = [
        item(f"servers/i-0000f{number:03x}", document, revision)
        for number, document in enumerate(odd_entries(ENTRY).values())
    ]
    entries.append(item(FIRST_KEY, ENTRY | {"state": "draining"}, revision))
    respond(context, "_on_page", page(entries, revision))
    (target,) = context.process.balancer.view.usable.values()
    assert target.leaving, target


@when("entries under each kind of odd key arrive")
def step_keys(context):
    """They are those of targets otherwise."""
    context.followed = []
    for revision, key in enumerate(odd_keys(), FIRST_REVISION):
        follow(context, [item("servers/" + key, ENTRY, revision)], revision)


@then("it has followed the list each time")
def step_followed(context):
    """Up to the revision of each answer, and uses no target but the first one."""
    wrong = [
        (revision, position)
        for revision, position in context.followed
        if position is None or position.revision != revision
    ]
    assert context.followed and not wrong, wrong
    assert list(context.process.balancer.view.usable) == [FIRST_KEY]
    counts = context.process.metrics.counts
    assert not [key for key in counts if key[0] == "unexpected_errors"], counts


@then("it knows no target but its first one")
def step_first_only(context):
    """The others hold."""
    assert list(context.process.balancer.view.targets) == [FIRST_KEY]
    counts = context.process.metrics.counts
    assert not [key for key in counts if key[0] == "unexpected_errors"], counts


@then("it can tell peers all that it knows")
def step_tell(context):
    """In one document, and in datagrams."""
    process = context.process
    view = process.balancer.view
    _, body = process._serve_view(b"/targets")
    assert decode_targets(body).entries == view.targets
    entries = list(view.targets.items())
    delta = process.store_sync.delta(None, entries, digest=view.digest)
    parts = [encode_message(part) for part in split_delta(delta)]
    decoded = [decode_message(part) for part in parts if part is not None]
    told = [entry for part in decoded for entry in part.entries]
    assert told == entries, told


def odd_targets():
    """Yield documents of targets with one odd field, as text."""
    for field, value in ODD_FIELDS:
        document = list(TARGET)
        document[field] = value
        yield json.dumps(document)
    for text in ("1e999", "NaN", "9" * 700, "[" * DEEP + "]" * DEEP, '"x"', "null"):
        document = json.dumps([*TARGET[:SLOTS], "@", *TARGET[SLOTS + 1 :]])
        yield document.replace('"@"', text)


def odd_delta(text, known):
    """Return a change from a peer with an odd target, as text.

    Args:
        text: Document of the target.
        known: ``Position`` that it continues.
    """
    before = list(known)
    after = [known.era, known.revision + 1, 0]
    fields = [3, before, after, after, 1, 0, 1, [[ODD_KEY, "@"]], 1, False]
    return json.dumps(["Delta", *fields]).replace('"@"', text)


def receive_text(context, message):
    """Pass a datagram of a peer to the balancer."""
    decoded = decode_message(message.encode())
    if decoded is not None:
        context.process.peers._on_message(decoded, PEER)
    tick(context)


@when("each kind of odd target arrives in a change and in the targets of a peer")
def step_peer(context):
    """A change may tell that an entry is gone; the other documents are invalid."""
    history = context.process.store_sync.history
    for text in odd_targets():
        message = odd_delta(text, history.view)
        decoded = decode_message(message.encode())
        assert text == "null" or decoded is None, decoded
        receive_text(context, message)
        position = [0, history.view.revision + 1, 0]
        document = json.dumps({"position": position, "targets": {ODD_KEY: "@"}})
        respond(context, "_on_peer_targets", document.replace('"@"', text).encode())


@when("a page ends with a key that holds a lone surrogate, and others follow")
def step_unaskable(context):
    """No query can contain it."""
    items = [item(FIRST_KEY, ENTRY, 5), item("servers/i-\ud800-5", ENTRY, 5)]
    context.listing = decode_page(page(items, more=True), "servers/")


@then("the next page starts after the key before it")
def step_next_page(context):
    """The odd key comes again, and others with it."""
    assert context.listing.next_key == FIRST_KEY, context.listing


@when("a page has no items, and others follow")
def step_no_items(context):
    """It names no key after which the next one starts."""
    context.listing = decode_page(page([], more=True), "servers/")


@then("the page is invalid")
def step_invalid_page(context):
    """What it lacks isn't removed."""
    assert isinstance(context.listing, InvalidResponse), context.listing


@when("another writer leaves each kind of odd entry")
def step_leave(context):
    """Each differs from that of a target that runs."""
    deployment = context.deployment
    _, target = next(iter(deployment.targets.values()))
    entries = odd_entries(target.entry(LOCAL))
    context.odd_keys = []
    for number, document in enumerate(entries.values()):
        key = f"servers/i-0000f{number:03x}"
        deployment.store.put(key, document)
        context.odd_keys.append(key)


@when("another writer leaves {count:d} entries of {size:d} bytes at once")
def step_leave_large(context, count, size):
    """Larger together than an answer that a balancer takes."""
    store = context.deployment.store
    context.odd_keys = [f"servers/i-0000f{number:03x}" for number in range(count)]
    for key in context.odd_keys:
        store.put(key, b"[" * size)


@when("the odd entries are removed")
def step_remove(context):
    """The other writer cleans up."""
    for key in context.odd_keys:
        context.deployment.store.put(key, None)
    context.odd_keys = []


@when("every balancer is restarted")
def step_restart_all(context):
    """They read the whole list again."""
    deployment = context.deployment
    for balancer in deployment.balancers.values():
        assert balancer.alive(), balancer.read_log()[-3:]
        balancer.kill()
        balancer.start()
    ready = deployment.loop.run_until(
        lambda: all(one.fetch_targets() for one in deployment.balancers.values()), 10
    )
    assert ready, [one.read_log()[-3:] for one in deployment.balancers.values()]


@when("every balancer gets each kind of odd target from a peer")
def step_peer_words(context):
    """Anyone may send a datagram; each continues what the balancer knows."""
    deployment = context.deployment
    position = Position(deployment.store.era, deployment.store.revision, 0)
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
        for balancer in deployment.balancers.values():
            address = (balancer.settings["host"], PEER_PORT)
            for text in odd_targets():
                sock.sendto(odd_delta(text, position).encode(), address)
            sock.sendto(b'["Delta",' + b"[" * 1_000, address)
    deployment.loop.run_for(0.5)


@then("flows reach the added target within {timeout_s:d} s")
def step_reach(context, timeout_s):
    """Through the balancers of the callers' data centre."""
    assert eventually(context, lambda targets: context.added in targets, timeout_s)


@then("every balancer follows the store's list within {timeout_s:d} s")
def step_list(context, timeout_s):
    """Of usable targets, as they tell them to peers."""
    deployment = context.deployment
    odd = {ODD_KEY, *getattr(context, "odd_keys", ())}

    def differences():
        known = {
            name: {one for one in balancer.fetch_targets() or () if one[0] not in odd}
            for name, balancer in deployment.balancers.items()
        }
        return [
            name for name, one in known.items() if one != deployment.listed_targets()
        ]

    assert deployment.loop.run_until(lambda: not differences(), timeout_s), (
        differences()
    )


@then("no balancer has ended or reported an unexpected error")
def step_alive(context):
    """Neither the process nor a part of it."""
    for balancer in context.deployment.balancers.values():
        assert balancer.alive(), balancer.read_log()[-3:]
        events = [line["event"] for line in balancer.read_log()]
        assert "unexpected_error" not in events, balancer.read_log()
