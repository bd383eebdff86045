"""Steps for a balancer that passes a reader's changes on."""

from types import SimpleNamespace
from unittest.mock import patch

from behave import given, then, when
from messages_steps import DELTA

from lagoontally_flows import RelayAck, Relayed
from lagoontally_forwarder import _peers
from lagoontally_forwarder._messages import decode_message, encode_message
from lagoontally_forwarder._metrics import Metrics

READER, PORT = "10.0.0.9", 7_000


@given("a balancer that knows the members {hosts}")
def step_balancer(context, hosts):
    """Its datagrams are kept."""
    context.sent, context.handled = [], []
    sock = SimpleNamespace(
        sendto=lambda data, address: context.sent.append((address[0], data)),
        recvfrom=lambda _size: context.arriving.pop(),
    )
    settings = SimpleNamespace(
        host="10.0.0.1", data_centre="z0", peer_address=("10.0.0.1", PORT), seeds=()
    )
    with patch.object(_peers, "datagram_socket", lambda _address: sock):
        context.peers = _peers.Peers(
            SimpleNamespace(watch=lambda *_: None, clock=lambda: 1_000),
            settings,
            random=SimpleNamespace(getrandbits=lambda _bits: 1),
            metrics=Metrics(),
            evacuations=SimpleNamespace(since_ms={}),
            on_message=lambda message, host: context.handled.append(message),
        )
    for host in hosts.split(", "):
        context.peers.membership.on_message(host, 1_000)


def arrive(context, data):
    """Let one datagram arrive."""

    def receive(_size):
        if context.arriving:
            return context.arriving.pop()
        raise BlockingIOError

    context.arriving = [(data, (READER, PORT))]
    context.peers._sock.recvfrom = receive
    context.peers._on_readable(None)


@when("a reader asks it to pass a change on to {count:d} times {host}")
def step_relay_many(context, count, host):
    """More than it ever should."""
    arrive(context, encode_message(Relayed(7, [host] * count, DELTA)))


@when("a reader asks it to pass a change on to {hosts}")
def step_relay(context, hosts):
    """In one datagram."""
    arrive(context, encode_message(Relayed(7, hosts.split(", "), DELTA)))


@when("the datagram {text} arrives there")
def step_datagram(context, text):
    """From anywhere."""
    arrive(context, text.encode())


@then("it handles the change")
def step_handled(context):
    """As if it came alone."""
    assert context.handled == [DELTA], context.handled


@then("it passes it on to {hosts} and acknowledges that")
def step_passed_on(context, hosts):
    """To nobody else."""
    sent = [(host, decode_message(data)) for host, data in context.sent]
    expected = [(READER, RelayAck(7)), *((host, DELTA) for host in hosts.split(", "))]
    assert sent == expected, sent


@then("it sends nothing")
def step_nothing(context):
    """Neither the change nor an acknowledgement."""
    assert context.sent == [], context.sent
