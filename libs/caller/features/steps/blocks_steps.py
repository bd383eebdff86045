"""Steps for block-wise fetches."""

from behave import given, then, when
from fixtures import RESULTS, VirtualTime, decoded, reply

from lagoontally_caller._blocks import Fetch
from lagoontally_caller._codec import Block

FAULTS = {
    "is cut": lambda answer: answer._replace(payload=answer.payload[:-1]),
    "has another number": lambda answer: answer._replace(
        block=answer.block._replace(number=answer.block.number + 1)
    ),
    "has no number": lambda answer: answer._replace(block=None),
}


def block_answer(context, token, number, version):
    """Return the answer with one block of a version of the resource."""
    body = bytes([version]) * context.size
    start = number * 1024
    return reply(
        "2.05",
        token,
        etag=bytes([version]),
        block=Block(number, start + 1024 < len(body), 6),
        payload=body[start : start + 1024],
    )


def fetch(context, *, version_at=lambda asked: 1, change=lambda number, answer: answer):
    """Run a fetch against a resource until it ends."""
    time = VirtualTime()
    context.fetch = machine = Fetch(
        "/pack/1",
        deadline_s=time.now_s + 30,
        identifiers=time.identifiers,
        echo_store=time.echo_store,
    )
    context.asked = 0
    datagrams = machine.start(time.now_s)
    while datagrams:
        request = decoded(datagrams[0])
        number = request.opt.block2.block_number
        version = context.version = version_at(context.asked)
        context.asked += 1
        answer = block_answer(context, request.token, number, version)
        datagrams = machine.on_reply(change(number, answer), time.now_s)


@given("a resource of {size:d} bytes")
def step_resource(context, size):
    """The resource is served in blocks of 1024 bytes."""
    context.size = size


@when("it is fetched")
def step_fetch(context):
    """The resource stays the same."""
    fetch(context)


@when("it is fetched and changes after block 1")
def step_changes_once(context):
    """The resource changes between the second and the third block."""
    fetch(context, version_at=lambda asked: 1 if asked < 2 else 2)


@when("it is fetched and changes after each block")
def step_changes(context):
    """No two blocks come from the same version."""
    fetch(context, version_at=lambda asked: asked)


@when("it is fetched and block 1 {fault}")
def step_fault(context, fault):
    """The second block has a fault."""
    spoil = FAULTS[fault]
    fetch(context, change=lambda number, item: spoil(item) if number == 1 else item)


@when("it is fetched and {size:d} bytes are announced")
def step_announced(context, size):
    """Every block names the size of the body."""
    fetch(context, change=lambda number, item: item._replace(size=size))


@then("the fetch ends as {name} with the whole body after {blocks:d} blocks")
def step_whole(context, name, blocks):
    """The body is whole and of one version."""
    outcome = context.fetch.outcome
    assert isinstance(outcome, RESULTS[name]), outcome
    assert outcome.body == bytes([context.version]) * context.size
    assert context.asked == blocks, context.asked


@then("the fetch ends as {name:w}")
def step_ends(context, name):
    """The caller is told a reason instead of a body."""
    assert isinstance(context.fetch.outcome, RESULTS[name]), context.fetch.outcome
