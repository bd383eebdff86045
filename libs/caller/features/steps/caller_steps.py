"""Steps for calls over a socket."""

import random
import socket

from aiocoap import ACK, RST
from behave import given, then, when
from fixtures import RESULTS, FakeBalancer

from lagoontally_caller import Caller


def wait_empty(context, kind):
    """Wait for the next empty message and check its type."""
    balancer = context.balancer
    assert balancer.wait_for(lambda: balancer.empty), "no empty message came"
    assert balancer.empty.pop() is kind


def send(context):
    """Send a command and keep its result."""
    context.results = [context.caller.command("/pivot/1/command", b"stop")]


@given("a balancer that asks for Echoes")
def step_balancer(context):
    """A balancer and a caller stand on sockets of their own."""
    context.balancer = FakeBalancer()
    context.add_cleanup(context.balancer.close)
    context.caller = Caller(entry=context.balancer.entry, random=random.Random(3))
    context.add_cleanup(context.caller.close)


@given("its next answer is lost")
def step_lose(context):
    """The answer to a request that was run is lost."""
    context.balancer.lose = 1


@when("two commands are sent")
def step_two(context):
    """The second command uses the Echo of the first one's answer."""
    send(context)
    first = context.results
    send(context)
    context.results = first + context.results


@when("a command is sent")
def step_one(context):
    """A command is sent and waited for."""
    send(context)


@when("a command is answered by a stranger first")
def step_stranger(context):
    """The right bytes come from the wrong address before the answer."""
    balancer = context.balancer
    balancer.lose = 1
    balancer.stranger = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    context.add_cleanup(balancer.stranger.close)
    send(context)
    assert balancer.lose == 0


@when("a command is sent after the caller was closed")
def step_closed(context):
    """A closed caller sends nothing."""
    context.caller.close()
    send(context)


@when("the balancer sends a confirmable answer with an unknown token")
def step_unknown(context):
    """The caller gets an answer that it never asked for."""
    caller = context.caller.loop.paths.current.socket.getsockname()
    context.balancer.send_confirmable(caller, b"unknown")


@when("a line is opened")
def step_open(context):
    """A line is registered through the Echo handshake."""
    balancer = context.balancer
    context.line = context.caller.open_line("/pivot/1/status", lambda item: None)
    assert balancer.wait_for(lambda: balancer.line)


@when("the balancer notifies it by a confirmable message")
def step_notify(context):
    """A confirmable notification is sent on the line."""
    context.balancer.send_confirmable(*context.balancer.line, observe=2)


@when("the line is closed")
def step_close(context):
    """The caller closes the line and says so."""
    balancer = context.balancer
    before = len(balancer.answered)
    context.line.close()
    assert balancer.wait_for(lambda: len(balancer.answered) > before)


@then("every call ends as {name:w}")
def step_results(context, name):
    """Every result has this type."""
    for result in context.results:
        assert isinstance(result, RESULTS[name]), result


@then("the balancer ran {ran:d} commands and asked for {asked:d} Echo")
@then("the balancer ran {ran:d} command and asked for {asked:d} Echo")
def step_ran(context, ran, asked):
    """Nothing ran twice, and one round trip paid for the Echo."""
    assert (len(context.balancer.ran), context.balancer.asked) == (ran, asked)


@then("the caller acknowledges it")
def step_acknowledged(context):
    """An empty acknowledgement comes back."""
    wait_empty(context, ACK)


@then("the caller resets it")
def step_reset(context):
    """A reset comes back."""
    wait_empty(context, RST)
