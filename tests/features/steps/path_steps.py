"""Steps for a stock client and its effects on upstreams and balancers."""

import asyncio
import json
import socket

import aiocoap
from behave import given, then, use_fixture, when
from fixtures import ENTRY, WAIT_S, count_runs, counter_sum, stock_client, wait_for

INVALID_DATAGRAMS = (
    b"\xff\xff\xff\xff",
    b"GET / HTTP/1.1\r\n\r\n",
    # A non-confirmable 2.05 and an acknowledged 2.04 without a request.
    b"\x50\x45\x00\x01",
    b"\x60\x44\x00\x02",
)


def send_request(context, message):
    """Send a request with the stock client and keep the response."""
    request = context.client.request(message)
    waiting = asyncio.wait_for(request.response, WAIT_S)
    context.answer = context.runner.run(waiting)
    context.request = request
    if context.answer.opt.echo:
        context.echo = context.answer.opt.echo


def message(context, code, path, **options):
    """Return a request to the entry address."""
    uri = f"coap://{context.deployment.entry[ENTRY]}{path}"
    return aiocoap.Message(code=code, uri=uri, **options)


def command(context, id_, **options):
    """Return a command with an id."""
    payload = json.dumps({"id": id_, "command": "stop"}).encode()
    return message(
        context, aiocoap.POST, "/pivot/1/command", payload=payload, **options
    )


@given("a stock client")
def step_client(context):
    """Start an unmodified CoAP client."""
    use_fixture(stock_client, context)


@when('it sends the command "{id_}"')
def step_command(context, id_):
    """Send a command without an Echo."""
    send_request(context, command(context, id_))


@when('it sends the command "{id_}" with that Echo')
def step_command_echo(context, id_):
    """Send the command with the latest Echo received."""
    send_request(context, command(context, id_, echo=context.echo))


@when('it sends the command "{id_}" with that Echo forged')
def step_command_forged(context, id_):
    """Flip one bit in the last byte of the Echo."""
    forged = context.echo[:-1] + bytes([context.echo[-1] ^ 1])
    send_request(context, command(context, id_, echo=forged))


@when("it opens a line")
def step_line(context):
    """Observe a resource without an Echo."""
    send_request(context, message(context, aiocoap.GET, "/pivot/1/status", observe=0))


@when("it opens a line with that Echo")
def step_line_echo(context):
    """Observe a resource with the latest Echo received."""
    options = {"observe": 0, "echo": context.echo}
    send_request(context, message(context, aiocoap.GET, "/pivot/1/status", **options))


@when("a balancer receives malformed datagrams and unexpected responses")
def step_invalid_datagrams(context):
    """Send datagrams that no valid caller sends."""
    plan = next(iter(context.deployment.balancers.values()))
    port = int(context.deployment.entry[ENTRY].rpartition(":")[2])
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
        for datagram in INVALID_DATAGRAMS:
            sock.sendto(datagram, (plan.address, port))


@then("it is answered 4.01 with an Echo")
def step_echo_asked(context):
    """Check that the response carries an Echo to return."""
    assert context.answer.code == aiocoap.UNAUTHORIZED, context.answer
    assert context.answer.opt.echo


@then("it is answered 2.04")
def step_changed(context):
    """Check that the command ran."""
    assert context.answer.code == aiocoap.CHANGED, context.answer


@then('"{id_}" was run {times:d} times')
def step_run(context, id_, times):
    """Count the command in the ledgers."""
    assert count_runs(context.deployment, id_) == times


@then("it is notified {times:d} times in increasing order")
def step_notified(context, times):
    """Check the Observe numbers of the response and the notifications."""
    assert context.answer.code == aiocoap.CONTENT, context.answer

    async def collect():
        found = [context.answer.opt.observe]
        notifications = aiter(context.request.observation)
        while len(found) <= times:
            found.append((await anext(notifications)).opt.observe)
        return found

    sequences = context.runner.run(asyncio.wait_for(collect(), WAIT_S))
    assert sequences == sorted(set(sequences)), sequences


@then('the balancers have counted {number:d} "{counter}"')
def step_counter_sum(context, number, counter):
    """Wait until the sum over all balancers has this value."""
    wait_for(lambda: counter_sum(context.deployment, counter) == number)
