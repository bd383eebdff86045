"""Keeps an unexpected error in one part of the process from ending all of it.

Load: an input that no check foresaw reaches all balancers at about the same time,
for instance as an entry of the store; if it ended each, a data centre had none.
"""

MAX_FAILING_MS = 2_000  # of ticks; a fresh start takes some 20 ms
LOG_INTERVAL_MS = 1_000  # between lines about errors in one part
MAX_TEXT = 200


class Guard:
    """Runs parts of the process, and counts and logs their unexpected errors.

    Args:
        clock: Function that returns milliseconds.
        log: The ``Log``.
        metrics: The ``Metrics``.
    """

    def __init__(self, *, clock, log, metrics):
        self.clock = clock
        self.log = log
        self.metrics = metrics
        self._logged_ms = {}
        self._failing_since_ms = None

    def run(self, part, function, *arguments):
        """Call a function and report its error, if any.

        Args:
            part: What it does, for the log and the metrics.
            function: The function.
            *arguments: Its arguments.

        Returns:
            True if it raised no error.
        """
        try:
            function(*arguments)
        except Exception as error:
            self._report(part, error)
            return False
        return True

    def run_essential(self, part, function, *arguments):
        """Do the same for a part without which the process is of no use.

        Raises:
            RuntimeError: It has failed for ``MAX_FAILING_MS``; the platform starts a
                process that ended again.
        """
        if self.run(part, function, *arguments):
            self._failing_since_ms = None
            return
        now_ms = self.clock()
        if self._failing_since_ms is None:
            self._failing_since_ms = now_ms
        elif now_ms - self._failing_since_ms >= MAX_FAILING_MS:
            raise RuntimeError(f"{part} has failed for {MAX_FAILING_MS} ms")

    def _report(self, part, error):
        self.metrics.add("unexpected_errors", part)
        now_ms = self.clock()
        logged_ms = self._logged_ms.get(part)
        if logged_ms is not None and now_ms - logged_ms < LOG_INTERVAL_MS:
            return
        self._logged_ms[part] = now_ms
        self.log.line(
            "unexpected_error",
            part=part,
            error=f"{type(error).__name__}: {error}"[:MAX_TEXT],
            place=_place(error),
            count=self.metrics.counts["unexpected_errors", part],
        )


def _place(error):
    """Return the file and line that raised an error."""
    trace = error.__traceback__
    while trace.tb_next is not None:
        trace = trace.tb_next
    file = trace.tb_frame.f_code.co_filename.rpartition("/")[2]
    return f"{file}:{trace.tb_lineno}"
