"""Steps of a stock client, and of what upstreams and balancers saw of it."""

import asyncio
import json
import socket

import aiocoap
from behave import given, then, use_fixture, when
from fixtures import ENTRY, WAIT_S, counted, stock_client, times_run, wait_for

JUNK = (
    b"\xff\xff\xff\xff",
    b"GET / HTTP/1.1\r\n\r\n",
    # A non-confirmable 2.05 and an acknowledged 2.04 that nobody asked for.
    b"\x50\x45\x00\x01",
    b"\x60\x44\x00\x02",
)


def ask(context, message):
    """Send a stock client's request and keep the answer."""
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
    """An unchanged CoAP client is there."""
    use_fixture(stock_client, context)


@when('it sends the command "{id_}"')
def step_command(context, id_):
    """The client sends a command without an Echo."""
    ask(context, command(context, id_))


@when('it sends the command "{id_}" with that Echo')
def step_command_echo(context, id_):
    """The client repeats its command with the newest Echo it was given."""
    ask(context, command(context, id_, echo=context.echo))


@when('it sends the command "{id_}" with that Echo forged')
def step_command_forged(context, id_):
    """One bit of the Echo's last byte is another."""
    forged = context.echo[:-1] + bytes([context.echo[-1] ^ 1])
    ask(context, command(context, id_, echo=forged))


@when("it opens a line")
def step_line(context):
    """The client observes a resource without an Echo."""
    ask(context, message(context, aiocoap.GET, "/pivot/1/status", observe=0))


@when("it opens a line with that Echo")
def step_line_echo(context):
    """The client observes a resource with the Echo it was given."""
    options = {"observe": 0, "echo": context.echo}
    ask(context, message(context, aiocoap.GET, "/pivot/1/status", **options))


@when("a stranger sends junk and foreign answers to a balancer")
def step_junk(context):
    """Datagrams arrive that no caller of ours would send."""
    plan = next(iter(context.deployment.balancers.values()))
    port = int(context.deployment.entry[ENTRY].rpartition(":")[2])
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as stranger:
        for datagram in JUNK:
            stranger.sendto(datagram, (plan.address, port))


@then("it is answered 4.01 with an Echo")
def step_echo_asked(context):
    """The answer asks for an Echo and gives one."""
    assert context.answer.code == aiocoap.UNAUTHORIZED, context.answer
    assert context.answer.opt.echo


@then("it is answered 2.04")
def step_changed(context):
    """The command was run."""
    assert context.answer.code == aiocoap.CHANGED, context.answer


@then('"{id_}" was run {times:d} times')
def step_run(context, id_, times):
    """The ledgers hold the command this often."""
    assert times_run(context.deployment, id_) == times


@then("it is notified {times:d} times in rising order")
def step_notified(context, times):
    """Notifications follow the registration's answer."""
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
def step_counted(context, number, counter):
    """The counters of all balancers add up to this number."""
    wait_for(lambda: counted(context.deployment, counter) == number)
