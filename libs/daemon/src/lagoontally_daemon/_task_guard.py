"""Keeps an unexpected error in one task from ending the balancer.

Load: a message that no check foresaw reaches all balancers at about the same time;
if it ended each, their callers' flows and what is remembered of requests were lost.
"""

from lagoontally_core import Count, LogChange
from lagoontally_edges import log_change, monotonic_ms

MAX_FAILING_MS = 2_000  # a task that fails for so long ends the process
PAUSE_S = 0.05  # before a task that has failed goes on
STABLE_MS = 500  # a run that lasts this long has done its work
LOG_INTERVAL_MS = 1_000
MAX_TEXT = 200


class TaskGuard:
    """Runs a task again when it fails; counts and logs its errors.

    Args:
        part: Name of the task, for logs and metrics.
        task: Function that takes an event to stop and runs until that is set. It can
            be called again after an error.
        count: Called with each ``Count``.
        clock_ms: Returns the monotonic clock in milliseconds.
        log: Called with each ``LogChange``.
    """

    def __init__(self, part, task, *, count, clock_ms=monotonic_ms, log=log_change):
        self.part = part
        self.task = task
        self.count = count
        self.clock_ms = clock_ms
        self.log = log
        self.errors = 0
        self.logged_ms = None
        self.failing_since_ms = None

    def run(self, stop):
        """Run the task until ``stop`` is set.

        Raises:
            Exception: The task's error when it has only failed for
                ``MAX_FAILING_MS``: a new process may do better.
        """
        while not stop.is_set():
            started_ms = self.clock_ms()
            try:
                self.task(stop)
                return
            except Exception as error:
                self.report(error)
                if self._has_failed_for_long(started_ms):
                    raise
            stop.wait(PAUSE_S)

    def _has_failed_for_long(self, started_ms):
        now_ms = self.clock_ms()
        if self.failing_since_ms is None or now_ms - started_ms >= STABLE_MS:
            self.failing_since_ms = now_ms
        return now_ms - self.failing_since_ms >= MAX_FAILING_MS

    def report(self, error):
        """Count an error and log it, once a second at most."""
        now_ms = self.clock_ms()
        self.errors += 1
        self.count(Count(f"unexpected_errors.{self.part}"))
        if self.logged_ms is not None and now_ms - self.logged_ms < LOG_INTERVAL_MS:
            return
        self.logged_ms = now_ms
        text = f"{type(error).__name__}: {error}"[:MAX_TEXT]
        fields = {"part": self.part, "error": text, "place": _place(error)}
        self.log(
            LogChange("ERROR", "unexpected_error", fields | {"count": self.errors})
        )


def _place(error):
    """Return the file and line that raised an error."""
    trace = error.__traceback__
    while trace.tb_next is not None:
        trace = trace.tb_next
    return f"{trace.tb_frame.f_code.co_filename.rpartition('/')[2]}:{trace.tb_lineno}"
