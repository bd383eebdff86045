"""The caller: what a pivot controller or a dossier client uses."""

import random as random_module
import threading
from concurrent.futures import Future

from ._blocks import Fetch
from ._codec import POST, PUT, Request
from ._exchange import Exchange
from ._identifiers import Identifiers
from ._line import RENEW_S, SILENCE_S, LineState
from ._loop import CloseLine, Loop, OpenLine, StartCall, StopLoop

COMMAND_TIMEOUT_S = 10.0
FETCH_TIMEOUT_S = 30.0


class Line:
    """An open line: notifications of one resource until it is closed.

    Attributes:
        on_notification: Called with each ``Notification``, in order, on a thread
            of the caller's own.
        registration: Its ``LineState``, with counts of breaks and moves; owned
            by the caller's thread, so only to be read.
    """

    def __init__(self, registration, on_notification, loop):
        self.registration = registration
        self.on_notification = on_notification
        self.loop = loop

    @property
    def state(self):
        """The ``LineStatus``: open, renewing or broken."""
        return self.registration.status

    @property
    def breaks(self):
        """Intervals of more than ``silence_s`` in which nothing was heard."""
        return self.registration.breaks

    def close(self):
        """Close the line; the upstream is told."""
        self.loop.post(CloseLine(self))


class Caller:
    """Sends requests to one entry address and holds lines open.

    A request that may run only once is never sent anew by itself: only its
    datagram is repeated, which the system answers without running it again.

    Attributes:
        renew_s: Time between the renewals of a line.
        silence_s: Silence after which a line counts as broken.
    """

    def __init__(
        self,
        *,
        entry,
        local_ip=None,
        renew_s=RENEW_S,
        silence_s=SILENCE_S,
        random=None,
    ):
        """Open the caller.

        Args:
            entry: ``IP:port`` of the service's entry address.
            local_ip: Address to send from, or None for any.
            renew_s: Time between the renewals of a line.
            silence_s: Silence after which a line counts as broken.
            random: Source of tokens and jitter; None for the system's.
        """
        self.renew_s = renew_s
        self.silence_s = silence_s
        random = random or random_module.SystemRandom()
        self.identifiers = Identifiers(random=random)
        ip, _, port = entry.rpartition(":")
        self.loop = Loop(
            (ip, int(port)), local_ip=local_ip, identifiers=self.identifiers
        )
        self.thread = threading.Thread(
            target=self.loop.run, name=f"caller {entry}", daemon=True
        )
        self.thread.start()

    def __enter__(self):
        return self

    def __exit__(self, *_exception):
        self.close()

    def submit_command(self, path, payload=b"", *, timeout_s=COMMAND_TIMEOUT_S):
        """Begin a POST that runs at most once.

        Args:
            path: The resource.
            payload: The body.
            timeout_s: Time to the deadline.

        Returns:
            A future of the ``Result``.
        """
        return self._submit(Request(POST, path, payload), timeout_s, retry=False)

    def submit_store(self, path, payload, *, timeout_s=COMMAND_TIMEOUT_S, retry=True):
        """Begin a PUT, which may be repeated.

        Args:
            path: The resource.
            payload: The body.
            timeout_s: Time to the deadline.
            retry: Whether a refusal is waited out within the deadline.

        Returns:
            A future of the ``Result``.
        """
        return self._submit(Request(PUT, path, payload), timeout_s, retry=retry)

    def submit_fetch(self, path, *, timeout_s=FETCH_TIMEOUT_S, retry=True):
        """Begin a GET of a body of any number of blocks.

        Args:
            path: The resource.
            timeout_s: Time to the deadline.
            retry: Whether a refusal is waited out within the deadline.

        Returns:
            A future of the ``Result``, whose body is whole.
        """

        def build(echo_store, now_s):
            return Fetch(
                path,
                deadline_s=now_s + timeout_s,
                identifiers=self.identifiers,
                echo_store=echo_store,
                retry=retry,
            )

        return self._start(build)

    def command(self, path, payload=b"", *, timeout_s=COMMAND_TIMEOUT_S):
        """Run ``submit_command`` and return its ``Result``."""
        return self.submit_command(path, payload, timeout_s=timeout_s).result()

    def store(self, path, payload, *, timeout_s=COMMAND_TIMEOUT_S, retry=True):
        """Run ``submit_store`` and return its ``Result``."""
        future = self.submit_store(path, payload, timeout_s=timeout_s, retry=retry)
        return future.result()

    def fetch(self, path, *, timeout_s=FETCH_TIMEOUT_S, retry=True):
        """Run ``submit_fetch`` and return its ``Result``."""
        return self.submit_fetch(path, timeout_s=timeout_s, retry=retry).result()

    def open_line(self, path, on_notification):
        """Open a line; it is renewed until it is closed.

        Args:
            path: The resource.
            on_notification: Called with each ``Notification``.

        Returns:
            The ``Line``, whose first registration may still be under way.
        """
        registration = LineState(
            path,
            identifiers=self.identifiers,
            renew_s=self.renew_s,
            silence_s=self.silence_s,
        )
        line = Line(registration, on_notification, self.loop)
        self.loop.post(OpenLine(line))
        return line

    def close(self):
        """End the caller; calls under way end as unknown, lines are closed."""
        self.loop.post(StopLoop())
        self.thread.join()

    def _submit(self, request, timeout_s, *, retry):
        """Begin a request of one datagram."""

        def build(echo_store, now_s):
            return Exchange(
                request,
                deadline_s=now_s + timeout_s,
                identifiers=self.identifiers,
                echo_store=echo_store,
                retry=retry,
            )

        return self._start(build)

    def _start(self, build):
        """Pass a call to the thread."""
        future = Future()
        self.loop.post(StartCall(build, future))
        return future
