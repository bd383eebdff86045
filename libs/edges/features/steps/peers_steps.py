"""Steps for the messages between balancers."""

import pynng
from behave import given, then, when
from fixtures import fuzz

import lagoontally_core
from lagoontally_core import (
    Flow,
    HandoverAck,
    HandoverPart,
    Join,
    LineRecord,
    MemberRecord,
    Origin,
    PeerMessage,
    Ping,
    PingAck,
    PingRequest,
    PlaceAsk,
    Placed,
    PlaceDone,
    Relay,
    RelayAck,
    RelayFresh,
    RememberedRecord,
    Request,
    RequestKind,
    SendPeer,
    Succession,
    SuccessionAck,
    TemplateDigest,
    TemplateSections,
    TemplateWant,
    Welcome,
)
from lagoontally_edges import (
    MESSAGE_TYPES,
    DecodeError,
    PeerEdge,
    decode_peer,
    encode_peer,
)

HIGHEST = 2**64 - 1
FLOW = Flow("pivot-link", "127.0.0.1:5000")
REQUEST = Request(RequestKind.LINE_OPEN, b"ab", 7, True, b"e" * 40, 5000, b"\x40\xff")
MEMBER = MemberRecord(HIGHEST, "tifton-1", "tifton", "127.0.0.1:1", 0, 3, 1, 9)
SUCCESSION = Succession(HIGHEST, [1, 2], 40)
PARTS = [
    [Origin(3, b"k", 10, [7, 9], [7])],
    [LineRecord(FLOW, 77, b"ab", 5, "127.0.0.1:9", 90, b"\x00")],
    [RememberedRecord(b"0" * 16, 77, "Unknown", b"", 0, 400)],
]
EXAMPLES = [
    Ping(1, MEMBER, [MEMBER], [SUCCESSION]),
    PingAck(1, HIGHEST, MEMBER, [], [SUCCESSION]),
    PingRequest(1, MEMBER, 4, "127.0.0.1:4"),
    Join(MEMBER),
    PlaceAsk(b"12345678", "desk", 1, "127.0.0.1:9", "", ["127.0.0.1:5"], 9_000),
    Placed(b"12345678", "127.0.0.1:6", ""),
    PlaceDone(b"12345678", 1),
    Welcome(MEMBER, [MEMBER], []),
    Relay(HIGHEST, 1, FLOW, REQUEST),
    RelayAck(FLOW, 65535, True),
    RelayFresh(FLOW, REQUEST),
    HandoverPart(1, "127.0.0.1:1", 1, 0, 2, b"key", 1000, *PARTS),
    HandoverAck(1, 2, 1, 0),
    SUCCESSION,
    SuccessionAck(HIGHEST, 2),
    TemplateDigest(9, b"\x00\xff"),
    TemplateWant(0, {"a": b"\x01"}),
    TemplateSections(9, b"\x00", ["a"], {"a": b"{}"}),
]
ABSENT = "127.0.0.1:1"


def types_of(value):
    """Return the type of a value and of all that it holds."""
    if isinstance(value, tuple | list):
        return [type(value), *(types_of(item) for item in value)]
    return type(value)


def peer_edge(context, incarnation, **options):
    """Return a peer edge on the virtual clock."""
    recorder = context.recorder
    edge = PeerEdge(
        incarnation=incarnation,
        listen_address="127.0.0.1:0",
        post=recorder.post,
        count=recorder.count,
        clock_ms=recorder.clock_ms,
        **options,
    )
    return recorder.close_after_scenario(edge)


@when("each message type is encoded and decoded")
def step_peer_round_trip(context):
    """The sender travels along."""
    context.decoded = [decode_peer(encode_peer(HIGHEST, item)) for item in EXAMPLES]


@then("each message is the same, with its own types")
def step_peer_same(context):
    """Every message type has an example, and nested types are restored."""
    assert {type(item) for item in EXAMPLES} == set(MESSAGE_TYPES.values())
    for sent, decoded in zip(EXAMPLES, context.decoded, strict=True):
        assert decoded == PeerMessage(HIGHEST, sent), decoded
        assert types_of(decoded.message) == types_of(sent)


@then("every type of the core's peer messages is a message or part of one")
def step_no_type_missing(context):
    """A type added to the core must be added to the codec."""
    module = lagoontally_core.Ping.__module__
    defined = {
        item
        for item in vars(lagoontally_core).values()
        if isinstance(item, type) and item.__module__ == module
    }
    records = {MemberRecord, RememberedRecord, LineRecord, Origin}
    assert defined - records == set(MESSAGE_TYPES.values())


@when(
    "a HandoverAck of {predecessor:d} and {successor:d}"
    " is encoded for sender {sender:d}"
)
def step_encode_ack(context, predecessor, successor, sender):
    """A short message."""
    context.encoded = encode_peer(sender, HandoverAck(predecessor, successor, 1, 0))


@then("the message is {data}")
def step_peer_golden(context, data):
    """The message has exactly these bytes."""
    assert context.encoded == bytes.fromhex(data), context.encoded.hex(" ")


@when("peers send anything")
def step_peer_fuzz(context):
    """Decoding never raises."""
    context.kinds = set()
    samples = [encode_peer(5, item) for item in EXAMPLES]
    fuzz(lambda data: context.kinds.add(type(decode_peer(data))), samples)


@then("each message is decoded, or dropped with a reason")
def step_peer_fuzzed(context):
    """The bytes tried covered messages as well as faults."""
    assert context.kinds == {PeerMessage, DecodeError}, context.kinds


@given("two peer edges")
def step_two_edges(context):
    """The second edge reads."""
    context.edge, context.other = peer_edge(context, 1), peer_edge(context, HIGHEST)
    context.recorder.start(context.other.run)


@when("one sends the other {number:d} messages")
def step_send_messages(context, number):
    """The first send dials."""
    for index in range(number):
        message = HandoverAck(index, 0, 1, 0)
        context.edge.send(SendPeer(context.other.listen_address, message))


@then("all {number:d} are posted in order with the sender's incarnation")
def step_messages_posted(context, number):
    """None is lost while the connection is made."""
    found = [context.recorder.wait_for_event() for _ in range(number)]
    assert found == [PeerMessage(1, HandoverAck(i, 0, 1, 0)) for i in range(number)]


@when("one sends 100 messages to an absent peer and one to an impossible address")
def step_send_absent(context):
    """Nobody listens there."""
    for _ in range(100):
        context.edge.send(SendPeer(ABSENT, HandoverAck(1, 2, 1, 0)))
    context.edge.send(SendPeer("nowhere", HandoverAck(1, 2, 1, 0)))
    context.edge.send(SendPeer(ABSENT, "not a message"))


@then("what can't be queued is counted")
def step_dropped(context):
    """Some wait for the connection and the others are dropped."""
    counters = context.recorder.counters
    assert 0 < counters["peer_send_dropped"] < 100, counters
    assert counters["peer_dial_failed"] == counters["peer_unencodable"] == 1


@given("a peer edge that dials at most {number:d} peers")
def step_bounded_edge(context, number):
    """The bound is small for the scenario."""
    context.edge = peer_edge(context, 1, max_peers=number)


@when("it sends a message to each of {number:d} absent peers")
def step_send_each(context, number):
    """Each is dialed."""
    for index in range(number):
        action = SendPeer(f"127.0.0.{index + 2}:1", HandoverAck(1, 2, 1, 0))
        context.edge.send(action)


@then("{number:d} peers are dialed")
def step_dialed(context, number):
    """The others were closed."""
    assert len(context.edge.connections) == number


@when("{seconds:d} seconds pass for the peer edge")
def step_peer_idle(context, seconds):
    """The next sweep closes what is idle."""
    context.recorder.now_ms += seconds * 1000
    context.edge.sweep()
    assert context.edge.retired == []


@when("it forgets the other and sends another message")
def step_forget(context):
    """The first message has arrived before the link is dropped."""
    context.recorder.wait_for_event()
    context.edge.disconnect(context.other.listen_address)
    assert not context.edge.connections
    context.edge.send(SendPeer(context.other.listen_address, HandoverAck(7, 7, 1, 0)))


@then("that message is posted too")
def step_second_posted(context):
    """A new link was dialed."""
    assert context.recorder.wait_for_event().message == HandoverAck(7, 7, 1, 0)


@when("junk is pushed to one of them")
def step_push_junk(context):
    """A message follows the junk on the same connection."""
    with pynng.Push0(dial=f"tcp://{context.other.listen_address}") as push:
        push.send(b"\xc1junk")
        push.send(b"")
        push.send(encode_peer(3, HandoverAck(1, 2, 1, 0)))
        context.event = context.recorder.wait_for_event()


@then("the junk is counted and the next message is posted")
def step_junk_counted(context):
    """The edge goes on."""
    assert context.event == PeerMessage(3, HandoverAck(1, 2, 1, 0))
    assert context.recorder.counters["peer_undecodable"] == 2
