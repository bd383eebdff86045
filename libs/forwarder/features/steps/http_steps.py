"""Steps for answers over HTTP."""

from behave import then, when

from lagoontally_forwarder._http_client import HttpResponse, parse_response

MANY_DIGITS = b"9" * 5_000  # ``int`` refuses more than 4,300
ANSWERS = {
    "a length of 5,000 digits": b"HTTP/1.1 200 OK\r\nContent-Length: %s\r\n\r\n"
    % MANY_DIGITS,
    "a status of 5,000 digits": b"HTTP/1.1 %s OK\r\nContent-Length: 0\r\n\r\n"
    % MANY_DIGITS,
    "no length": b"HTTP/1.1 200 OK\r\n\r\n",
    "a length of 100,000,000": b"HTTP/1.1 200 OK\r\nContent-Length: 100000000\r\n\r\n",
    "a head without an end": b"HTTP/1.1 200 OK\r\nX: " + b"x" * 1_000_000,
}
WHOLE = b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello"


@when("{name} come as the answer")
def step_answer(context, name):
    """All at once."""
    context.result = parse_response(bytearray(ANSWERS[name]))


@then('the call has failed since "{reason}"')
def step_failed(context, reason):
    """The reason goes into the log."""
    assert reason in context.result.reason, context.result


@when("an answer comes byte by byte")
def step_pieces(context):
    """As over a slow link."""
    context.results = [
        parse_response(bytearray(WHOLE[:size])) for size in range(len(WHOLE) + 1)
    ]


@then("it is complete with its last byte")
def step_complete(context):
    """Not sooner."""
    *before, last = context.results
    assert before == [None] * len(before), before
    assert last == HttpResponse(200, b"hello"), last
