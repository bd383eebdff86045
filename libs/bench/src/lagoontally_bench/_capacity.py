"""Slopes of a balancer's cost: processor time, memory and bytes."""

import gc
import os
import time
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path
from typing import NamedTuple

import aiocoap
import numpy as np

from lagoontally_core import (
    AnswerCaller,
    CallerRequest,
    Flow,
    Ping,
    PingAck,
    Relay,
    Request,
    RequestKind,
    SendPeer,
    SendUpstream,
    Tick,
    Welcome,
)
from lagoontally_edges import decode_peer, encode_peer
from lagoontally_model import (
    document_digest,
    join_sections,
    parse_template,
    split_sections,
)

from ._core_driver import (
    SERVICE,
    TICK_MS,
    CoreDriver,
    first_of,
    make_document,
    member_record,
    reply_datagram,
    request_datagram,
)

LINE_SIZES = (10_000, 100_000, 300_000)
QUICK_LINE_SIZES = (2_000, 4_000, 8_000)
MEMBER_SIZES = (58, 230, 460)
TARGET_SIZES = (25, 250, 2_500)
TEMPLATE_SERVICES = 25
BATCH = 1_000
FILL_SPREAD_MS = 15_000
FILL_STEP_MS = 50
WORKERS = 2
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
US = 1_000_000


class FlowCost(NamedTuple):
    """Costs of one process that holds this many flows; times with the codec.

    Attributes:
        flows: Open lines, and as many remembered requests in the second run.
        echo_us: A new flow's first request, answered with an Echo.
        open_us: Opening a line, with the target's answer.
        command_us: A command with its Echo, with the target's answer.
        read_us: An idempotent request, with the target's answer.
        notify_us: A notification of a line, without the encoding.
        tick_us: A tick while the lines are notified and nothing is due.
        upkeep_us: Processor time a second for the timers of notified lines.
        refresh_us: The same when no line is notified, so that each is refreshed.
        line_bytes: Memory of a line.
        remembered_bytes: Memory of a remembered request.
    """

    flows: int
    echo_us: float
    open_us: float
    command_us: float
    read_us: float
    notify_us: float
    tick_us: float
    upkeep_us: float
    refresh_us: float
    line_bytes: float
    remembered_bytes: float


class MemberCost(NamedTuple):
    """Costs of membership.

    Attributes:
        members: Other balancers.
        second_us: Processor time a second of ticks and probes, codec included.
        quiet_bytes: Bytes sent a second without news.
        news_bytes: Bytes sent a second with as much news as fits.
        welcome_bytes: Size of what a newcomer is told.
        relay_us: Relaying a request, at both balancers together.
    """

    members: int
    second_us: float
    quiet_bytes: float
    news_bytes: float
    welcome_bytes: int
    relay_us: float


class TemplateCost(NamedTuple):
    """Costs of a template.

    Attributes:
        targets: Targets in it.
        document_bytes: Its size.
        section_bytes: Size of its largest section: what peers send for a change.
        adopt_us: Validating it and putting it in force.
    """

    targets: int
    document_bytes: int
    section_bytes: int
    adopt_us: float


def measure(*, quick=False):
    """Return every measure, each size in a process of its own."""
    sizes = QUICK_LINE_SIZES if quick else LINE_SIZES
    with ProcessPoolExecutor(WORKERS, max_tasks_per_child=1) as executor:
        flows = executor.map(measure_flows, sizes)
        members = executor.map(measure_members, MEMBER_SIZES)
        templates = executor.map(measure_template, TARGET_SIZES)
        return {
            "flows": [item._asdict() for item in flows],
            "members": [item._asdict() for item in members],
            "templates": [item._asdict() for item in templates],
        }


def slope(rows, size, measure_name):
    """Return the least-squares slope and the start of a measure over a size."""
    xs = [row[size] for row in rows]
    ys = [row[measure_name] for row in rows]
    rise, start = np.polyfit(xs, ys, 1)
    return float(rise), float(start)


def resident_bytes():
    """Return the resident memory of this process."""
    fields = Path("/proc/self/statm").read_text().split()
    return int(fields[1]) * PAGE_BYTES


class Clock:
    """Adds up processor time."""

    def __init__(self):
        self.seconds = 0.0
        self.started = 0.0

    def __enter__(self):
        self.started = time.process_time()
        return self

    def __exit__(self, *_):
        self.seconds += time.process_time() - self.started

    def us(self, times):
        """Return the microseconds of each of this many times."""
        return round(self.seconds * US / times, 1)


def measure_flows(flows):
    """Measure a process that holds this many lines."""
    driver = CoreDriver()
    gc.collect()
    before = resident_bytes()
    filler = Filler(driver)
    filler.open_lines(flows - BATCH)
    echo, opened = Clock(), Clock()
    filler.open_lines(BATCH, echo=echo, opened=opened)
    gc.collect()
    line_bytes = (resident_bytes() - before) / flows
    read, command = Clock(), Clock()
    filler.read(BATCH, read)
    notify_us = filler.notify(BATCH)
    tick_us = filler.quiet_tick()
    upkeep_us = filler.upkeep(notified=True)
    refresh_us = filler.upkeep(notified=False)
    gc.collect()
    before = resident_bytes()
    filler.run_commands(flows // 4, Clock())
    gc.collect()
    remembered_bytes = (resident_bytes() - before) / (flows // 4)
    filler.run_commands(BATCH, command)
    return FlowCost(
        flows=flows,
        echo_us=echo.us(BATCH),
        open_us=opened.us(BATCH),
        command_us=command.us(BATCH),
        read_us=read.us(BATCH),
        notify_us=notify_us,
        tick_us=tick_us,
        upkeep_us=upkeep_us,
        refresh_us=refresh_us,
        line_bytes=round(line_bytes),
        remembered_bytes=round(remembered_bytes),
    )


class Filler:
    """Opens lines and runs commands at a core.

    Attributes:
        driver: The core.
        number: Number of the latest flow.
    """

    def __init__(self, driver):
        self.driver = driver
        self.number = 0

    def caller(self):
        """Return the address of the latest flow."""
        high, low = divmod(self.number, 50_000)
        return f"10.{high % 250}.{low // 250}.{low % 250}:{5_000 + high}"

    def begin(self, code, *, observe=None, clock=None):
        """Send a new flow's first request; return the next one, with its Echo."""
        self.number += 1
        first = request_datagram(code, self.number, observe=observe)
        with clock or Clock():
            actions = self.driver.take(self.caller(), first)
            self.driver.encode(actions)
        echo = first_of(actions, AnswerCaller).echo
        return request_datagram(code, self.number, echo=echo, observe=observe)

    def open_lines(self, count, *, echo=None, opened=None):
        """Open lines, spread over a refresh interval."""
        each = max(1, count * FILL_STEP_MS // FILL_SPREAD_MS)
        if opened is not None:
            each = count
        opened = opened or Clock()
        for position in range(count):
            if position % each == 0:
                self.pass_time(FILL_STEP_MS, Clock())
            datagram = self.begin(aiocoap.GET, observe=0, clock=echo)
            with opened:
                actions = self.driver.take(self.caller(), datagram)
                self.driver.encode(actions)
            self.answer(actions, opened, observe=1)

    def run_commands(self, count, clock):
        """Run commands, each in a flow of its own."""
        for _ in range(count):
            datagram = self.begin(aiocoap.POST)
            with clock:
                actions = self.driver.take(self.caller(), datagram)
                self.driver.encode(actions)
            self.answer(actions, clock)

    def read(self, count, clock):
        """Send idempotent requests."""
        for _ in range(count):
            self.number += 1
            datagram = request_datagram(aiocoap.GET, self.number)
            with clock:
                actions = self.driver.take(self.caller(), datagram)
                self.driver.encode(actions)
            self.answer(actions, clock)

    def answer(self, actions, clock, *, observe=None):
        """Let the target answer."""
        sent = first_of(actions, SendUpstream)
        datagram = reply_datagram(sent.token, self.number, observe=observe)
        with clock:
            self.driver.encode(self.driver.reply(sent.target, datagram))

    def notify(self, count):
        """Let targets notify some lines."""
        lines = list(self.driver.state.lines.values())[:count]
        datagrams = [
            (line.target, reply_datagram(line.upstream_token, 1, observe=2))
            for line in lines
        ]
        clock = Clock()
        with clock:
            for target, datagram in datagrams:
                self.driver.reply(target, datagram)
        return clock.us(count)

    def quiet_tick(self):
        """Return the least time of a tick."""
        times = []
        for _ in range(BATCH):
            clock = Clock()
            with clock:
                self.driver.step(Tick())
            times.append(clock.us(1))
        return min(times)

    def pass_time(self, duration_ms, clock):
        """Let time pass; the targets answer the registrations that are due."""
        with clock:
            actions = self.driver.pass_time(duration_ms)
            self.driver.encode(actions)
        for sent in actions:
            if not isinstance(sent, SendUpstream):
                continue
            datagram = reply_datagram(sent.token, 1, observe=1)
            with clock:
                self.driver.reply(sent.target, datagram)

    def upkeep(self, *, notified):
        """Return the processor time a second of the lines' timers."""
        clock = Clock()
        driver = self.driver
        for line in driver.state.lines.values():
            line.lease_until_ms = driver.now_ms + 10 * FILL_SPREAD_MS
            heard_ms = FILL_SPREAD_MS if notified else -FILL_SPREAD_MS
            line.heard_ms = driver.now_ms + heard_ms
        for _ in range(FILL_SPREAD_MS // TICK_MS):
            self.pass_time(TICK_MS, clock)
        return clock.us(FILL_SPREAD_MS // 1_000)


def measure_members(members):
    """Measure the upkeep of this many members."""
    driver = CoreDriver(members=members)
    quiet = [0]
    clock = Clock()
    seconds = 60
    for second in range(seconds):
        _membership_second(driver, second % members, clock, quiet)
    news = [member_record(number) for number in range(6)]
    full = Ping(1, member_record(0), news, [])
    record = member_record(0)
    members_known = [member_record(number) for number in range(members)]
    welcome = len(encode_peer(1, Welcome(record, members_known, [])))
    return MemberCost(
        members=members,
        second_us=clock.us(seconds),
        quiet_bytes=round(quiet[0] / seconds, 1),
        news_bytes=2 * len(encode_peer(1, full)),
        welcome_bytes=welcome,
        relay_us=_relay_us(driver),
    )


def _membership_second(driver, peer, clock, sent_bytes):
    """Tick for a second, answer the probes and take one from a peer."""
    record = member_record(peer)
    ping = encode_peer(record.incarnation, Ping(7, record, [], []))
    for _ in range(1_000 // TICK_MS):
        with clock:
            actions = driver.pass_time(TICK_MS)
            probes = [item for item in actions if isinstance(item, SendPeer)]
            encoded = [encode_peer(1, item.message) for item in probes]
        sent_bytes[0] += sum(map(len, encoded))
        for probe in probes:
            _answer_probe(driver, probe.message, clock)
    with clock:
        actions = driver.step(decode_peer(ping))
        encoded = encode_peer(1, first_of(actions, SendPeer).message)
    sent_bytes[0] += len(encoded)


def _answer_probe(driver, message, clock):
    if not isinstance(message, Ping):
        return
    probe = driver.state.membership.probes.get(message.number)
    if probe is None:
        return
    record = driver.state.membership.records[probe.subject]
    ack = PingAck(message.number, record.incarnation, record, [], [])
    data = encode_peer(record.incarnation, ack)
    with clock:
        driver.step(decode_peer(data))


def _relay_us(driver):
    filler = Filler(driver)
    own = driver.state.info.incarnation
    bodies = [filler.begin(aiocoap.POST) for _ in range(BATCH)]
    clock = Clock()
    for number, body in enumerate(bodies):
        echo = body  # Only the size matters to the codec.
        request = Request(
            RequestKind.COMMAND, b"1234", number, True, echo[:40], 9_000, body
        )
        relay = Relay(own, driver.state.wake, Flow(SERVICE, "10.0.0.1:5"), request)
        with clock:
            driver.step(decode_peer(encode_peer(2, relay)))
            driver.step(CallerRequest(relay.flow, request))
    return clock.us(BATCH)


def measure_template(targets):
    """Measure a template with this many targets."""
    services = min(TEMPLATE_SERVICES, targets)
    document = make_document(targets, services=services)
    sections = split_sections(document)
    largest = max(sections.values(), key=len)
    clock = Clock()
    times = 5
    for _ in range(times):
        with clock:
            parse_template(document)
            document_digest(document)
            join_sections(split_sections(document))
    return TemplateCost(targets, len(document), len(largest), clock.us(times))
