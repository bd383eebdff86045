"""Steps for HTTP responses."""

from behave import then, when

from lagoontally_forwarder._http_client import HttpResponse, parse_response

MANY_DIGITS = b"9" * 5_000  # ``int`` raises ValueError for more than 4,300
RESPONSES = {
    "a length of 5,000 digits": b"HTTP/1.1 200 OK\r\nContent-Length: %s\r\n\r\n"
    % MANY_DIGITS,
    "a status of 5,000 digits": b"HTTP/1.1 %s OK\r\nContent-Length: 0\r\n\r\n"
    % MANY_DIGITS,
    "no length": b"HTTP/1.1 200 OK\r\n\r\n",
    "a length of 100,000,000": b"HTTP/1.1 200 OK\r\nContent-Length: 100000000\r\n\r\n",
    "a head without an end": b"HTTP/1.1 200 OK\r\nX: " + b"x" * 1_000_000,
}
COMPLETE = b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello"


@when("the response is {name}")
def step_response(context, name):
    context.result = parse_response(bytearray(RESPONSES[name]))


@then('the request fails with "{reason}"')
def step_failed(context, reason):
    assert reason in context.result.reason, context.result


@when("a response arrives byte by byte")
def step_byte_by_byte(context):
    context.results = [
        parse_response(bytearray(COMPLETE[:size])) for size in range(len(COMPLETE) + 1)
    ]


@then("it is complete with its last byte")
def step_complete(context):
    *before, last = context.results
    assert before == [None] * len(before), before
    assert last == HttpResponse(200, b"hello"), last
