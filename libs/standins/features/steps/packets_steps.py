"""Steps for the store and the proxy of the packet deployment."""

import json
import socket
import threading
import time

from behave import given, then, when

from lagoontally_standins.packets import Loop, Proxy, Store

HOST = "127.0.0.1"
DOCUMENT_BYTES = 12_000_000  # 16 MB in base64, more than socket buffers hold
KEEP_UNREAD_S = 2.0
RUN_S = 0.5
ANSWER_S = 5.0


class Client:
    """A client of the store that reads only when told to."""

    def __init__(self, loop, address):
        self.loop = loop
        self.received = bytearray()
        self.sock = socket.create_connection(address)

    def request(self, path):
        """Send a request."""
        self.sock.sendall(f"GET {path} HTTP/1.1\r\nHost: x\r\n\r\n".encode())

    def read(self):
        """Read the response and return its status and document."""
        self.loop.watch(self.sock, self._on_readable)
        self.loop.run_until(self._is_complete, ANSWER_S)
        self.loop.unwatch(self.sock)
        assert self._is_complete(), len(self.received)
        head, _, body = bytes(self.received).partition(b"\r\n\r\n")
        return int(head.split(b" ")[1]), json.loads(body)

    def _on_readable(self):
        self.received += self.sock.recv(1 << 20)

    def _is_complete(self):
        head, found, body = self.received.partition(b"\r\n\r\n")
        if not found:
            return False
        length = head.partition(b"Content-Length: ")[2].partition(b"\r\n")[0]
        return len(body) == int(length)


def call(loop, address, path):
    """Make a call and return its status and document."""
    client = Client(loop, address)
    client.request(path)
    return client.read()


@given("a store whose response to a range is 16 MB, behind a proxy")
def step_large(context):
    """The proxy and the store run in one loop, as in a deployment."""
    context.loop = Loop()
    context.store = Store(context.loop, (HOST, 0))
    context.store.put("large", b"x" * DOCUMENT_BYTES)
    context.store.put("small", b"x")
    context.proxy = Proxy(context.loop, (HOST, 0), context.store.address)


@when("a client asks {server} for it and doesn't read")
def step_unread(context, server):
    """A timer frees a loop that is blocked, so that the test can fail."""
    proxied = server == "the proxy"
    listener = (context.proxy if proxied else context.store).listener
    context.client = Client(context.loop, listener.getsockname())
    context.client.request("/api/kv-range?prefix=large")
    give_up = threading.Timer(KEEP_UNREAD_S, context.client.sock.close)
    give_up.start()
    started = time.monotonic()
    context.loop.run_for(RUN_S)
    context.took_s = time.monotonic() - started
    give_up.cancel()


@then("the loop runs on and other clients are answered")
def step_runs_on(context):
    """Both servers answer while the response is unread."""
    assert context.took_s < KEEP_UNREAD_S, context.took_s
    for server in (context.store, context.proxy):
        address = server.listener.getsockname()
        status, document = call(context.loop, address, "/api/kv-range?prefix=small")
        assert (status, len(document["items"])) == (200, 1), document


@then("the client gets the whole response once it reads")
def step_whole(context):
    """Nothing is lost or repeated."""
    status, document = context.client.read()
    assert status == 200
    assert len(document["items"][0]["value"]) == DOCUMENT_BYTES // 3 * 4
