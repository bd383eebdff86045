"""Measures a balancer's cost by the number of members of its workspace."""

from typing import NamedTuple

import aiocoap

from lagoontally_core import (
    CallerRequest,
    Flow,
    Ping,
    PingAck,
    Relay,
    Request,
    RequestKind,
    SendPeer,
    Welcome,
)
from lagoontally_edges import decode_peer, encode_peer

from ._capacity_flows import FlowLoad
from ._capacity_process import CpuTimer
from ._core_driver import (
    SERVICE,
    TICK_MS,
    CoreDriver,
    first_of,
    member_record,
)

BATCH = 1_000


class MemberCost(NamedTuple):
    """Costs of membership.

    Attributes:
        members: Number of other balancers.
        second_us: CPU time per second of ticks and probes, including the codec.
        quiet_bytes: Bytes sent per second without member updates.
        news_bytes: Bytes sent per second with as many member updates as fit.
        welcome_bytes: Size of the ``Welcome`` to a joining balancer.
        relay_us: CPU time to relay a request, at both balancers together.
    """

    members: int
    second_us: float
    quiet_bytes: float
    news_bytes: float
    welcome_bytes: int
    relay_us: float


def measure_members(members):
    """Measure the cost of this many members."""
    driver = CoreDriver(members=members)
    quiet = [0]
    timer = CpuTimer()
    seconds = 60
    for second in range(seconds):
        _membership_second(driver, second % members, timer, quiet)
    updates = [member_record(number) for number in range(6)]
    full = Ping(1, member_record(0), updates, [])
    record = member_record(0)
    members_known = [member_record(number) for number in range(members)]
    welcome = len(encode_peer(1, Welcome(record, members_known, [])))
    return MemberCost(
        members=members,
        second_us=timer.mean_us(seconds),
        quiet_bytes=round(quiet[0] / seconds, 1),
        news_bytes=2 * len(encode_peer(1, full)),
        welcome_bytes=welcome,
        relay_us=_relay_us(driver),
    )


def _membership_second(driver, peer, timer, sent_bytes):
    """Run ticks for a second, answer the probes and handle one from a peer."""
    record = member_record(peer)
    ping = encode_peer(record.incarnation, Ping(7, record, [], []))
    for _ in range(1_000 // TICK_MS):
        with timer:
            actions = driver.advance(TICK_MS)
            probes = [item for item in actions if isinstance(item, SendPeer)]
            encoded = [encode_peer(1, item.message) for item in probes]
        sent_bytes[0] += sum(map(len, encoded))
        for probe in probes:
            _answer_probe(driver, probe.message, timer)
    with timer:
        actions = driver.step(decode_peer(ping))
        encoded = encode_peer(1, first_of(actions, SendPeer).message)
    sent_bytes[0] += len(encoded)


def _answer_probe(driver, message, timer):
    if not isinstance(message, Ping):
        return
    probe = driver.state.membership.probes.get(message.number)
    if probe is None:
        return
    record = driver.state.membership.records[probe.subject]
    ack = PingAck(message.number, record.incarnation, record, [], [])
    data = encode_peer(record.incarnation, ack)
    with timer:
        driver.step(decode_peer(data))


def _relay_us(driver):
    flow_load = FlowLoad(driver)
    own = driver.state.info.incarnation
    bodies = [flow_load.start_flow(aiocoap.POST) for _ in range(BATCH)]
    timer = CpuTimer()
    for number, body in enumerate(bodies):
        echo = body  # Only its size matters to the codec.
        request = Request(
            RequestKind.COMMAND, b"1234", number, True, echo[:40], 9_000, body
        )
        relay = Relay(
            own, driver.state.pause_count, Flow(SERVICE, "10.0.0.1:5"), request
        )
        with timer:
            driver.step(decode_peer(encode_peer(2, relay)))
            driver.step(CallerRequest(relay.flow, request))
    return timer.mean_us(BATCH)
