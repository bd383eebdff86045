"""Steps for packet headers, entries, configurations and responses of the store."""

import json
from copy import deepcopy

from behave import then, when
from fixtures import CONFIGURATION, ENTRY, changes, item, page

from lagoontally_flows import SYN, Packet, Target, target_cookie
from lagoontally_forwarder._http_client import header_value
from lagoontally_platform import (
    ERA_HEADER,
    NAME_BYTES,
    InvalidPacket,
    InvalidResponse,
    address_packet,
    decode_changes,
    decode_era,
    decode_packet,
    decode_page,
    encode_reset,
    format_flow,
    page_path,
)
from lagoontally_standins.packets import encode_packet

DOCUMENTED_SYN = """
    a1 b2 c3 d5 00 00 02 00 c6 12 00 01 01 bb 9c 41 64 40 00 07 00 00 00 00
    11 22 33 44 00 00 00 00
"""
DOCUMENTED_RESET = """
    00 00 00 00 00 00 01 00 64 40 00 07 9c 41 01 bb c6 12 00 01 00 00 00 00
    00 00 00 00 00 00 00 00
"""
FLOW = (0x64400007, 40_001, 0xC6120001, 443)
KEY = "servers/i-7f3a91c2"


def buffer_of(datagram):
    """Return a buffer with space for a target's name before the datagram."""
    return bytearray(NAME_BYTES) + datagram


def changed(document, field, value):
    """Return a copy of a document with one field changed, or removed if "missing"."""
    document = dict(document)
    document.pop(field, None)
    if value != "missing":
        document[field] = json.loads(value)
    return document


@when("the documented SYN is decoded")
def step_documented_syn(context):
    datagram = bytes.fromhex(DOCUMENTED_SYN)
    context.decoded = decode_packet(buffer_of(datagram), len(datagram))


@then("it is a SYN from {caller} to {route} with sequence {sequence}")
def step_is_syn(context, caller, route, sequence):
    assert context.decoded == Packet(FLOW, SYN, 0, int(sequence, 16), 0, 0)
    assert format_flow(context.decoded.flow) == f"{caller}>{route}"


@when("a flow from {caller} to {route} is reset")
def step_reset(context, caller, route):
    context.encoded = encode_reset(FLOW, 0)


@then("the bytes are the documented ones")
def step_documented_reset(context):
    assert context.encoded == bytes.fromhex(DOCUMENTED_RESET), context.encoded.hex(" ")


@when("a packet is addressed to a target")
def step_address(context):
    context.before = encode_packet(FLOW, 16, cookie=1, sequence=7, ack=9, data=b"hello")
    name = bytes.fromhex("000000007f3a91c2")
    context.target = Target(
        name, 0, target_cookie(name, 0), ("10.0.0.1", 1), "z", "s", 2, False, 0
    )
    context.buffer = buffer_of(context.before)
    address_packet(context.buffer, context.target, context.target.cookie)


@then("it starts with the target's name")
def step_name(context):
    assert context.buffer[:NAME_BYTES] == context.target.name


@then("only its cookie has changed")
def step_only_cookie(context):
    """The checksum covers all other bytes, so they must not change."""
    after = bytes(context.buffer[NAME_BYTES:])
    assert after[:20] == context.before[:20]
    assert after[20:24] == context.target.cookie.to_bytes(4, "big")
    assert after[24:] == context.before[24:]


@when("a datagram {datagram} is decoded")
def step_bad_datagram(context, datagram):
    if datagram == "with a wrong length":
        data = encode_packet(FLOW, SYN, data=b"hello")[:-1]
    elif datagram == "of more than 1200 bytes":
        data = encode_packet(FLOW, 16, data=bytes(1_201))
    else:
        data = bytes(int(datagram.split()[1]))
    context.decoded = decode_packet(buffer_of(data), len(data))


@then('it is rejected as "{reason}"')
def step_invalid_packet(context, reason):
    assert context.decoded == InvalidPacket(reason), context.decoded


def decode_entry(context, document):
    """Decode a page with a single entry."""
    context.listing = decode_page(page([item(KEY, document)]))


@when("the documented entry is decoded")
def step_entry(context):
    decode_entry(context, ENTRY)


@when("an entry whose {field} is {value} is decoded")
def step_changed_entry(context, field, value):
    decode_entry(context, changed(ENTRY, field, value))


@then("it yields the target {name} of service {service} at {address}")
def step_target(context, name, service, address):
    ((key, target),) = context.listing.entries
    assert key == KEY
    assert target.name.hex() == name.zfill(16)
    assert target.service == service
    assert "{}:{}".format(*target.address) == address
    assert target.cookie == target_cookie(target.name, ENTRY["born"])


@then("it yields no target")
def step_no_target(context):
    """The entry is listed without a target and its fault is reported."""
    assert context.listing.entries == [(KEY, None)], context.listing
    assert [key for key, _ in context.listing.faults] == [KEY]


@when("a page contains a valid entry and one with {content}")
def step_invalid_item(context, content):
    invalid_item = item("servers/i-77", b"")
    documents = {"no JSON": b"{", "a number": b"5", "a list": b"[]"}
    if content in documents:
        invalid_item = item("servers/i-77", documents[content])
    elif content == "no base64":
        invalid_item["value"] = "%%%"
    else:
        del invalid_item["value"]
    context.listing = decode_page(page([invalid_item, item(KEY, ENTRY)]))


@then("the page has {targets:d} target and {faults:d} fault")
def step_page_counts(context, targets, faults):
    named = [target for _, target in context.listing.entries if target]
    assert (len(named), len(context.listing.faults)) == (targets, faults)


@when("the documented configuration is decoded")
def step_configuration(context):
    context.listing = decode_page(page([item("op/config", CONFIGURATION)]))


@when("a configuration whose {field} is {value} is decoded")
def step_changed_configuration(context, field, value):
    document = changed(CONFIGURATION, field, value)
    context.listing = decode_page(page([item("op/config", document)]))


@then(
    "it has version {version:d} and {routes:d} routes, of which {count:d} is repeatable"
)
def step_routes(context, version, routes, count):
    """The route's type determines whether its requests are repeatable."""
    configuration = context.listing.configuration
    assert configuration.version == version
    assert len(configuration.routes) == routes
    repeatable = [one for one in configuration.routes.values() if one.repeatable]
    assert len(repeatable) == count


@then("the first route is split {first:d} to {second:d}")
def step_split(context, first, second):
    route = context.listing.configuration.routes[(0xC6120001, 8443)]
    assert route.shares == (("huvo11a", first), ("wuno96b", second)), route


@when(
    "the documented configuration with the first route split {first:d} to {second:d} "
    "is decoded"
)
def step_weights(context, first, second):
    document = deepcopy(CONFIGURATION)
    shares = document["routes"][0]["traffic-split"]
    shares[0]["weight"], shares[1]["weight"] = first, second
    context.listing = decode_page(page([item("op/config", document)]))


@then("the first route's flows go to {services}")
def step_services(context, services):
    route = context.listing.configuration.routes[(0xC6120001, 8443)]
    names = [service for service, _ in route.shares]
    assert " ".join(names) == services, route


@then("there is no configuration and {faults:d} fault")
def step_no_configuration(context, faults):
    assert context.listing.configuration is None
    assert len(context.listing.faults) == faults, context.listing.faults


@when("a watch reports versions {versions} of the configuration")
def step_versions(context, versions):
    """Version 8 was written at revision 21, the others at later ones."""
    events = []
    for revision, version in enumerate(versions.split(", "), 22):
        number = None if version == "invalid" else int(version)
        document = CONFIGURATION | {"version": number}
        written = 21 if number == 8 else revision
        events.append(item("op/config", document, written))
    context.listing = decode_changes(changes(events))


@then("the newest valid version is {version:d}, written at revision {revision:d}")
def step_newest(context, version, revision):
    """The watch goes on after all of them."""
    listing = context.listing
    assert listing.configuration.version == version, listing.configuration
    assert listing.configuration_revision == revision, listing
    assert listing.newest >= revision, listing


@when("a page holds {key} with the value {value}")
def step_evacuation(context, key, value):
    """Values are documents, or no base64."""
    written = item(key, {}) | ({"value": "%%%"} if value == "%%" else {})
    if value == "7":
        written = item(key, 7)
    context.listing = decode_page(page([written, item("op/config", CONFIGURATION)]))


@then("it empties {name}, with {faults:d} faults")
def step_emptied(context, name, faults):
    """The rest of the page is taken over."""
    listing = context.listing
    names = [change.data_centre for change in listing.evacuations] or ["nothing"]
    assert names == [name], names
    assert len(listing.faults) == faults, listing.faults
    assert listing.configuration is not None


@when('the next page starts after "{key}"')
def step_next_page(context, key):
    """Keys are at most 200 bytes of any kind."""
    context.path = page_path("op/", key)


@then('its path ends in "{text}"')
def step_path(context, text):
    """A query can't hold all characters."""
    assert context.path.endswith(text), context.path


@when("a page indicates that there are more")
def step_more(context):
    context.listing = decode_page(page([item(KEY, ENTRY)], more=True))


@then("the next page starts after its last key")
def step_next(context):
    assert context.listing.next_key == KEY


@when("a watch reports a deletion")
def step_deletion(context):
    event = {"key": KEY, "revision": 8, "deleted": True}
    context.listing = decode_changes(changes([event]))


@then("the entry has no target")
def step_deleted(context):
    """A deletion isn't a fault."""
    assert context.listing.entries == [(KEY, None)]
    assert not context.listing.faults


@when("the body of a response is {body}")
def step_response(context, body):
    context.listing = decode_page(b"" if body == "nothing" else body.encode())


@then("the response is rejected")
def step_rejected(context):
    assert isinstance(context.listing, InvalidResponse), context.listing


@when("a response has the header {header}")
def step_header(context, header):
    """Between two other headers."""
    head = f"Content-Length: 5\r\n{header}\r\nServer: x".encode()
    context.era = decode_era(header_value(head, ERA_HEADER))


@then("it names the era {era}")
def step_era(context, era):
    assert context.era == (None if era == "none" else int(era)), context.era
