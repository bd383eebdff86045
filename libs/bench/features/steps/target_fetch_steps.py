"""Steps for members that fetch targets from their reader."""

from behave import given, then, when

from lagoontally_flows import Delta
from lagoontally_forwarder._http_client import HttpResponse


@when("a target ends whose removal doesn't reach a member")
def step_end_missed(context):
    """One that all balancers know."""
    fleet, run = context.fleet, context.run
    fleet.draw_loss = lambda _sender, receiver, message: (
        isinstance(message, Delta) and receiver.name == context.members[0]
    )
    run.write_target(context.keys[7], None)
    fleet.run(200)
    fleet.draw_loss = lambda *_: False


@when("the reader answers {delay_ms:d} ms later than it is asked")
def step_late_answer(context, delay_ms):
    """With what it knew when it was asked."""
    fleet = context.fleet

    def answer(peer, process, client, number, path):
        result = peer.serve(path)
        due_ms = fleet.now_ms + delay_ms
        fleet.at(due_ms, process.deliver, client.finish, number, result)

    fleet._answer_peer = answer


@given("the reader's program is the one before")
def step_older_program(context):
    """It doesn't know the query."""
    reader = context.fleet.processes[context.reader]
    serve = reader.serve
    reader.serve = lambda path: (
        HttpResponse(404, b"", b"") if "?" in path else serve(path)
    )


@given("the reader states another digest in its answers")
def step_other_digest(context):
    """As if digests of buckets agreed by chance."""
    reader = context.fleet.processes[context.reader]
    serve = reader.serve

    def serve_wrong(path):
        result = serve(path)
        body = result.body.replace(b'"digest":', b'"digest":1')
        return HttpResponse(result.status, result.head, body)

    reader.serve = serve_wrong


@then("readers have answered members with at most {most:d} bytes")
def step_answered(context, most):
    """Of at least one answer."""
    assert 0 < context.answered_bytes <= most, context.answered_bytes
