"""Steps that feed a core with random messages of peers."""

from random import Random
from types import GenericAlias
from typing import ForwardRef, get_args, get_type_hints

from behave import given, then, when
from hypothesis import HealthCheck, settings
from hypothesis import given as for_all
from hypothesis import strategies as st

from lagoontally_core import (
    PEER_MESSAGES,
    CallerRequest,
    Flow,
    Join,
    MemberRecord,
    Request,
    RequestKind,
    SelfInfo,
    State,
    Tick,
    _peer_messages,
    step,
)
from lagoontally_edges._peer_codec import DecodeError, decode_peer, encode_peer
from lagoontally_model import Timing

OWN, PEER = 1_000_001, 3_000_003
TICK_MS, JOIN_TICKS = 100, 60
HUGE = 2**63
SIMPLE = {
    int: st.integers(-2, 6) | st.sampled_from((OWN, PEER, HUGE - 1, HUGE, -HUGE)),
    str: st.text(max_size=3) | st.sampled_from(("127.0.0.1:70000", "Forwarded")),
    bytes: st.binary(max_size=9),
    bool: st.booleans(),
}


def strategy(kind):
    """Return a strategy for values of an annotated type."""
    if isinstance(kind, str | ForwardRef):
        kind = getattr(_peer_messages, getattr(kind, "__forward_arg__", kind))
    if kind in SIMPLE:
        return SIMPLE[kind]
    if isinstance(kind, GenericAlias):
        parts = [strategy(part) for part in get_args(kind)]
        build = st.dictionaries if kind.__origin__ is dict else st.lists
        return build(*parts, max_size=2)
    if not hasattr(kind, "_fields"):
        return st.sampled_from(list(kind))  # an enumeration
    hints = get_type_hints(kind, vars(_peer_messages))
    return st.builds(kind, **{name: strategy(hint) for name, hint in hints.items()})


@given("the core of a balancer that serves")
def step_core(context):
    """It has no template, so it knows no targets."""
    info = SelfInfo(OWN, "kgn-1", "hub", "kgn-a", "127.0.0.1:7946", bytes(32), 0)
    context.state, context.now_ms = State(info, Timing()), 0
    for _ in range(JOIN_TICKS):
        handle(context, Tick())


def handle(context, event):
    """Handle an event and return the actions."""
    context.now_ms += TICK_MS
    return step(context.state, event, context.now_ms, Random(1))


@when("it gets {count:d} random messages of peers")
def step_random(context, count):
    """Each is encoded, decoded and handled, and time passes."""

    def consume(message):
        decoded = decode_peer(encode_peer(PEER, message))
        if not isinstance(decoded, DecodeError):
            handle(context, decoded)
            handle(context, Tick())

    run = settings(
        max_examples=count,
        deadline=None,
        derandomize=True,
        suppress_health_check=list(HealthCheck),
    )
    messages = st.one_of(strategy(kind) for kind in PEER_MESSAGES)
    run(for_all(messages)(consume))()


@then("it still places a caller's request")
def step_request(context):
    """The caller gets an answer."""
    request = Request(RequestKind.IDEMPOTENT, b"t", 7, True, b"", 5_000, b"")
    event = CallerRequest(Flow("desk", "127.0.0.1:4000"), request)
    assert handle(context, event)


@when("a Join arrives from a member whose status is {status:d}")
def step_join(context, status):
    """A newer balancer may know more statuses."""
    member = MemberRecord(PEER, "n", "kgn-a", "127.0.0.1:7946", status, 0, 0, 1)
    context.decoded = decode_peer(encode_peer(PEER, Join(member)))


@then("the message is undecodable")
def step_undecodable(context):
    """The edge drops and counts it."""
    assert isinstance(context.decoded, DecodeError), context.decoded
