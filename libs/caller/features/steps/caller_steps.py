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


def send_command(context):
    """Send a command and keep its result."""
    context.results = [context.caller.command("/pivot/1/command", b"stop")]


@given("a balancer that asks for Echoes")
def step_balancer(context):
    """Start a balancer and a caller, each with a UDP socket."""
    context.balancer = FakeBalancer()
    context.add_cleanup(context.balancer.close)
    context.caller = Caller(entry=context.balancer.entry, random=random.Random(3))
    context.add_cleanup(context.caller.close)


@given("its next answer is lost")
def step_lose(context):
    """Lose the answer to the next request that is run."""
    context.balancer.answers_to_lose = 1


@when("two commands are sent")
def step_two(context):
    """Send two commands; the second reuses the Echo of the first answer."""
    send_command(context)
    first = context.results
    send_command(context)
    context.results = first + context.results


@when("a command is sent")
def step_one(context):
    """Send a command and wait for its result."""
    send_command(context)


@when("a command is first answered from another address")
def step_other_address(context):
    """Send the right bytes from another address, and lose the first answer."""
    balancer = context.balancer
    balancer.answers_to_lose = 1
    balancer.other_socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    context.add_cleanup(balancer.other_socket.close)
    send_command(context)
    assert balancer.answers_to_lose == 0


@when("a command is sent after the caller was closed")
def step_closed(context):
    """Send a command through a closed caller."""
    context.caller.close()
    send_command(context)


@when("the balancer sends a confirmable answer with an unknown token")
def step_unknown(context):
    """Send the caller an answer with a token that it didn't use."""
    caller = context.caller.loop.paths.current.socket.getsockname()
    context.balancer.send_confirmable(caller, b"unknown")


@when("a line is opened")
def step_open(context):
    """Open a line, which needs an Echo round."""
    balancer = context.balancer
    context.line = context.caller.open_line("/pivot/1/status", lambda item: None)
    assert balancer.wait_for(lambda: balancer.line)


@when("the balancer notifies it by a confirmable message")
def step_notify(context):
    """Send a confirmable notification on the line."""
    context.balancer.send_confirmable(*context.balancer.line, observe=2)


@when("the line is closed")
def step_close(context):
    """Close the line and wait until the balancer gets the request for it."""
    balancer = context.balancer
    before = len(balancer.answered)
    context.line.close()
    assert balancer.wait_for(lambda: len(balancer.answered) > before)


@then("every call ends as {name:w}")
def step_results(context, name):
    """Check the type of every result."""
    for result in context.results:
        assert isinstance(result, RESULTS[name]), result


@then("the balancer ran {ran:d} commands and asked for {echoes:d} Echo")
@then("the balancer ran {ran:d} command and asked for {echoes:d} Echo")
def step_ran(context, ran, echoes):
    """Check that nothing ran twice, and the number of Echo rounds."""
    assert (len(context.balancer.ran), context.balancer.echo_requests) == (ran, echoes)


@then("the caller acknowledges it")
def step_acknowledged(context):
    """Wait for an empty acknowledgement."""
    wait_empty(context, ACK)


@then("the caller resets it")
def step_reset(context):
    """Wait for a reset."""
    wait_empty(context, RST)
