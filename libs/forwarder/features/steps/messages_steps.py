"""Steps for messages between balancers."""

import json

from behave import then, when
from hypothesis import given as for_all
from hypothesis import settings
from hypothesis import strategies as st

from lagoontally_flows import (
    CONFIRMED,
    Beacon,
    ConfigurationDelta,
    DealtAnew,
    Delta,
    DemandDigest,
    Evacuated,
    Evacuation,
    FlowHolder,
    Hello,
    HolderQuery,
    Holders,
    InForce,
    Joined,
    LoadAdvice,
    LoadReport,
    Members,
    Membership,
    Position,
    RelayAck,
    Relayed,
    Route,
    Target,
    TargetUpdate,
    Verdict,
    target_cookie,
)
from lagoontally_forwarder._messages import (
    decode_message,
    encode_message,
    split_configuration_delta,
)
from lagoontally_forwarder._view_document import (
    TargetsCopy,
    decode_targets,
    encode_targets,
)

NAME = bytes.fromhex("000000007f3a91c2")
TARGET = Target(
    NAME, 5, target_cookie(NAME, 5), ("10.0.0.1", 80), "tifton", "desk", 2, False, 0
)
VIEW, KNOWN = Position(2, 10, 1), Position(2, 9, 0)
ENTRIES = [("servers/i-1", TARGET), ("servers/i-2", None)]
DELTA = Delta(3, KNOWN, VIEW, KNOWN, 2, 0, 1, ENTRIES, 77, True)
UPDATES = [(None, TargetUpdate(TARGET.cookie, True, 800)), ("servers/i-2", None)]
FLOW_HOLDER = FlowHolder(
    ((1 << 32) - 1, 65_535, (1 << 32) - 2, 65_534),
    (1 << 32) - 1,
    TARGET.cookie,
    CONFIRMED,
    60_000,
    (1 << 32) - 1,
)
MESSAGES = (
    Hello("tifton", 7, 2),
    InForce(14),
    Joined("tifton"),
    Members(7, 3, False, 0, 1, 2_000, ["10.0.0.1", "10.0.0.2"], ["10.0.0.3"]),
    Beacon(3, VIEW, KNOWN, 2, 13, 40, True, False, 77, KNOWN, 1),
    Evacuated("reader", KNOWN, 0, 1, [Evacuation("tifton", 2, 8, 0)]),
    DELTA,
    DELTA._replace(entries=UPDATES),
    Relayed(4, ["10.0.0.1", "10.0.0.2"], DELTA),
    RelayAck(4),
    ConfigurationDelta(
        3,
        4,
        7,
        15_000,
        0,
        1,
        [
            ((3_323_068_417, 8_443), Route("r-1", (("desk", 9), ("vault", 1)), True)),
            ((3_323_068_417, 8_080), None),
        ],
        77,
    ),
    Verdict(TARGET.cookie, True, "silent", 0),
    Verdict(TARGET.cookie, False, "answered", 40),
    DealtAnew(),
    HolderQuery([FLOW_HOLDER]),
    Holders([FLOW_HOLDER, FLOW_HOLDER._replace(rival=0)]),
    LoadReport([("desk", 4, 1)], [(TARGET.cookie, 21), (77, 0)], [(77, 1_900)]),
    LoadAdvice(
        [(TARGET.cookie, 17)],
        [("desk", [("camilla", 20), ("pelham", 25)])],
        [77],
        [("desk", 105, [(TARGET.cookie, 40)]), ("vault", 0, [])],
    ),
    DemandDigest("tifton", [("desk", 30.5, 40)], False),
)
FIELDS = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(),
    lambda inner: st.lists(inner, max_size=9),
    max_leaves=12,
)


@then("each type of message is decoded to the message that was encoded")
def step_round_trip(context):
    for message in MESSAGES:
        assert decode_message(encode_message(message)) == message, message


@then("programs before InForce decode the hello {hello} and the reply {reply}")
def step_unchanged(context, hello, reply):
    """They require exactly these fields, and drop messages of unknown types."""
    assert json.loads(encode_message(MESSAGES[0])) == json.loads(hello)
    members = next(one for one in MESSAGES if isinstance(one, Members))
    assert json.loads(encode_message(members)) == json.loads(reply)


@when("a delta arrives whose target has {field} {value}")
def step_delta(context, field, value):
    document = json.loads(encode_message(DELTA))
    document[1 + Delta._fields.index("entries")][0][1][Target._fields.index(field)] = (
        json.loads(value)
    )
    context.decoded = decode_message(json.dumps(document).encode())


@when("the message {text} arrives")
def step_message(context, text):
    context.decoded = decode_message(text.encode())


@then("it is rejected")
def step_rejected(context):
    assert context.decoded is None, context.decoded


@then("it lists the hosts {hosts}")
def step_hosts(context, hosts):
    assert context.decoded.hosts == hosts.split(", "), context.decoded
    assert context.decoded.removed == [], context.decoded


@then("the longest parts of a list of {count:d} members are encoded")
def step_long_list(context, count):
    """Hosts with the longest addresses."""
    seed = Membership(host="100.100.100.100", data_centre="tifton", epoch=(1 << 31) - 1)
    hosts = [f"200.200.{100 + n // 100}.{100 + n % 100}" for n in range(count)]
    for host in hosts:
        replies = seed.on_hello(Hello("tifton", 0, 0), host, 0)
    encoded = [encode_message(reply) for reply in replies]
    assert all(encoded), [len(reply.hosts) for reply in replies]
    decoded = [decode_message(data).hosts for data in encoded]
    listed = {host for hosts in decoded for host in hosts}
    assert set(hosts) <= listed, set(hosts) - listed


@then("a message with {count:d} holders of flows is encoded")
def step_full_holders(context, count):
    """All numbers are the longest."""
    assert encode_message(Holders([FLOW_HOLDER] * count))
    assert encode_message(HolderQuery([FLOW_HOLDER] * count))


@then("each part of a change of {count:d} routes is encoded")
def step_long_change(context, count):
    """Routes with long names and two services each."""
    shares = (("a-service-with-a-name", 90), ("another-long-service", 10))
    routes = [
        ((4_294_967_295, n), Route(f"route-{n:06}", shares, True)) for n in range(count)
    ]
    delta = ConfigurationDelta(2**33, 2**31, 2**31 + 1, 600_000, 0, 1, routes, 2**32)
    parts = split_configuration_delta(delta)
    decoded = [decode_message(encode_message(part)) for part in parts]
    assert decoded == parts
    assert [route for part in parts for route in part.routes] == routes


@when("hypothesis generates {count:d} messages of random fields")
def step_fuzz(context, count):
    """Generate a message type and arbitrary fields."""
    context.run = settings(max_examples=count, deadline=None, derandomize=True)


@then("each is decoded or rejected")
def step_fuzzed(context):
    names = st.sampled_from([type(message).__name__ for message in MESSAGES])
    context.run(for_all(names, st.lists(FIELDS, max_size=9))(check_message))()


def check_message(name, fields):
    """Decode one message, which must not raise an error."""
    decode_message(json.dumps([name, *fields]).encode())


@then("a copy of targets with {left_ms:d} ms left of a warm-up is decoded as it was")
def step_copy(context, left_ms):
    """The entry itself is sent as the target wrote it."""
    entries = {"servers/i-1": TARGET._replace(warm_up_ms=2_000)}
    warm_ups = {TARGET.cookie: left_ms}
    copy = decode_targets(encode_targets(VIEW, entries, warm_ups))
    assert copy == TargetsCopy(VIEW, entries, warm_ups), copy


@then("a copy without what is left of warm-ups is decoded")
def step_old_copy(context):
    """Balancers of two versions run side by side while they are replaced."""
    copy = decode_targets(json.dumps({"position": VIEW, "targets": {}}).encode())
    assert copy == TargetsCopy(VIEW, {}, {}), copy


@then("a copy with the warm-ups {warm_ups} is rejected")
def step_malformed_copy(context, warm_ups):
    """It raises no error."""
    head = json.dumps({"position": VIEW, "targets": {}})[:-1]
    assert decode_targets(f'{head}, "warm_ups": {warm_ups}}}'.encode()) is None


@then("the fullest report and the fullest advice on load are encoded")
def step_full_load(context):
    """Names are as long as platforms use."""
    names = [f"{number:02d}-parcel-service" for number in range(12)]
    places = [(f"ee-north-{number}", 20) for number in range(5)]
    answers = [((1 << 32) - 1 - number, 60_000) for number in range(32)]
    arrivals = [(name, 1_000, 1_000) for name in names]
    report = LoadReport(arrivals, answers[:12], answers[:20])
    cookies = [cookie for cookie, _ in answers[:20]]
    spills = [(name, places) for name in names[:5]]
    assert encode_message(LoadReport(arrivals, answers, []))
    assert encode_message(report)
    assert encode_message(LoadAdvice(answers[:30], spills, [], []))
    for shares, full, limited in ((20, 0, 0), (10, 0, 10), (0, 0, 20), (0, 20, 0)):
        limits = [(name, 10_000, []) for name in names[:4]]
        limits.append((names[4], 10_000, answers[:limited]))
        advice = LoadAdvice(answers[:shares], spills, cookies[:full], limits)
        assert encode_message(advice), (shares, full, limited)
