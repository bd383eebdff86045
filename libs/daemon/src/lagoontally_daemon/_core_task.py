"""The task that owns the core's state and runs its steps."""

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
    """Feeds events to the core and executes the resulting actions.

    Args:
        state: The core's state; no other task accesses it.
        random: Source of random numbers for the core.
        execute: Called with each action and the time at which it was decided.

    Attributes:
        inbox: Events other than callers' requests, in order of arrival.
        requests: Callers' requests, in order of arrival.
        event_queued: Set when an event was queued.
        last_tick_ms: Time of the last ``Tick``.
        on_error: Called with an event's unexpected error; None lets it pass.
    """

    def __init__(self, *, state, random, execute):
        self.state = state
        self.random = random
        self.execute = execute
        self.inbox = SimpleQueue()
        self.requests = SimpleQueue()
        self.event_queued = Event()
        self.last_tick_ms = 0
        self.on_error = None

    def post(self, event):
        """Queue an event; the core discards it if the process pauses meanwhile."""
        received = Received(monotonic_ms(), event)
        queue = self.requests if isinstance(event, CallerRequest) else self.inbox
        queue.put(received)
        self.event_queued.set()

    def request_leave(self):
        """Queue a request to leave, which a pause doesn't invalidate."""
        self.inbox.put(LeaveRequested())
        self.event_queued.set()

    def run(self, stop):
        """Run the core until ``stop`` is set."""
        while not stop.is_set():
            event = self._next_event()
            if event is not None:
                self._handle_input(event)
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
        """Return the next queued event, callers' requests last, or None.

        Replies of targets complete requests in progress. If they queued behind a
        flood of new requests, slots would stay taken and operators' queries would
        go unanswered.
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

    def _handle_input(self, event):
        """Handle an event from outside, whose error doesn't end the task."""
        try:
            self._handle(event)
        except Exception as error:
            if self.on_error is None:
                raise
            self.on_error(error)

    def _handle(self, event):
        now_ms = monotonic_ms()
        for action in step(self.state, event, now_ms, self.random):
            self.execute(action, now_ms)


def wall_offset_ms():
    """Return the wall clock minus the monotonic clock, in milliseconds."""
    return int(time.time() * MS_PER_S) - monotonic_ms()
