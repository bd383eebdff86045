"""Trials of targets: does one still take connections?"""

from errno import ECONNREFUSED, ECONNRESET
from select import EPOLLIN, EPOLLOUT

from ._sockets import connect, connect_error

SECOND_TRY_MS = 60  # a lost packet shouldn't decide; answers take a few ms
GIVE_UP_MS = 140


class Trials:
    """Runs trials.

    Args:
        loop: The ``Loop`` that serves the sockets.
        done: Called with a cookie and ``accepted``, ``refused`` or ``silent``.
    """

    def __init__(self, loop, done):
        self.loop = loop
        self.done = done
        self.running = {}

    def start(self, target):
        """Try a connection to a target, unless a trial of it is running."""
        if target.cookie in self.running:
            return
        trial = _Trial(self, target, self.loop.clock())
        self.running[target.cookie] = trial
        trial.connect()

    def on_tick(self, now_ms):
        """Let trials go on that had no answer yet."""
        for trial in list(self.running.values()):
            trial.on_tick(now_ms)

    def finish(self, trial, evidence):
        """End a trial."""
        del self.running[trial.target.cookie]
        trial.close()
        self.done(trial.target.cookie, evidence)


class _Trial:
    __slots__ = ("trials", "target", "started_ms", "socks")

    def __init__(self, trials, target, started_ms):
        self.trials = trials
        self.target = target
        self.started_ms = started_ms
        self.socks = []

    def connect(self):
        try:
            sock = connect(self.target.address)
        except OSError:
            return  # no way to send at all; the trial ends as silent
        self.socks.append(sock)
        self.trials.loop.watch(
            sock, lambda _events: self.on_event(sock), EPOLLIN | EPOLLOUT
        )

    def on_event(self, sock):
        error = connect_error(sock)
        if not error:
            self.trials.finish(self, "accepted")
        elif error in (ECONNREFUSED, ECONNRESET):
            self.trials.finish(self, "refused")
        else:
            self.trials.loop.unwatch(sock)  # unreachable: silence, but sooner

    def on_tick(self, now_ms):
        waited_ms = now_ms - self.started_ms
        if waited_ms >= GIVE_UP_MS:
            self.trials.finish(self, "silent")
        elif waited_ms >= SECOND_TRY_MS and len(self.socks) < 2:
            self.connect()

    def close(self):
        for sock in self.socks:
            self.trials.loop.unwatch(sock)
            sock.close()
