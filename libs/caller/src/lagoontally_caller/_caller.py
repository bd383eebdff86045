"""The public API for callers such as a pivot controller or a dossier client."""

import random as random_module
import threading
from concurrent.futures import Future

from ._blocks import Fetch
from ._codec import POST, PUT, Request
from ._exchange import Exchange
from ._identifiers import Identifiers
from ._line import RENEW_INTERVAL_S, SILENCE_TIMEOUT_S, LineState
from ._loop import CloseLine, Loop, OpenLine, StartCall, StopLoop

COMMAND_TIMEOUT_S = 10.0
FETCH_TIMEOUT_S = 30.0


class Line:
    """A line: notifications of one resource until it is closed.

    Attributes:
        on_notification: Called with each ``Notification``, in order, on the
            ``Caller``'s notification thread.
        registration: The ``LineState``, with counts of breaks and moves. It is
            owned by the loop's thread: read it only.
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
        """Number of intervals of ``silence_s`` without a message."""
        return self.registration.breaks

    def close(self):
        """Close the line and cancel its registration at the upstream."""
        self.loop.post(CloseLine(self))


class Caller:
    """Sends requests to one entry address and keeps lines open.

    A request that may run only once is never sent as a new request. It is
    retransmitted as the same datagram, which the system answers without running
    the request again.

    Attributes:
        renew_s: Time between the renewals of a line.
        silence_s: Time without a message after which a line counts as broken.
    """

    def __init__(
        self,
        *,
        entry,
        local_ip=None,
        renew_s=RENEW_INTERVAL_S,
        silence_s=SILENCE_TIMEOUT_S,
        random=None,
    ):
        """Start the caller's thread.

        Args:
            entry: ``IP:port`` of the service's entry address.
            local_ip: Address to send from, or None for any.
            renew_s: Time between the renewals of a line.
            silence_s: Time without a message after which a line counts as broken.
            random: Source of tokens and jitter; None for ``SystemRandom``.
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
        """Start a POST that runs at most once.

        Args:
            path: The resource.
            payload: The body.
            timeout_s: Time to the deadline.

        Returns:
            A future of the ``Result``.
        """
        return self._submit(Request(POST, path, payload), timeout_s, retry=False)

    def submit_store(self, path, payload, *, timeout_s=COMMAND_TIMEOUT_S, retry=True):
        """Start a PUT, which may run more than once.

        Args:
            path: The resource.
            payload: The body.
            timeout_s: Time to the deadline.
            retry: Whether to retry a refused request before the deadline.

        Returns:
            A future of the ``Result``.
        """
        return self._submit(Request(PUT, path, payload), timeout_s, retry=retry)

    def submit_fetch(self, path, *, timeout_s=FETCH_TIMEOUT_S, retry=True):
        """Start a GET, block-wise if the body has several blocks.

        Args:
            path: The resource.
            timeout_s: Time to the deadline.
            retry: Whether to retry a refused request before the deadline.

        Returns:
            A future of the ``Result`` with the whole body.
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
        """Open a line and renew it until it is closed.

        Args:
            path: The resource.
            on_notification: Called with each ``Notification``.

        Returns:
            The ``Line``, whose first registration may still be in progress.
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
        """Close all lines, end pending calls as ``Unknown`` and stop the thread."""
        self.loop.post(StopLoop())
        self.thread.join()

    def _submit(self, request, timeout_s, *, retry):
        """Start a request that fits one datagram."""

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
        """Post a call to the loop."""
        future = Future()
        self.loop.post(StartCall(build, future))
        return future
