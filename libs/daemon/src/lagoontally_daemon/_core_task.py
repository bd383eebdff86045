"""The task that owns the core's state and takes its decisions."""

import time
from queue import Empty, SimpleQueue
from threading import Event

from lagoontally_core import (
    TICK_MS,
    CallerRequest,
    LeaveRequested,
    Received,
    Tick,
    step,
)
from lagoontally_edges import monotonic_ms

MS_PER_S = 1_000


class CoreTask:
    """Feeds events to the core and performs its actions.

    Args:
        state: The core's state; no other task touches it.
        random: Source of random numbers for the core.
        perform: Called with each action and the time of its step.

    Attributes:
        inbox: Events of the edges but requests, in order of arrival.
        requests: Callers' requests, in order of arrival.
        arrived: Set when something was queued.
        ticked_ms: When the core was last told the time.
    """

    def __init__(self, *, state, random, execute):
        self.state = state
        self.random = random
        self.execute = execute
        self.inbox = SimpleQueue()
        self.requests = SimpleQueue()
        self.event_queued = Event()
        self.last_tick_ms = 0

    def post(self, event):
        """Queue an event; it is void if the process pauses before its turn."""
        received = Received(monotonic_ms(), event)
        queue = self.requests if isinstance(event, CallerRequest) else self.inbox
        queue.put(received)
        self.event_queued.set()

    def request_leave(self):
        """Ask the balancer to leave; a pause doesn't void this."""
        self.inbox.put(LeaveRequested())
        self.event_queued.set()

    def run(self, stop):
        """Take decisions until ``stop`` is set."""
        while not stop.is_set():
            event = self._next_event()
            if event is not None:
                self._handle(event)
            if monotonic_ms() - self.last_tick_ms >= self._tick_interval_ms():
                self.last_tick_ms = monotonic_ms()
                self._handle(Tick())

    def _next_event(self):
        event = self._poll_queues()
        wait_ms = self.last_tick_ms + self._tick_interval_ms() - monotonic_ms()
        if event is not None or wait_ms <= 0:
            return event
        self.event_queued.wait(wait_ms / MS_PER_S)
        self.event_queued.clear()
        return self._poll_queues()

    def _poll_queues(self):
        """Return what waits, callers' requests last.

        Targets' answers end work under way. Behind a flood of requests they
        would hold slots, and operators would get no answer.
        """
        for queue in (self.inbox, self.requests):
            try:
                return queue.get_nowait()
            except Empty:
                continue
        return None

    def _tick_interval_ms(self):
        due_ms = self.state.timers.next_due_ms()
        if due_ms is None:
            return TICK_MS
        return max(1, min(TICK_MS, due_ms - self.last_tick_ms))

    def _handle(self, event):
        now_ms = monotonic_ms()
        for action in step(self.state, event, now_ms, self.random):
            self.execute(action, now_ms)


def wall_offset_ms():
    """Return the wall clock minus the monotonic clock, in milliseconds."""
    return int(time.time() * MS_PER_S) - monotonic_ms()
