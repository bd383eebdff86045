"""Steps for the decisions of an upstream, on a virtual clock."""

import json

from aiocoap import CON, EMPTY, GET, NON, POST, RST, Code, Message
from aiocoap.optiontypes import UintOption
from behave import given, step, then, when

from lagoontally_standins import (
    Upstream,
    UpstreamSettings,
    resource_body,
    resource_etag,
)

CALLER = ("127.0.0.9", 40000)
COMMAND_PATH = ("pivot", "7", "command")
STATUS_PATH = ("pivot", "7", "status")
LINE_TOKEN = b"line"
WORKSPACES = {
    "pivot-link": "pivot-command-relay",
    "usage-ledger": "pivot-command-relay",
    "pack-vault": "dossier-hub-balancing",
}


def deliver(context, message, *, mid=None):
    """Hand a message to the upstream and return what it answers at once."""
    context.next_mid += 1
    message.mid = context.next_mid if mid is None else mid
    data = message.encode()
    sent = context.upstream.receive(data, CALLER, now_ms=context.now_ms)
    return keep(context, sent)


def keep(context, sent):
    """Decode and keep the datagrams that the upstream sent."""
    messages = [Message.decode(one.data) for one in sent]
    context.answers += messages
    return messages


def command(name, mtype=NON):
    """Return a request that runs one command."""
    payload = json.dumps({"id": name, "command": "stop"}).encode()
    message = Message(code=POST, payload=payload)
    message.mtype, message.token = mtype, name.encode()
    message.opt.uri_path = COMMAND_PATH
    return message


def get(path, token=b"get"):
    """Return a request that reads a path."""
    message = Message(code=GET)
    message.mtype, message.token = NON, token
    message.opt.uri_path = path
    return message


@given("an upstream of {service}")
def step_start(context, service):
    """An upstream starts whose ledger is a list."""
    context.now_ms, context.next_mid = 0.0, 100
    context.ledger, context.answers = [], []
    names = (f"{service}-1", WORKSPACES[service], service)
    settings = UpstreamSettings(*names, address="", control="", ledger_dir="")
    ledger = context.ledger.append
    context.upstream = Upstream(settings, ledger=ledger, now_ms=0.0)


@when('a confirmable command "{name}" with message id {mid:d} arrives')
def step_confirmable(context, name, mid):
    """A confirmable request arrives, perhaps again."""
    deliver(context, command(name, CON), mid=mid)


@when('the commands "{names}" arrive')
def step_commands(context, names):
    """Several requests arrive one after the other."""
    for name in names.split():
        deliver(context, command(name))


@when('the command "{name}" with {left_ms:d} ms left arrives')
def step_deadline(context, name, left_ms):
    """A request arrives with little time left."""
    message = command(name)
    message.opt.add_option(UintOption(65000, left_ms))
    deliver(context, message)


@when('the command "{name}" for host "{host}" arrives')
def step_host(context, name, host):
    """A request arrives that names a host."""
    message = command(name)
    message.opt.uri_host = host
    deliver(context, message)


@when('the bytes "{digits}" arrive')
def step_bytes(context, digits):
    """A datagram arrives that may be anything."""
    data = bytes.fromhex(digits)
    keep(context, context.upstream.receive(data, CALLER, now_ms=context.now_ms))


@when("{duration_ms:d} ms pass")
def step_pass(context, duration_ms):
    """The virtual clock moves on."""
    context.now_ms += duration_ms
    keep(context, context.upstream.advance(now_ms=context.now_ms))


@step("the control sets {change}")
def step_control_upstream(context, change):
    """A mode, a fault or a setting changes."""
    context.upstream.control(json.loads(change))


@when('the body of "{path}" is read in blocks of size exponent {exponent:d}')
def step_read(context, path, exponent):
    """A caller reads block after block until there is no more."""
    context.path, context.blocks = path, []
    more = True
    while more:
        request = get(tuple(path.strip("/").split("/")))
        request.opt.block2 = (len(context.blocks), False, exponent)
        context.answers = []
        deliver(context, request)
        step_pass(context, 20)
        (block,) = context.answers
        context.blocks.append(block)
        more = block.opt.block2.more


@when("a line is asked for")
def step_line(context):
    """A line is registered or renewed."""
    request = get(STATUS_PATH, LINE_TOKEN)
    request.opt.observe = 0
    deliver(context, request)


@when("the line is closed")
def step_close(context):
    """A caller closes its line."""
    request = get(STATUS_PATH, LINE_TOKEN)
    request.opt.observe = 1
    deliver(context, request)


@when("the last notification is reset")
def step_reset(context):
    """A caller knows nothing of the line any more."""
    reset = Message(code=EMPTY)
    reset.mtype, reset.token = RST, b""
    deliver(context, reset, mid=context.answers[-1].mid)


@then('the ledger holds the ids "{names}"')
@then('the ledger holds the ids ""')
def step_ids(context, names=""):
    """Exactly these requests were run, in this order."""
    ids = [line["id"] for line in context.ledger]
    assert ids == names.split(), ids


@then("the ledger holds one foreign request and no run")
def step_foreign(context):
    """The request is on record as another upstream's."""
    assert [line["foreign"] for line in context.ledger] == [True]
    assert context.upstream.running == 0


@then("the ledger holds {number:d} registration")
def step_registrations(context, number):
    """Renewals add no registration."""
    methods = [line["method"] for line in context.ledger]
    assert methods == ["OBSERVE"] * number, methods


@then('the answers are "{codes}"')
@then('the answers are ""')
def step_answers(context, codes=""):
    """Exactly these codes were answered, in this order."""
    answered = [message.code.dotted for message in context.answers]
    assert answered == codes.split(), answered


@then("the answer 5.03 names a time to come back")
def step_max_age(context):
    """A refusal says when to come back."""
    refusals = [m for m in context.answers if m.code is Code.SERVICE_UNAVAILABLE]
    assert [refusal.opt.max_age for refusal in refusals] == [1]


@then("{number:d} datagram was malformed")
def step_malformed(context, number):
    """A datagram that can't be decoded is counted."""
    assert context.upstream.counts["malformed"] == number


@then("the body is the one that belongs to the path")
def step_body(context):
    """The blocks make up the whole body."""
    body = b"".join(block.payload for block in context.blocks)
    assert body == resource_body(context.path)


@then("every block has the ETag of the body")
def step_etag(context):
    """No block belongs to another body."""
    etag = resource_etag(resource_body(context.path))
    assert {block.opt.etag for block in context.blocks} == {etag}


@then('the line\'s sequence is "{numbers}"')
def step_sequence(context, numbers):
    """The notifications and their bodies are numbered alike."""
    states = [m for m in context.answers if m.opt.observe is not None]
    observed = [message.opt.observe for message in states]
    assert observed == [int(number) for number in numbers.split()], observed
    assert observed == [json.loads(m.payload)["sequence"] for m in states]


@then("no line is open")
def step_no_line(context):
    """The upstream holds no line."""
    assert not context.upstream.lines


@then("the load report is {busy:d} busy and {lines:d} lines")
def step_load(context, busy, lines):
    """The load report shows these numbers."""
    (answer,) = deliver(context, get(("load",)))
    assert json.loads(answer.payload) == {"busy": busy, "lines": lines}
