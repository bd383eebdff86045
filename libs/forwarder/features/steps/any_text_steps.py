"""Steps that feed a balancer's parsers of text."""

import json
import socket
from math import isfinite

from any_input_steps import ANY, HUGE, feed
from behave import given, then, when
from fixtures import SETTINGS
from hypothesis import strategies as st

from lagoontally_forwarder._clock import now_ms
from lagoontally_forwarder._http_server import HttpServer
from lagoontally_forwarder._loop import Loop
from lagoontally_forwarder._settings import Settings, parse_settings

REQUEST = b"GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n"
ANSWER = b"ok"
OPTIONAL = ("regions", "warm_up_excess", "warm_up_slack", "admission")
VALUES = ANY | st.sampled_from((1e300, HUGE, "on", {"a": "b"}))
LINES = st.sampled_from((REQUEST, REQUEST[:9], b"GET  \r\n\r\n", b"\r\n\r\n" * 3))


@when("{count:d} random settings files are parsed")
def step_settings(context, count):
    """Valid ones of which some fields are replaced, and others."""
    context.parsed = []
    names = st.sampled_from((*SETTINGS, *OPTIONAL))
    changes = st.dictionaries(names, VALUES, max_size=3)
    documents = changes.map(lambda changed: SETTINGS | changed) | ANY

    def parse(document):
        text = json.dumps(document).replace("1e+300", "1e999")
        context.parsed.append(parse_settings(text))

    feed(context, count, documents, parse)


@then("those taken hold numbers that a balancer can calculate with")
def step_taken(context):
    """Products of them and of rates included."""
    taken = [one for one in context.parsed if isinstance(one, Settings)]
    assert taken
    for one in taken:
        bounds = (one.warm_up_excess or 0, one.warm_up_slack or 0)
        for number in (*bounds, one.link_mbps, one.grace_s):
            assert isfinite(float(number) * 1e6), one


@then("those refused name a field each time")
def step_refused(context):
    """Or say that it isn't a JSON object."""
    refused = [one for one in context.parsed if not isinstance(one, Settings)]
    known = (*SETTINGS, *OPTIONAL, "the settings are not")
    assert refused
    for finding in (finding for one in refused for finding in one.findings):
        assert finding.startswith(known), finding


@given("an HTTP server")
def step_server(context):
    """It answers every path."""
    context.loop = Loop(now_ms)
    server = HttpServer(context.loop, ("127.0.0.1", 0), lambda _path: (200, ANSWER))
    context.address = server.listener.getsockname()
    context.add_cleanup(server.listener.close)


def exchange(context, data):
    """Send data on a connection of its own and return what comes back."""
    with socket.create_connection(context.address) as client:
        client.setblocking(False)
        context.loop.run_once(100)
        client.sendall(data)
        context.loop.run_once(100)
        try:
            return client.recv(4_096)
        except BlockingIOError:
            return b""


@when("clients send {count:d} random requests")
def step_requests(context, count):
    """Of any bytes, some with the parts of a request."""
    parts = st.lists(st.binary(max_size=64) | LINES, min_size=1, max_size=4)

    def send(data):
        exchange(context, data)

    feed(context, count, parts.map(b"".join).filter(bool), send)


@then("a client that asks properly is answered")
def step_answered(context):
    assert exchange(context, REQUEST).endswith(ANSWER)
