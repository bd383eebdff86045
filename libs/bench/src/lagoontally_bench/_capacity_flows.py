"""What a balancer costs by the flows that it holds."""

import gc
from typing import NamedTuple

import aiocoap

from lagoontally_core import (
    AnswerCaller,
    SendUpstream,
    Tick,
)

from ._capacity_clock import Clock, resident_bytes
from ._core_driver import (
    TICK_MS,
    CoreDriver,
    first_of,
    reply_datagram,
    request_datagram,
)

BATCH = 1_000
FILL_SPREAD_MS = 15_000
FILL_STEP_MS = 50


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
            last_received_ms = FILL_SPREAD_MS if notified else -FILL_SPREAD_MS
            line.last_received_ms = driver.now_ms + last_received_ms
        for _ in range(FILL_SPREAD_MS // TICK_MS):
            self.pass_time(TICK_MS, clock)
        return clock.us(FILL_SPREAD_MS // 1_000)
