"""Steps for the CoAP codec."""

import json

from behave import then, when
from fixtures import fuzz

from lagoontally_core import (
    AnswerCaller,
    Flow,
    Forwarded,
    NeedEcho,
    NotifyCaller,
    Refused,
    Rejected,
    ReplyTo,
    Request,
    SendKind,
    SendUpstream,
    Unknown,
)
from lagoontally_edges import (
    Acknowledged,
    Malformed,
    PingReceived,
    ResetReceived,
    UpstreamDatagram,
    decode_caller_datagram,
    decode_upstream,
    encode_answer,
    encode_notification,
    encode_upstream,
)

TOKEN = b"ab"
ECHO = bytes.fromhex("e1e2")
FLOW = Flow("pivot-link", "127.0.0.1:5000")
# 2.05 with Observe 9 and the upstream's own Echo.
OBSERVED = bytes.fromhex("58450003 3132333435363738 6109 d1e9 aa ff 6f6b")
# 5.03 with Observe 9 and Max-Age 5.
SHED = bytes.fromhex("58a30003 3132333435363738 6109 81 05")
# GET with Uri-Host, Observe 0, Uri-Port, a path, Echo, option 65000, payload.
CALLER_GET = bytes.fromhex("42010007 6162 3178 30 11 05 41 70 d1e4 aa e1fbdf 05 ff78")
ANSWERS = {
    item.__name__: item for item in (Forwarded, NeedEcho, Refused, Rejected, Unknown)
}
CALLER_TYPES = Request | Acknowledged | ResetReceived | PingReceived | Malformed


def as_feature_text(value):
    """Return a field in the form that the feature writes it in."""
    if isinstance(value, bytes):
        return value.hex()
    return getattr(value, "value", value)


def answer_action(answer, confirmable=True):
    """Return the action that answers a request."""
    return AnswerCaller(ReplyTo(FLOW, TOKEN, 7, confirmable), answer, ECHO)


def upstream_action(body, kind=SendKind.REQUEST):
    """Return the action that sends a caller's datagram to a target."""
    return SendUpstream("127.0.0.1:9", 0, b"12345678", kind, "a.b", 4000, body)


@when("the caller's datagram {data} is decoded")
def step_decode_caller(context, data):
    """A datagram becomes a typed message."""
    context.result = decode_caller_datagram(bytes.fromhex(data))


@when("a datagram of {number:d} empty path segments is decoded")
def step_decode_many(context, number):
    """Options are bounded in number."""
    options = b"\xb0" + b"\x00" * (number - 1)
    context.result = decode_caller_datagram(b"\x40\x01\x00\x07" + options)


@when("the target's datagram {data} is decoded")
def step_decode_upstream(context, data):
    """A target's datagram becomes a typed message."""
    context.result = decode_upstream(bytes.fromhex(data))


@then("it is a {kind} with {fields}")
def step_typed(context, kind, fields):
    """The message has the type and the fields given."""
    assert type(context.result).__name__ == kind, context.result
    for name, expected in json.loads(fields).items():
        found = as_feature_text(getattr(context.result, name))
        assert found == expected, (name, found)


@when("the answer {answer} to a {form} request is encoded")
def step_encode_answer(context, answer, form):
    """An answer becomes a datagram."""
    names = {**ANSWERS, "OBSERVED": OBSERVED}
    action = answer_action(eval(answer, names), form == "confirmable")
    context.result = encode_answer(action, 9)


@when("a {form} notification of {body} is encoded")
def step_encode_notification(context, form, body):
    """A notification becomes a datagram."""
    body = {"OBSERVED": OBSERVED, "SHED": SHED}[body]
    context.result = encode_notification(
        NotifyCaller(FLOW, TOKEN, 0x102, form == "confirmable", 7, ECHO, body)
    )


@when("a caller's GET is encoded as {kind}")
def step_encode_upstream(context, kind):
    """A caller's request becomes one of the balancer's own."""
    action = upstream_action(CALLER_GET, SendKind[kind])
    context.result = encode_upstream(action, 9)


@then("the datagram is {data}")
def step_golden(context, data):
    """The datagram has exactly these bytes."""
    assert context.result == bytes.fromhex(data), bytes(context.result).hex(" ")


@when("callers and targets send anything")
def step_fuzz(context):
    """Decoding and encoding never raise."""
    samples = [CALLER_GET, OBSERVED, SHED, bytes.fromhex("60000102")]

    def check(data):
        caller, upstream = decode_caller_datagram(data), decode_upstream(data)
        assert isinstance(caller, CALLER_TYPES)
        assert isinstance(upstream, UpstreamDatagram | Malformed)
        sent = encode_upstream(upstream_action(data), 9)
        assert isinstance(sent, bytes | Malformed)
        answered = encode_answer(answer_action(Forwarded(data)), 9)
        assert isinstance(answered, bytes | Malformed)
        context.kinds.add(type(caller))

    context.kinds = set()
    fuzz(check, samples)


@then("each datagram is decoded, or dropped with a reason")
def step_fuzz_covered(context):
    """The bytes tried covered requests as well as faults."""
    assert {Request, Malformed} <= context.kinds, context.kinds
