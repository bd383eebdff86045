"""Measures a balancer's cost by its number of flows."""

import gc
from typing import NamedTuple

import aiocoap

from lagoontally_core import (
    AnswerCaller,
    SendUpstream,
    Tick,
)

from ._capacity_process import CpuTimer, resident_bytes
from ._core_driver import (
    TICK_MS,
    CoreDriver,
    first_of,
    reply_datagram,
    request_datagram,
)

BATCH = 1_000
REFRESH_INTERVAL_MS = 15_000
STEP_MS = 50


class FlowCost(NamedTuple):
    """Costs of one process with this many flows; times include the codec.

    Attributes:
        flows: Number of open lines; a quarter as many requests are remembered.
        echo_us: A new flow's first request, answered with an Echo.
        open_us: Opening a line, with the target's answer.
        command_us: A command with its Echo, with the target's answer.
        read_us: An idempotent request, with the target's answer.
        notify_us: A notification of a line, without the encoding.
        tick_us: A tick while the lines are notified and nothing is due.
        upkeep_us: CPU time per second for the timers of notified lines.
        refresh_us: The same if no line is notified, so that each is refreshed.
        line_bytes: Memory per line.
        remembered_bytes: Memory per remembered request.
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
    """Measure a process with this many lines."""
    driver = CoreDriver()
    gc.collect()
    before = resident_bytes()
    flow_load = FlowLoad(driver)
    flow_load.open_lines(flows - BATCH)
    echo, opened = CpuTimer(), CpuTimer()
    flow_load.open_lines(BATCH, echo=echo, opened=opened)
    gc.collect()
    line_bytes = (resident_bytes() - before) / flows
    read, command = CpuTimer(), CpuTimer()
    flow_load.read(BATCH, read)
    notify_us = flow_load.notify(BATCH)
    tick_us = flow_load.fastest_tick_us()
    upkeep_us = flow_load.maintenance_us(notified=True)
    refresh_us = flow_load.maintenance_us(notified=False)
    gc.collect()
    before = resident_bytes()
    flow_load.run_commands(flows // 4, CpuTimer())
    gc.collect()
    remembered_bytes = (resident_bytes() - before) / (flows // 4)
    flow_load.run_commands(BATCH, command)
    return FlowCost(
        flows=flows,
        echo_us=echo.mean_us(BATCH),
        open_us=opened.mean_us(BATCH),
        command_us=command.mean_us(BATCH),
        read_us=read.mean_us(BATCH),
        notify_us=notify_us,
        tick_us=tick_us,
        upkeep_us=upkeep_us,
        refresh_us=refresh_us,
        line_bytes=round(line_bytes),
        remembered_bytes=round(remembered_bytes),
    )


class FlowLoad:
    """Generates load on a core: lines, commands and reads.

    Attributes:
        driver: The ``CoreDriver``.
        number: Number of the latest flow.
    """

    def __init__(self, driver):
        self.driver = driver
        self.number = 0

    def caller(self):
        """Return the address of the latest flow."""
        high, low = divmod(self.number, 50_000)
        return f"10.{high % 250}.{low // 250}.{low % 250}:{5_000 + high}"

    def start_flow(self, code, *, observe=None, timer=None):
        """Send a new flow's first request; return the next one with the Echo."""
        self.number += 1
        first = request_datagram(code, self.number, observe=observe)
        with timer or CpuTimer():
            actions = self.driver.receive(self.caller(), first)
            self.driver.encode(actions)
        echo = first_of(actions, AnswerCaller).echo
        return request_datagram(code, self.number, echo=echo, observe=observe)

    def open_lines(self, count, *, echo=None, opened=None):
        """Open lines, spread over a refresh interval unless ``opened`` is given."""
        lines_per_step = max(1, count * STEP_MS // REFRESH_INTERVAL_MS)
        if opened is not None:
            lines_per_step = count
        opened = opened or CpuTimer()
        for position in range(count):
            if position % lines_per_step == 0:
                self.advance(STEP_MS, CpuTimer())
            datagram = self.start_flow(aiocoap.GET, observe=0, timer=echo)
            with opened:
                actions = self.driver.receive(self.caller(), datagram)
                self.driver.encode(actions)
            self.answer(actions, opened, observe=1)

    def run_commands(self, count, timer):
        """Run commands, each in its own flow."""
        for _ in range(count):
            datagram = self.start_flow(aiocoap.POST)
            with timer:
                actions = self.driver.receive(self.caller(), datagram)
                self.driver.encode(actions)
            self.answer(actions, timer)

    def read(self, count, timer):
        """Send idempotent requests."""
        for _ in range(count):
            self.number += 1
            datagram = request_datagram(aiocoap.GET, self.number)
            with timer:
                actions = self.driver.receive(self.caller(), datagram)
                self.driver.encode(actions)
            self.answer(actions, timer)

    def answer(self, actions, timer, *, observe=None):
        """Pass the target's answer to the core."""
        sent = first_of(actions, SendUpstream)
        datagram = reply_datagram(sent.token, self.number, observe=observe)
        with timer:
            self.driver.encode(self.driver.reply(sent.target, datagram))

    def notify(self, count):
        """Notify some lines from their targets; return the mean time."""
        lines = list(self.driver.state.lines.values())[:count]
        datagrams = [
            (line.target, reply_datagram(line.upstream_token, 1, observe=2))
            for line in lines
        ]
        timer = CpuTimer()
        with timer:
            for target, datagram in datagrams:
                self.driver.reply(target, datagram)
        return timer.mean_us(count)

    def fastest_tick_us(self):
        """Return the shortest time of a tick."""
        times = []
        for _ in range(BATCH):
            timer = CpuTimer()
            with timer:
                self.driver.step(Tick())
            times.append(timer.mean_us(1))
        return min(times)

    def advance(self, duration_ms, timer):
        """Advance the clock and answer the registrations that are due."""
        with timer:
            actions = self.driver.advance(duration_ms)
            self.driver.encode(actions)
        for sent in actions:
            if not isinstance(sent, SendUpstream):
                continue
            datagram = reply_datagram(sent.token, 1, observe=1)
            with timer:
                self.driver.reply(sent.target, datagram)

    def maintenance_us(self, *, notified):
        """Return the CPU time per second of the lines' timers."""
        timer = CpuTimer()
        driver = self.driver
        for line in driver.state.lines.values():
            line.lease_until_ms = driver.now_ms + 10 * REFRESH_INTERVAL_MS
            last_received_ms = REFRESH_INTERVAL_MS if notified else -REFRESH_INTERVAL_MS
            line.last_received_ms = driver.now_ms + last_received_ms
        for _ in range(REFRESH_INTERVAL_MS // TICK_MS):
            self.advance(TICK_MS, timer)
        return timer.mean_us(REFRESH_INTERVAL_MS // 1_000)
