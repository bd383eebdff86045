"""Steps for packets that a balancer holds until it can serve them."""

import socket
import time

from behave import given, then, when
from fixtures import CONFIGURATION

from lagoontally_flows import SYN
from lagoontally_forwarder._clock import now_ms
from lagoontally_platform import parse_host
from lagoontally_standins.packets import encode_packet

CALLER = 0x64400007
ROUTE = CONFIGURATION["routes"][0]


@given("its port isn't open yet")
def step_closed(context):
    """As at the start, until targets are known."""
    context.process.port.is_open = False


@when("a SYN arrives, and another one {pause_ms:d} ms later")
def step_two_syns(context, pause_ms):
    """The balancer reads both when they arrive."""
    port = context.process.port
    place = (parse_host(ROUTE["host"]), int(ROUTE["prefix"].strip("/")))
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
        for number, pause_s in ((1, pause_ms / 1_000), (2, 0.0)):
            syn = encode_packet((CALLER, 40_000 + number, *place), SYN, sequence=99)
            sock.sendto(syn, context.process.settings.packet_address)
            port.read_pending()
            time.sleep(pause_s)
            context.process.balancer.ticked_ms = now_ms()


@when("the port opens")
def step_open(context):
    """Targets are known now."""
    context.before = dict(context.process.metrics.counts)
    context.process.port.open()


@then('the first SYN is dropped as "{reason}"')
def step_dropped(context, reason):
    """Its caller has sent a copy."""
    assert change(context, "dropped", reason) == 1, context.process.metrics.counts


@then("the second SYN goes to a target")
def step_placed(context):
    """It has just arrived."""
    assert change(context, "forwarded", "placed") == 1, context.process.metrics.counts


def change(context, name, reason):
    """Return by how much a counter has risen since the port was opened."""
    key = (name, reason)
    counts = context.process.metrics.counts
    return counts.get(key, 0) - context.before.get(key, 0)
