"""Steps for responses that come twice or break off, on real connections."""

import socket

from behave import given, then, when

from lagoontally_forwarder._clock import now_ms
from lagoontally_forwarder._http_client import HttpClient, HttpFailure
from lagoontally_forwarder._loop import Loop

TIMEOUT_MS = 2_000
ROUND_MS = 5
HEAD = b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n"
FIRST, SECOND = HEAD + b"first", HEAD + b"other"
REQUEST_END = b"\r\n\r\n"


@given("a client whose first request was answered")
def step_client(context):
    """The connection stays open; the copy may come with the answer."""
    context.listener = socket.create_server(("127.0.0.1", 0))
    context.add_cleanup(context.listener.close)
    context.loop = Loop(now_ms)
    context.client = HttpClient(context.loop, context.listener.getsockname())
    context.add_cleanup(context.client.close)
    together = "together" in "".join(step.name for step in context.scenario.steps)
    context.connections, context.results = [], []
    exchange(context, FIRST * (1 + together))
    assert context.results[0].body == b"first", context.results


def run(context, condition):
    """Run the client's loop until a condition holds."""
    end_ms = now_ms() + TIMEOUT_MS
    while not condition() and now_ms() < end_ms:
        context.loop.run_once(ROUND_MS)
        accept(context)


def accept(context):
    """Take connections without waiting for one."""
    context.listener.setblocking(False)
    try:
        sock, _ = context.listener.accept()
    except BlockingIOError:
        return
    sock.setblocking(False)
    context.add_cleanup(sock.close)
    context.connections.append([sock, b""])


def requested(context):
    """Return a connection on which a request has arrived, or None."""
    for connection in context.connections:
        try:
            connection[1] += connection[0].recv(4_096)
        except OSError:
            continue  # nothing to read, or the client has closed it
        if connection[1].endswith(REQUEST_END):
            return connection
    return None


def exchange(context, response, *, close=False):
    """Make a request and answer it on the connection that it came on."""
    results = []
    context.client.get("/", TIMEOUT_MS, results.append)
    found = []
    run(context, lambda: found.append(requested(context)) or found[-1] or results)
    if found[-1] is not None:
        found[-1][1] = b""
        found[-1][0].sendall(response)
        if close:
            found[-1][0].close()
            context.connections.remove(found[-1])
    run(context, lambda: results)
    context.results += results


@when("a second copy of the response arrives {time}")
def step_copy(context, time):
    """On the connection of the first request."""
    if "together" in time:
        return
    context.connections[0][0].sendall(FIRST)
    if "no request" in time:
        run(context, lambda: context.client._sock is None)


@when("the client makes another request, which is answered")
def step_another(context):
    """The server answers it as it should."""
    exchange(context, SECOND)


@then("it gets the answer to that request")
def step_own_answer(context):
    """Not the copy."""
    assert context.results[1].body == b"other", context.results


@when("the answer to the next request breaks off")
def step_breaks_off(context):
    """The server closes the connection within the body."""
    exchange(context, SECOND[:-2], close=True)


@then("the client reports a failure")
def step_failure(context):
    """A part is never taken for the whole."""
    assert isinstance(context.results[1], HttpFailure), context.results
