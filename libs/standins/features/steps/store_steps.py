"""Steps for the store of the users' platform."""

import json
import socket

from behave import given, then, when

from lagoontally_standins.packets import Loop, Store

HOSTS = ("127.0.0.2", "127.0.0.3")
ORDER = ("first", "second")
ANSWER_S = 3.0
RANGE_PATH = "/api/kv-range?prefix="
WATCH_PATH = "/api/kv-watch?prefix=&after={after}&wait-ms={wait_ms}"


class Client:
    """A client that makes one call."""

    def __init__(self, context, host):
        self.received = b""
        self.sock = socket.create_connection(
            context.store.address, source_address=(host, 0)
        )
        context.add_cleanup(self.sock.close)
        context.loop.watch(self.sock, self.on_readable)

    def on_readable(self):
        """Receive a part of the response."""
        self.received += self.sock.recv(65_536)

    def request(self, path):
        """Send a request."""
        self.sock.sendall(f"GET {path} HTTP/1.1\r\n\r\n".encode())

    def document(self):
        """Return the response's document, None before it is complete."""
        _, _, body = self.received.partition(b"\r\n\r\n")
        try:
            return json.loads(body)
        except ValueError:
            return None


def response(context, client):
    """Return the document that a client gets."""
    context.loop.run_until(lambda: client.document() is not None, ANSWER_S)
    return client.document()


def check_keys(items, text):
    """Check the keys of a list of items, given as a quoted list."""
    keys = [item["key"] for item in items]
    assert keys == text.strip('"').split('" and "'), keys


@given("a store with 2 clients")
def step_store(context):
    """Clients from two hosts."""
    context.loop = Loop()
    context.store = Store(context.loop, ("127.0.0.1", 0))
    context.add_cleanup(context.store.listener.close)
    context.before = context.store.revision
    context.clients = dict(
        zip(ORDER, (Client(context, host) for host in HOSTS), strict=True)
    )


@when('the changes of "{prefix}" are withheld from the first client')
def step_withhold(context, prefix):
    """Its reads return them all the same."""
    context.store.withheld = {HOSTS[0]: prefix}


@when('the store writes "{keys}"')
def step_write(context, keys):
    """Write each key."""
    context.loop.run_for(0.1)
    for key in keys.split('" and "'):
        context.store.put(key, {})


@when("both clients watch for {wait_ms:d} ms")
def step_watch(context, wait_ms):
    """From before the change."""
    for client in context.clients.values():
        client.request(WATCH_PATH.format(after=context.before, wait_ms=wait_ms))


@then("a watch of the {which} client returns {keys}")
def step_watched(context, which, keys):
    """A watch from before the changes."""
    client = context.clients[which]
    client.request(WATCH_PATH.format(after=context.before, wait_ms=0))
    check_keys(response(context, client)["events"], keys)


@then("a read of the first client returns {keys}")
def step_read(context, keys):
    """A read of all keys, by a new connection."""
    client = Client(context, HOSTS[0])
    client.request(RANGE_PATH)
    check_keys(response(context, client)["items"], keys)


@then("the watch of the first client returns nothing and the revision of the change")
def step_skipped(context):
    """A client goes on after the change as if it knew it."""
    document = response(context, context.clients["first"])
    assert document == {"events": [], "as-of": context.before + 1}, document


@then("the watch of the second client returns {keys}")
def step_ended(context, keys):
    """The change ends the watch."""
    check_keys(response(context, context.clients["second"])["events"], keys)
