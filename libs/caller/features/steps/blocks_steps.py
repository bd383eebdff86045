"""Steps for block-wise fetches."""

from behave import given, then, when
from fixtures import RESULTS, VirtualTime, decoded, reply

from lagoontally_caller._blocks import Fetch
from lagoontally_caller._codec import Block

FAULTS = {
    "is truncated": lambda answer: answer._replace(payload=answer.payload[:-1]),
    "has another number": lambda answer: answer._replace(
        block=answer.block._replace(number=answer.block.number + 1)
    ),
    "has no Block2": lambda answer: answer._replace(block=None),
}


def block_answer(context, token, number, version):
    """Return the response with one block of a version of the resource."""
    body = bytes([version]) * context.size
    start = number * 1024
    return reply(
        "2.05",
        token,
        etag=bytes([version]),
        block=Block(number, start + 1024 < len(body), 6),
        payload=body[start : start + 1024],
    )


def fetch(
    context, *, version_at=lambda requests: 1, change=lambda number, answer: answer
):
    """Run a fetch against a resource until it ends."""
    time = VirtualTime()
    context.fetch = state_machine = Fetch(
        "/pack/1",
        deadline_s=time.now_s + 30,
        identifiers=time.identifiers,
        echo_store=time.echo_store,
    )
    context.requests = 0
    datagrams = state_machine.start(time.now_s)
    while datagrams:
        request = decoded(datagrams[0])
        number = request.opt.block2.block_number
        version = context.version = version_at(context.requests)
        context.requests += 1
        answer = block_answer(context, request.token, number, version)
        datagrams = state_machine.on_reply(change(number, answer), time.now_s)


@given("a resource of {size:d} bytes")
def step_resource(context, size):
    """Serve a resource in blocks of 1024 bytes."""
    context.size = size


@when("it is fetched")
def step_fetch(context):
    """Fetch a resource that doesn't change."""
    fetch(context)


@when("it is fetched and changes after block 1")
def step_changes_once(context):
    """Change the resource between the second and the third block."""
    fetch(context, version_at=lambda requests: 1 if requests < 2 else 2)


@when("it is fetched and changes after each block")
def step_changes(context):
    """Change the resource before each block."""
    fetch(context, version_at=lambda requests: requests)


@when("it is fetched and block 1 {fault}")
def step_fault(context, fault):
    """Send a faulty second block."""
    corrupt = FAULTS[fault]
    fetch(context, change=lambda number, item: corrupt(item) if number == 1 else item)


@when("it is fetched and {size:d} bytes are announced")
def step_announced(context, size):
    """Send a Size2 option with every block."""
    fetch(context, change=lambda number, item: item._replace(size=size))


@then("the fetch ends as {name} with the whole body after {blocks:d} blocks")
def step_whole(context, name, blocks):
    """Check that the whole body is of one version."""
    outcome = context.fetch.outcome
    assert isinstance(outcome, RESULTS[name]), outcome
    assert outcome.body == bytes([context.version]) * context.size
    assert context.requests == blocks, context.requests


@then("the fetch ends as {name:w}")
def step_ends(context, name):
    """Check the type of the outcome."""
    assert isinstance(context.fetch.outcome, RESULTS[name]), context.fetch.outcome
