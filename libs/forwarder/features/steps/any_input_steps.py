"""Steps that feed a balancer with input of any shape."""

import itertools
import json
import os
import tempfile
from pathlib import Path

from behave import given, then, when
from fixtures import CONFIGURATION, ENTRY, SETTINGS, changes, item, page
from hypothesis import HealthCheck, settings
from hypothesis import given as for_all
from hypothesis import strategies as st

from lagoontally_forwarder._clock import now_ms
from lagoontally_forwarder._http_client import HttpResponse
from lagoontally_forwarder._messages import decode_message
from lagoontally_forwarder._pages import Pages
from lagoontally_forwarder._process import Process
from lagoontally_forwarder._settings import parse_settings
from lagoontally_platform import ENTRY_PREFIX, OPERATOR_PREFIX, InvalidResponse
from lagoontally_standins.packets import reserve_network

NETWORKS = (30 + (os.getpid() * 17 + n) % 100 for n in itertools.count())
HUGE = 10**400
PEER = "127.0.0.3"
NAMES = (
    "tifton",
    "servers/i-1",
    "op/config",
    "op/evacuate/tifton",
    "reader",
    "stuck",
    "answered",
    PEER,
)
NUMBERS = st.integers(-2, 6) | st.sampled_from((2**63, -(2**63), HUGE, 0.5, True))
TEXTS = st.sampled_from(NAMES) | st.text(max_size=4)
ANY = st.recursive(
    NUMBERS | TEXTS | st.none(),
    lambda inner: (
        st.lists(inner, max_size=4) | st.dictionaries(TEXTS, inner, max_size=2)
    ),
    max_leaves=8,
)
POSITIONS = st.lists(NUMBERS, min_size=3, max_size=3) | ANY
TARGET_FIELDS = (
    "0000000000000001",
    0,
    407_987_114,
    ["10.0.0.1", 80],
    "tifton",
    "desk",
    2,
    False,
    0,
)
TARGETS = st.sampled_from((None, list(TARGET_FIELDS))) | ANY
ROUTES = st.none() | st.tuples(
    TEXTS,
    st.lists(st.tuples(TEXTS, NUMBERS), max_size=2),
    ANY,
    NUMBERS,
    NUMBERS,
    NUMBERS,
    st.lists(TEXTS, max_size=2),
)
PART = (st.sampled_from((0, 1, -1)), st.sampled_from((1, 2, HUGE)))
PAIRS = st.lists(st.tuples(TEXTS | NUMBERS, NUMBERS) | ANY, max_size=2)
TRIPLES = st.lists(st.tuples(TEXTS, NUMBERS, NUMBERS) | ANY, max_size=2)
FLOW_HOLDERS = ANY | st.lists(
    ANY
    | st.tuples(st.lists(NUMBERS, min_size=4, max_size=4), NUMBERS, *(NUMBERS,) * 4),
    max_size=2,
)
FIELDS = {
    "Hello": (TEXTS, NUMBERS, NUMBERS),
    "InForce": (NUMBERS,),
    "Joined": (TEXTS,),
    "Members": (NUMBERS, NUMBERS, ANY, *PART, NUMBERS, st.lists(TEXTS), ANY),
    "Beacon": (NUMBERS, POSITIONS, POSITIONS, *(NUMBERS,) * 6, POSITIONS, NUMBERS),
    "Delta": (
        NUMBERS,
        *(POSITIONS,) * 3,
        NUMBERS,
        *PART,
        st.lists(st.tuples(TEXTS, TARGETS), max_size=2),
        NUMBERS,
        ANY,
    ),
    "ConfigurationDelta": (
        *(NUMBERS,) * 4,
        *PART,
        st.lists(st.tuples(NUMBERS, NUMBERS, ROUTES), max_size=2),
        NUMBERS,
    ),
    "Evacuated": (
        TEXTS,
        POSITIONS,
        *PART,
        st.lists(st.tuples(TEXTS, NUMBERS, NUMBERS, NUMBERS) | ANY, max_size=2),
    ),
    "LoadReport": (TRIPLES, PAIRS, PAIRS),
    "LoadAdvice": (
        PAIRS,
        st.lists(st.tuples(TEXTS, PAIRS) | ANY, max_size=2),
        st.lists(NUMBERS, max_size=2),
        PAIRS,
    ),
    "DemandDigest": (TEXTS, TRIPLES, ANY),
    "Verdict": (NUMBERS, ANY, TEXTS, NUMBERS),
    "DealtAnew": (),
    "HolderQuery": (FLOW_HOLDERS,),
    "Holders": (FLOW_HOLDERS,),
}
MESSAGES = st.one_of(
    st.tuples(st.just(name), *fields) for name, fields in FIELDS.items()
)
RESPONSES = st.fixed_dictionaries(
    {"as-of": NUMBERS},
    optional={
        field: st.lists(
            ANY
            | st.fixed_dictionaries(
                {},
                optional={
                    "key": TEXTS,
                    "value": ANY,
                    "revision": ANY,
                    "deleted": st.booleans(),
                },
            ),
            max_size=3,
        )
        for field in ("items", "events")
    }
    | {"has-more": ANY},
)
DOCUMENTS = st.fixed_dictionaries(
    {},
    optional={
        "position": POSITIONS,
        "targets": st.dictionaries(TEXTS, TARGETS, max_size=2) | ANY,
        "version": NUMBERS,
        "idle_timeout_ms": NUMBERS,
        "routes": st.lists(st.tuples(NUMBERS, NUMBERS, ROUTES), max_size=2) | ANY,
        "services": ANY,
    },
)


@given("a balancer that knows targets and a configuration")
def step_balancer(context):
    """A balancer's process object, without its loop and with nobody to call."""
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    # The process keeps its sockets, so its network isn't released.
    network = reserve_network(NETWORKS)
    host = f"127.{network}.1.1"
    document = dict(SETTINGS, host=host, seeds=[])
    for name in ("packet", "ready", "peer", "store"):
        port = SETTINGS[f"{name}_address"].rpartition(":")[2]
        document[f"{name}_address"] = f"{host}:{port}"
    path = Path(folder.name) / "settings.json"
    path.write_text(json.dumps(document))
    context.process = Process(parse_settings(path.read_text()), str(path))
    context.process.log.descriptor = os.open(os.devnull, os.O_WRONLY)
    entries = [item("servers/i-1", ENTRY), item("op/config", CONFIGURATION)]
    respond(context, "_on_page", page(entries[:1]))
    respond(context, "_on_operator_page", page(entries[1:]))


def respond(context, handler, body):
    """Pass a response to one of the reader's handlers, as the HTTP client does."""
    reader = context.process.store_reader
    prefix = OPERATOR_PREFIX if handler == "_on_operator_page" else ENTRY_PREFIX
    reader._pages = Pages(prefix, may_be_old=False)
    reader._peer_client = reader._startup_client
    getattr(reader, handler)(HttpResponse(200, b"", body))
    tick(context)


def tick(context):
    """Let the balancer act on what it got."""
    context.process._execute_effects()
    context.process._tick(now_ms())


def receive(context, message):
    """Pass a message of a peer to the balancer."""
    decoded = decode_message(json.dumps(message).encode())
    if decoded is not None:
        context.process.peers._on_message(decoded, PEER)
        tick(context)


def receive_packet(context, datagram):
    """Pass a datagram to the balancer's port for packets."""
    port = context.process.port
    port._datagram[: len(datagram)] = datagram
    port._on_packet(len(datagram), now_ms(), 0)
    tick(context)


def feed(context, count, strategy, consume):
    """Consume generated values."""
    run = settings(
        max_examples=count,
        deadline=None,
        derandomize=True,
        suppress_health_check=list(HealthCheck),
    )
    run(for_all(strategy)(consume))()


@when("it gets {count:d} random messages of peers")
def step_messages(context, count):
    """Of all types, with fields of any type and size."""
    feed(context, count, MESSAGES, lambda message: receive(context, message))


@when("it gets {count:d} random responses of stores")
def step_responses(context, count):
    """To each of the calls."""
    handlers = ("_on_page", "_on_changes", "_on_operator_page")

    def consume(pair):
        respond(context, pair[0], json.dumps(pair[1]).encode())

    feed(context, count, st.tuples(st.sampled_from(handlers), RESPONSES), consume)


@when("it gets {count:d} random documents of peers")
def step_documents(context, count):
    """Targets and configurations."""
    handlers = ("_on_peer_targets", "_on_peer_configuration")
    # A newer list without targets is valid and would leave none to serve.
    documents = DOCUMENTS.filter(lambda document: document.get("targets") != {})

    def consume(pair):
        respond(context, pair[0], json.dumps(pair[1]).encode())

    feed(context, count, st.tuples(st.sampled_from(handlers), documents), consume)


@when("it gets {count:d} random packets")
def step_packets(context, count):
    """Of any length that a socket can receive."""
    datagrams = st.binary(max_size=1_300)
    feed(context, count, datagrams, lambda data: receive_packet(context, data))


@when("it gets targets of a peer with one that is null")
def step_null_target(context):
    """Only a delta may hold null, for an entry that is gone."""
    document = {"position": [1, 9, 0], "targets": {"servers/i-1": None}}
    respond(context, "_on_peer_targets", json.dumps(document).encode())


@when("it gets a delta whose position is too large for a metric")
def step_huge_position(context):
    """An integer that no float can hold."""
    position = [0, HUGE, 0]
    digest = context.process.balancer.view.digest
    message = ["Delta", 3, position, position, position, 1, 0, 1, [], digest, False]
    receive(context, message)


@when("it gets changes whose revision is too large")
def step_huge_revision(context):
    """The same from a store."""
    respond(context, "_on_changes", changes([], HUGE))


@when("it gets a newer configuration whose item has no revision")
def step_no_revision(context):
    """The balancer compares it with what it knew already."""
    newer = item("op/config", dict(CONFIGURATION, version=9))
    del newer["revision"]
    respond(context, "_on_operator_page", page([newer]))


@given("its data centre is emptied")
def step_emptied(context):
    """The operator's keys hold the request."""
    body = page([item("op/config", CONFIGURATION), item("op/evacuate/tifton", {})])
    respond(context, "_on_operator_page", body)
    assert context.process.balancer.evacuations.is_evacuated("tifton")
    context.responses = {
        "targets": ("_on_page", page([item("servers/i-1", ENTRY)])),
        "the operator's keys": ("_on_operator_page", body),
    }


@when("the read of {read} gets the response to that of {other}")
def step_other_response(context, read, other):
    """The connection is in use again when the copy arrives."""
    respond(context, context.responses[read][0], context.responses[other][1])


@then("it knows what it knew")
def step_knows(context):
    """Targets, configuration and the request."""
    balancer = context.process.balancer
    assert balancer.view.targets and balancer.configuration is not None
    assert balancer.evacuations.is_evacuated("tifton")


@when("a read gets the first of two pages twice")
def step_page_twice(context):
    """The store names the last key of the first page in the call for the next."""
    pages = Pages(ENTRY_PREFIX, may_be_old=False)
    first = page([item("servers/i-1", ENTRY)], more=True)
    assert pages.add(pages.decode(first), era=1)
    context.second = pages.decode(first)


@then("the second copy isn't usable")
def step_unusable(context):
    assert isinstance(context.second, InvalidResponse), context.second


@then("it still serves its state")
def step_serves(context):
    """Peers and operators read it."""
    for path in (b"/targets", b"/configuration", b"/metrics"):
        status, body = context.process._serve_view(path)
        assert status == 200 and body, (path, status)
    assert context.process.balancer.view.targets
