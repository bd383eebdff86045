"""Steps for the store and the proxy of the packet deployment."""

import base64
import json
import socket
import subprocess
import sys
import tempfile
import threading
import time
from pathlib import Path

from behave import given, then, when

from lagoontally_standins.packets import (
    Deployment,
    Loop,
    Proxy,
    Store,
    release_network,
    reserve_network,
)

HOST = "127.0.0.1"
DOCUMENT_BYTES = 12_000_000  # 16 MB in base64, more than socket buffers hold
KEEP_UNREAD_S = 2.0
RUN_S = 0.5
ANSWER_S = 5.0
NETWORKS = range(240, 250)  # other suites use those below
RESERVING_PROGRAM = f"""
from lagoontally_standins.packets import reserve_network
print(reserve_network(range({NETWORKS.start}, {NETWORKS.stop})), flush=True)
input()
"""


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


def start_store(context):
    """Start a store with the name of each key's revision."""
    context.loop = Loop()
    context.store = Store(context.loop, (HOST, 0))
    context.revisions = {}


def write(context, name):
    """Write one item, which "first" and "second" share."""
    context.store.put("key", name.encode())
    context.revisions[name] = context.store.revision


def ask(context, path):
    """Make a call to the store."""
    return call(context.loop, context.store.address, path)


def read(context, may_be_old):
    """Return the item's value and the revision that the response names."""
    path = "/api/kv-range?prefix=key" + "&stale-ok=1" * may_be_old
    status, document = ask(context, path)
    assert status == 200
    [item] = document["items"]
    return base64.b64decode(item["value"]).decode(), document["as-of"]


@given('a store to which "first" was written and, {pause_s:f} s later, "second"')
def step_store(context, pause_s):
    """A change is older than the copies of the steps below."""
    start_store(context)
    step_write(context, pause_s)


@given("a store that keeps its history for {history_s:g} s")
def step_history(context, history_s):
    """As the pages' ``history-s``."""
    start_store(context)
    context.store.history_s = history_s


@when('"first" is written and, {pause_s:f} s later, "second"')
def step_write(context, pause_s):
    """Two changes of one item."""
    write(context, "first")
    context.loop.run_for(pause_s)
    write(context, "second")


@when("{count:d} items are written")
def step_write_many(context, count):
    """At once, as after a restored store."""
    context.first_revision = context.store.revision
    for number in range(count):
        context.store.put(f"key-{number}", b"x")


@when("reads that may be old are {age_s:f} s behind and name the revision of {source}")
def step_stale(context, age_s, source):
    """Both readings of the pages."""
    context.store.stale_s = age_s
    context.store.stale_as_of_present = source == "the newest one"


@when("reads that may be old are in turn {ages} s behind")
def step_ages(context, ages):
    """As replicas that differ."""
    drawn = map(float, ages.split(", "))
    context.store.stale_s = lambda host: next(drawn)


@then('a read that may be old shows "{name}" and names the revision of "{named}"')
def step_old_read(context, name, named):
    """The revision may be newer than what is shown."""
    assert read(context, True) == (name, context.revisions[named])


@then('any other read shows "{name}" and names the revision of "{named}"')
def step_read(context, name, named):
    """Reads are linearizable unless the caller allows an old one."""
    assert read(context, False) == (name, context.revisions[named])


@then('reads that may be old show "{names}"')
def step_old_reads(context, names):
    """One call after the other."""
    assert [read(context, True)[0] for _ in names.split(", ")] == names.split(", ")


def watch(context, revision):
    """Make a call for the changes after a revision."""
    return ask(context, f"/api/kv-watch?prefix=&after={revision}&wait-ms=100")


@then('a watch from before "{name}" gets 410')
def step_gone(context, name):
    """The history begins after the change."""
    assert watch(context, context.revisions[name] - 1)[0] == 410


@then('a watch from "{name}" gets "{later}"')
def step_changes(context, name, later):
    """The change is still in the history."""
    status, document = watch(context, context.revisions[name])
    assert status == 200
    assert [event["revision"] for event in document["events"]] == [
        context.revisions[later]
    ]


@then("a watch from before them gets {count:d} changes")
def step_all_changes(context, count):
    """None is missing."""
    status, document = watch(context, context.first_revision)
    assert (status, len(document["events"])) == (200, count)


def reserve(context):
    """Reserve a network until the scenario ends."""
    network = reserve_network(NETWORKS)
    context.add_cleanup(release_network, network)
    return network


@given("networks that two processes choose from at the same time")
def step_choose(context):
    """This process and another one."""
    context.other = subprocess.Popen(
        [sys.executable, "-c", RESERVING_PROGRAM],
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
        text=True,
    )
    context.add_cleanup(context.other.communicate)
    context.networks = [int(context.other.stdout.readline()), reserve(context)]


@then("they get different ones")
def step_different(context):
    """Each of the two holds its own."""
    assert len(set(context.networks)) == 2, context.networks


@when("one of the processes ends")
def step_ends(context):
    """It releases nothing itself."""
    context.other.kill()
    context.other.wait()


@then("its network can be reserved again")
def step_reserved_again(context):
    """Its sockets were closed with it."""

    def is_free():
        try:
            release_network(reserve_network(context.networks[:1]))
        except LookupError:
            return False  # the same scenario in another run may have it for a moment
        return True

    assert Loop().run_until(is_free, ANSWER_S)


def start_sockets(context):
    """Open the sockets of a deployment without balancers."""
    return Deployment(
        Path(context.folder),
        context.network,
        data_centres=("tifton",),
        balancers=0,
        targets=1,
    )


@given("a packet deployment that has stopped")
def step_stopped(context):
    """It is still referred to, so that no sockets are collected."""
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    context.folder, context.network = folder.name, reserve(context)
    context.stopped = start_sockets(context)
    context.stopped.stop()


@when("another one is started in its network")
def step_started(context):
    """With the same addresses."""
    context.running = start_sockets(context)
    context.add_cleanup(context.running.stop)


@then("its store answers")
def step_store_answers(context):
    """By sockets of its own."""
    store = context.running.store
    status, _ = call(context.running.loop, store.address, "/api/kv-range?prefix=op/")
    assert status == 200


@given(
    "a loop that stands still for {pause_ms:d} ms and reaches a condition"
    " {delay_ms:d} ms later"
)
def step_standstill(context, pause_ms, delay_ms):
    """As a process that gets no processor time."""
    context.loop, context.reached = Loop(), []
    context.loop.after(0.0, lambda: time.sleep(pause_ms / 1_000))
    context.loop.after(delay_ms / 1_000, lambda: context.reached.append(True))


@when("it runs until {which} holds, {timeout_s:d} s at most")
def step_run_until(context, which, timeout_s):
    """The other condition never holds."""
    reached = context.reached if which == "the condition" else []
    started_s = time.monotonic()
    context.holds = context.loop.run_until(lambda: reached, timeout_s)
    context.took_s = time.monotonic() - started_s


@then("the condition holds")
def step_holds(context):
    """The loop had time to reach it."""
    assert context.holds, context.took_s


@then("it gave up after {timeout_s:d} s")
def step_gave_up(context, timeout_s):
    """As long as it runs, its time counts."""
    assert not context.holds
    assert timeout_s <= context.took_s < timeout_s + RUN_S, context.took_s


@given("an answer that passes two sockets of a loop, and a timer after {delay_ms:d} ms")
def step_answer_on_its_way(context, delay_ms):
    """As a target's answer to a SYN that a balancer forwarded."""
    context.loop, context.order = Loop(), []
    first, second = socket.socketpair(), socket.socketpair()
    for sock in (*first, *second):
        context.add_cleanup(sock.close)

    def pass_on():
        second[0].send(first[1].recv(1))

    def arrive():
        context.order.append(second[1].recv(1))

    context.loop.watch(first[1], pass_on)
    context.loop.watch(second[1], arrive)
    context.loop.after(delay_ms / 1_000, lambda: context.order.append("timer"))
    first[0].send(b"x")


@when("the loop stands still for {pause_ms:d} ms")
def step_stand_still(context, pause_ms):
    """Before it has read anything."""
    time.sleep(pause_ms / 1_000)
    context.loop.run_until(lambda: len(context.order) == 2, ANSWER_S)


@then("it has the answer before the timer ends")
def step_answer_first(context):
    """A caller doesn't give up while its answer waits."""
    assert context.order == [b"x", "timer"], context.order
