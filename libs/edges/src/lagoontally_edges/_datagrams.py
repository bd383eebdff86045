"""A select loop that reads any number of UDP sockets in one task."""

import contextlib
import selectors
import socket
from queue import Empty, SimpleQueue
from typing import NamedTuple

from lagoontally_core import Count

from ._pause import PauseDetector, monotonic_ms

SELECT_TIMEOUT_S = 0.1
# Few enough that an iteration ends well within SELECT_TIMEOUT_S.
MAX_DATAGRAMS_PER_ITERATION = 256
MAX_DISCARDED_PER_SOCKET = 20_000
RECEIVE_BUFFER_BYTES = 1 << 20
MAX_DATAGRAM_BYTES = 65_535
MAX_PORT_DIGITS = 5


class Datagram(NamedTuple):
    """A received datagram.

    Attributes:
        key: Key of the socket that received it.
        sender: IP address and port of the sender.
        data: The whole datagram.
    """

    key: object
    sender: tuple[str, int]
    data: bytes


class BindFailed(NamedTuple):
    """The failure to bind a socket."""

    address: str
    port: int
    reason: str


def ignore_count(count):
    """Ignore a count; the default where no metrics are kept."""


def split_address(address):
    """Split ``IP:port`` into IPv4 address and port; return None if it is invalid.

    Host names are rejected, because resolving them would block.
    """
    host, _, port = address.rpartition(":")
    if not port.isascii() or not port.isdigit() or len(port) > MAX_PORT_DIGITS:
        return None
    try:
        socket.inet_pton(socket.AF_INET, host)
    except (OSError, ValueError):
        return None
    return host, int(port)


class DatagramLoop:
    """Owns UDP sockets by key, reads them in ``run`` and sends from them.

    ``open``, ``retire`` and ``send`` may be called by other tasks than the one in
    ``run``. Only the task in ``run`` closes sockets.

    Args:
        name: Prefix of the counters.
        handle: Called with each ``Datagram``; posts events with ``DatagramLoop.post``.
        post: Called with each event for the core.
        count: Called with each ``Count``.
        clock_ms: Returns the monotonic clock in milliseconds.
        discards_after_pause: Whether datagrams that waited during a pause are
            discarded. If not, ``handle`` decides by ``stale``.

    Attributes:
        stale: True once a pause was detected while the last batch was handled.
    """

    def __init__(
        self,
        *,
        name,
        handle,
        post,
        count=ignore_count,
        clock_ms=monotonic_ms,
        discards_after_pause=True,
    ):
        self.name = name
        self.handle = handle
        self.post_event = post
        self.stale = False
        self.discards_after_pause = discards_after_pause
        self.count = count
        self.pause_detector = PauseDetector(clock_ms=clock_ms)
        self.sockets = {}
        self.selector = selectors.DefaultSelector()
        self.changes = SimpleQueue()
        self.wakeup_sender, self.wakeup_receiver = socket.socketpair()
        self.wakeup_sender.setblocking(False)
        self.wakeup_receiver.setblocking(False)
        self.selector.register(self.wakeup_receiver, selectors.EVENT_READ)

    def open(self, key, address, port=0):
        """Bind a socket.

        Args:
            key: Key of the socket.
            address: IP address to bind to.
            port: Port to bind to; 0 lets the system choose.

        Returns:
            The bound IP address and port, or ``BindFailed``.
        """
        sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        sock.setblocking(False)
        try:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
            sock.bind((address, port))
        except (OSError, OverflowError) as error:
            sock.close()
            self.increment("bind_failed")
            return BindFailed(address, port, str(error))
        self.sockets[key] = sock
        self.changes.put((key, sock))
        self.interrupt_select()
        return sock.getsockname()

    def retire(self, key):
        """Remove a socket; the task in ``run`` closes it."""
        sock = self.sockets.pop(key, None)
        if sock is not None:
            self.changes.put((None, sock))
            self.interrupt_select()

    def send(self, key, data, address):
        """Send a datagram, or drop and count it if it can't be sent immediately.

        Args:
            key: Key of the socket to send from.
            data: The datagram.
            address: ``IP:port`` to send to.

        Returns:
            True if the kernel accepted it.
        """
        sender_socket = self.sockets.get(key)
        destination = split_address(address)
        if sender_socket is None or destination is None:
            self.increment("send_unaddressed")
            return False
        try:
            sender_socket.sendto(data, destination)
        except (OSError, OverflowError, ValueError):
            self.increment("send_failed")
            return False
        return True

    def increment(self, counter, value=1):
        """Increment one of the loop's counters."""
        self.count(Count(f"{self.name}_{counter}", value))

    def interrupt_select(self):
        """Wake the task in ``run`` from its select call."""
        # If the socket pair is full or closed, the task is awake or has ended.
        with contextlib.suppress(OSError):
            self.wakeup_sender.send(b"\0")

    def run(self, stop):
        """Read until ``stop`` is set.

        Args:
            stop: A ``threading.Event``.
        """
        while not stop.is_set():
            self.run_once(SELECT_TIMEOUT_S)

    def run_once(self, timeout_s):
        """Wait up to ``timeout_s`` for datagrams and handle those received."""
        ready = self.selector.select(timeout_s)
        self.apply_changes()
        per_socket_limit = max(1, MAX_DATAGRAMS_PER_ITERATION // max(1, len(ready)))
        datagrams = [
            item for key, _ in ready for item in self.read(key, per_socket_limit)
        ]
        # Checked after the read, so that a pause during the wait or the read is
        # detected before any datagram that waited in the kernel is handled.
        self.stale = self.pause_detector.pause_detected()
        handled = self.handle_until_paused(datagrams)
        if self.stale and self.discards_after_pause:
            self.discard_waiting(len(datagrams) - handled)

    def handle_until_paused(self, datagrams):
        """Handle datagrams until a pause is detected; return how many were handled.

        All are handled where none is discarded.
        """
        for index, datagram in enumerate(datagrams):
            if not (self.stale and self.discards_after_pause):
                self.handle(datagram)
            if self.stale and self.discards_after_pause:
                return index
        return len(datagrams)

    def post(self, event):
        """Post an event unless its datagram waited during a pause and is discarded.

        Args:
            event: The event.

        Returns:
            True if it was posted.
        """
        self.stale = self.stale or self.pause_detector.pause_detected()
        if self.stale and self.discards_after_pause:
            return False
        self.post_event(event)
        return True

    def apply_changes(self):
        """Register opened sockets and close retired ones."""
        while True:
            try:
                key, sock = self.changes.get_nowait()
            except Empty:
                return
            if key is not None:
                self.selector.register(sock, selectors.EVENT_READ, key)
                continue
            with contextlib.suppress(KeyError, ValueError):
                self.selector.unregister(sock)
            sock.close()

    def read(self, selector_key, limit):
        """Read up to ``limit`` datagrams from a socket."""
        datagrams = []
        if selector_key.fileobj is self.wakeup_receiver:
            with contextlib.suppress(OSError):
                self.wakeup_receiver.recv(MAX_DATAGRAM_BYTES)
            return datagrams
        for _ in range(limit):
            try:
                data, sender = selector_key.fileobj.recvfrom(MAX_DATAGRAM_BYTES)
            except OSError:
                break
            datagrams.append(Datagram(selector_key.data, sender, data))
        return datagrams

    def discard_waiting(self, already_read):
        """Drop and count all datagrams that wait in the kernel."""
        discarded = already_read
        for selector_key in list(self.selector.get_map().values()):
            discarded += len(self.read(selector_key, MAX_DISCARDED_PER_SOCKET))
        self.increment("discarded_after_pause", discarded)

    def close(self):
        """Close every socket; call it once ``run`` has returned."""
        for key in list(self.sockets):
            self.retire(key)
        self.apply_changes()
        self.selector.close()
        self.wakeup_sender.close()
        self.wakeup_receiver.close()
