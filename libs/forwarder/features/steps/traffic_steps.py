"""Steps for the counters of bytes by kind."""

from behave import given, then, when
from messages_steps import MESSAGES

from lagoontally_forwarder._clock import now_ms
from lagoontally_forwarder._http_client import HttpClient
from lagoontally_forwarder._http_server import HttpServer
from lagoontally_forwarder._loop import Loop
from lagoontally_forwarder._messages import encode_message
from lagoontally_forwarder._metrics import Metrics
from lagoontally_forwarder._traffic import FETCHES, STORE, Traffic

TIMEOUT_MS = 2_000


def counted(metrics, direction):
    """Return the bytes counted by kind."""
    name = f"control_bytes_{direction}"
    return {kind: size for (one, kind), size in metrics.counts.items() if one == name}


@then("the bytes {direction} are counted as {kinds}")
def step_kinds(context, direction, kinds):
    """Those sent add up to the datagrams sent."""
    found = counted(context.peers.metrics, direction)
    assert sorted(found) == kinds.split(", "), found
    if direction == "sent":
        assert sum(found.values()) == sum(len(data) for _, data in context.sent)


@then("each type of message is counted under a kind")
def step_kind(context):
    """All bytes are, once."""
    metrics = Metrics()
    for message in MESSAGES:
        Traffic(metrics).message_sent(message, encode_message(message))
    size = sum(len(encode_message(message)) for message in MESSAGES)
    found = counted(metrics, "sent")
    assert sum(found.values()) == size, found
    kinds = {"beacons", "changes", "flows", "health", "load", "membership"}
    assert set(found) == kinds, found


@given("a server and a client that count bytes")
def step_server(context):
    """On one loop."""
    context.loop, context.metrics = Loop(now_ms), Metrics()
    traffic = Traffic(context.metrics)
    server = HttpServer(
        context.loop,
        ("127.0.0.1", 0),
        lambda _path: (200, b"x" * 5_000),
        count=traffic.of(FETCHES),
    )
    context.add_cleanup(server.listener.close)
    address = server.listener.getsockname()
    context.client = HttpClient(context.loop, address, count=traffic.of(STORE))
    context.add_cleanup(context.client.close)


@when("the client gets 5000 bytes")
def step_get(context):
    """In one response."""
    results = []
    context.client.get("/", TIMEOUT_MS, results.append)
    end_ms = now_ms() + TIMEOUT_MS
    while not results and now_ms() < end_ms:
        context.loop.run_once(10)
    assert len(results[0].body) == 5_000, results


@then("both have counted the same bytes, more than 5000 sent by the server")
def step_same(context):
    """With the heads."""
    sent, received = (
        counted(context.metrics, direction) for direction in ("sent", "received")
    )
    assert sent[STORE] == received[FETCHES] > 0, (sent, received)
    assert sent[FETCHES] == received[STORE] > 5_000, (sent, received)
