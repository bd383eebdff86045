"""Steps for HTTP responses."""

from select import select
from socket import socketpair
from types import SimpleNamespace

from behave import then, when

from lagoontally_forwarder._http_client import (
    HttpClient,
    HttpFailure,
    HttpResponse,
    parse_response,
)

MANY_DIGITS = b"9" * 5_000  # ``int`` raises ValueError for more than 4,300
RESPONSES = {
    "a length of 5,000 digits": b"HTTP/1.1 200 OK\r\nContent-Length: %s\r\n\r\n"
    % MANY_DIGITS,
    "a status of 5,000 digits": b"HTTP/1.1 %s OK\r\nContent-Length: 0\r\n\r\n"
    % MANY_DIGITS,
    "no length": b"HTTP/1.1 200 OK\r\n\r\n",
    "a length of 100,000,000": b"HTTP/1.1 200 OK\r\nContent-Length: 100000000\r\n\r\n",
    "a head without an end": b"HTTP/1.1 200 OK\r\nX: " + b"x" * 1_000_000,
}
LONG_BODY = b"x" * 100_000
LONG = b"HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\n" + LONG_BODY
COMPLETE = b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello"


@when("the response is {name}")
def step_response(context, name):
    context.result = parse_response(bytearray(RESPONSES[name]))


@then('the request fails with "{reason}"')
def step_failed(context, reason):
    assert reason in context.result.reason, context.result


@when("a response arrives byte by byte")
def step_byte_by_byte(context):
    context.results = [
        parse_response(bytearray(COMPLETE[:size])) for size in range(len(COMPLETE) + 1)
    ]


@then("it is complete with its last byte")
def step_complete(context):
    *before, last = context.results
    assert before == [None] * len(before), before
    assert last == HttpResponse(200, b"Content-Length: 5", b"hello"), last


@when("{size:d} bytes of a response arrive each {interval_ms:d} ms")
def step_slowly(context, size, interval_ms):
    """A client with a time-out of 1200 ms receives 100,000 bytes in all."""
    now_ms, results = [0], []
    loop = SimpleNamespace(clock=lambda: now_ms[0], watch=ignore, unwatch=ignore)
    server, sock = socketpair()
    client = HttpClient(loop, ("127.0.0.1", 1))
    client._sock = sock
    sock.setblocking(False)
    client.get("/", 1_200, results.append)
    unsent = LONG
    while not results and now_ms[0] < 60_000:
        if now_ms[0] % interval_ms == 0:
            server.sendall(unsent[:size])
            unsent = unsent[size:]
            while not results and select([sock], [], [], 0)[0]:
                client._on_readable(None)
        now_ms[0] += 50
        client.on_tick(now_ms[0])
    server.close()
    client.close()
    context.results, context.ended_ms = results, now_ms[0]


def ignore(*_arguments):
    """Stands for the loop's registration of sockets."""


@then("the request ends after {duration_ms:d} ms with {result}")
def step_ended(context, duration_ms, result):
    """Check the time to a tick."""
    assert abs(context.ended_ms - duration_ms) <= 50, context.ended_ms
    (found,) = context.results
    if result == "the response":
        assert found.body == LONG_BODY, found
    else:
        assert found == HttpFailure(result), found
