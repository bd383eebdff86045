"""Trials of targets: does one still take connections?"""

from errno import ECONNREFUSED, ECONNRESET
from select import EPOLLIN, EPOLLOUT

from lagoontally_flows import ACCEPTED, REFUSED, SILENT, UNCLEAR

from ._loop import BUSY_TICK_MS
from ._sockets import connect, connect_error

TRY_INTERVAL_MS = 45  # a lost packet shouldn't decide; answers take a few ms
TRIES = 3
GIVE_UP_MS = 150
MOST_WAIT_A_TICK_MS = 2 * BUSY_TICK_MS  # a longer one is this process's own delay


class Trials:
    """Runs trials.

    Args:
        loop: The ``Loop`` that serves the sockets.
        done: Called with a cookie and how its trial ended; see ``Health.on_trial``.
    """

    def __init__(self, loop, done):
        self.loop = loop
        self.done = done
        self.running = {}

    def start(self, target, control):
        """Try connections to a target and to one that should answer.

        Args:
            target: The doubtful ``Target``.
            control: The other ``Target``, None where there is none.
        """
        if target.cookie not in self.running:
            trial = _Trial(self, target, control)
            self.running[target.cookie] = trial
            trial.try_again()

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
    """One trial.

    Attributes:
        control_answered: Whether the other target has answered.
        waited_ms: How long an answer could have been noticed. Time in which this
            process didn't run isn't counted: the answer may lie in the socket.
    """

    __slots__ = (
        "trials",
        "target",
        "control",
        "control_answered",
        "waited_ms",
        "ticked_ms",
        "tries",
        "socks",
    )

    def __init__(self, trials, target, control):
        self.trials = trials
        self.target = target
        self.control = control
        self.control_answered = control is None
        self.waited_ms = 0
        self.ticked_ms = trials.loop.clock()
        self.tries = 0
        self.socks = []

    def try_again(self):
        """Open another connection to each target that hasn't answered."""
        self.tries += 1
        self._connect(self.target, self._on_answer)
        if not self.control_answered:
            self._connect(self.control, self._on_control)

    def on_tick(self, now_ms):
        """Try again or give up."""
        self.waited_ms += min(now_ms - self.ticked_ms, MOST_WAIT_A_TICK_MS)
        self.ticked_ms = now_ms
        if self.waited_ms >= GIVE_UP_MS:
            evidence = SILENT if self.control_answered else UNCLEAR
            self.trials.finish(self, evidence)
        elif self.tries < TRIES and self.waited_ms >= self.tries * TRY_INTERVAL_MS:
            self.try_again()

    def close(self):
        """Close every connection."""
        for sock in self.socks:
            self.trials.loop.unwatch(sock)
            sock.close()

    def _connect(self, target, on_event):
        try:
            sock = connect(target.address)
        except OSError:
            return  # no way to send at all, which counts as silence
        self.socks.append(sock)
        self.trials.loop.watch(sock, lambda _events: on_event(sock), EPOLLIN | EPOLLOUT)

    def _on_answer(self, sock):
        error = connect_error(sock)
        if not error:
            self.trials.finish(self, ACCEPTED)
        elif error in (ECONNREFUSED, ECONNRESET):
            self.trials.finish(self, REFUSED)
        else:
            self.trials.loop.unwatch(sock)  # unreachable: silence, but sooner

    def _on_control(self, sock):
        # A refusal shows too that packets come back.
        if connect_error(sock) in (0, ECONNREFUSED, ECONNRESET):
            self.control_answered = True
        self.trials.loop.unwatch(sock)
