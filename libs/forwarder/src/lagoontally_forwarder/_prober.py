"""Probes that check whether a suspected target still accepts connections."""

from errno import ECONNREFUSED, ECONNRESET
from select import EPOLLIN, EPOLLOUT

from lagoontally_flows import ACCEPTED, REFUSED, SILENT, UNCLEAR

from ._loop import PROBING_TICK_MS
from ._sockets import connect, connect_error

TRY_INTERVAL_MS = 45  # answers take a few ms; retries allow for a lost packet
TRIES = 3
GIVE_UP_MS = 150
MAX_WAIT_PER_TICK_MS = 2 * PROBING_TICK_MS  # a longer gap is a delay of this process


class Prober:
    """Probes targets beside a control target.

    Args:
        loop: The ``Loop`` that watches the sockets.
        on_done: Called with a target's cookie and the result of its probe.

    Attributes:
        running: Unfinished probes by the target's cookie.
    """

    def __init__(self, loop, on_done):
        self.loop = loop
        self.on_done = on_done
        self.running = {}

    def start(self, target, control):
        """Start to connect to a target and to a control target.

        Without an answer of the control, silence says nothing about the target: the
        fault may lie with this balancer or its network.

        Args:
            target: The suspected ``Target``.
            control: A ``Target`` that should answer, None if there is none.
        """
        if target.cookie not in self.running:
            probe = _Probe(self, target, control)
            self.running[target.cookie] = probe
            probe.open_connections()

    def on_tick(self, now_ms):
        """Retry or end the probes that had no answer yet."""
        for probe in list(self.running.values()):
            probe.on_tick(now_ms)

    def finish(self, probe, evidence):
        """End a probe and report its result."""
        del self.running[probe.target.cookie]
        probe.close()
        self.on_done(probe.target.cookie, evidence)


class _Probe:
    """The probe of one target.

    Attributes:
        control_answered: Whether the control has answered, or there is none.
        elapsed_ms: Time in which an answer would have been noticed. Time in which
            this process didn't run isn't counted: an unread answer may be waiting.
    """

    __slots__ = (
        "prober",
        "target",
        "control",
        "control_answered",
        "elapsed_ms",
        "last_tick_ms",
        "tries",
        "socks",
    )

    def __init__(self, prober, target, control):
        self.prober = prober
        self.target = target
        self.control = control
        self.control_answered = control is None
        self.elapsed_ms = 0
        self.last_tick_ms = prober.loop.clock()
        self.tries = 0
        self.socks = []

    def open_connections(self):
        """Open another connection to the target, and to the control if needed."""
        self.tries += 1
        self._connect(self.target, self._on_answer)
        if not self.control_answered:
            self._connect(self.control, self._on_control_answer)

    def on_tick(self, now_ms):
        """Open more connections or give up when it is time to."""
        self.elapsed_ms += min(now_ms - self.last_tick_ms, MAX_WAIT_PER_TICK_MS)
        self.last_tick_ms = now_ms
        if self.elapsed_ms >= GIVE_UP_MS:
            evidence = SILENT if self.control_answered else UNCLEAR
            self.prober.finish(self, evidence)
        elif self.tries < TRIES and self.elapsed_ms >= self.tries * TRY_INTERVAL_MS:
            self.open_connections()

    def close(self):
        """Close every connection."""
        for sock in self.socks:
            self.prober.loop.unwatch(sock)
            sock.close()

    def _connect(self, target, on_event):
        try:
            sock = connect(target.address)
        except OSError:
            return  # nothing can be sent, which counts as silence
        self.socks.append(sock)
        self.prober.loop.watch(sock, lambda _events: on_event(sock), EPOLLIN | EPOLLOUT)

    def _on_answer(self, sock):
        error = connect_error(sock)
        if not error:
            self.prober.finish(self, ACCEPTED)
        elif error in (ECONNREFUSED, ECONNRESET):
            self.prober.finish(self, REFUSED)
        else:
            self.prober.loop.unwatch(sock)  # unreachable, which counts as silence

    def _on_control_answer(self, sock):
        # A refusal also shows that the network works.
        if connect_error(sock) in (0, ECONNREFUSED, ECONNRESET):
            self.control_answered = True
        self.prober.loop.unwatch(sock)
