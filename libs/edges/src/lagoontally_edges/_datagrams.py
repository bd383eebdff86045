"""A loop that reads any number of UDP sockets in one task."""

import contextlib
import selectors
import socket
from queue import Empty, SimpleQueue
from typing import NamedTuple

from lagoontally_core import Count

from ._pause import PauseGuard, monotonic_ms

TURN_S = 0.1
# Few enough that a turn ends well within TURN_S.
TURN_DATAGRAMS = 256
DISCARD_LIMIT = 20_000
RECEIVE_BUFFER_BYTES = 1 << 20
MAX_DATAGRAM_BYTES = 65_535
MAX_PORT_DIGITS = 5


class Datagram(NamedTuple):
    """A datagram that was read.

    Attributes:
        key: Key of the socket that it came in by.
        sender: IP number and port that it came from.
        data: The datagram.
    """

    key: object
    sender: tuple[str, int]
    data: bytes


class BindFailed(NamedTuple):
    """A socket couldn't be bound."""

    address: str
    port: int
    reason: str


def ignore_count(count):
    """Drop a count; stands in where no metrics are kept."""


def split_address(address):
    """Return the IP number and port of ``IP:port``, or None when it is neither.

    A host name is refused: looking it up would block.
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
    """Owns UDP sockets by key, reads them in ``run`` and sends by them.

    ``open``, ``retire`` and ``send`` may be called by another task than the one
    that is in ``run``; a socket is closed by the task that reads it.

    Args:
        name: Prefix of the counters.
        handle: Called with each ``Datagram``; posts events by ``post``.
        post: Takes events for the core.
        count: Takes ``Count``.
        clock_ms: Returns the monotonic clock in milliseconds.
    """

    def __init__(
        self, *, name, handle, post, count=ignore_count, clock_ms=monotonic_ms
    ):
        self.name = name
        self.handle = handle
        self.post_event = post
        self.stale = False
        self.count = count
        self.guard = PauseGuard(clock_ms=clock_ms)
        self.sockets = {}
        self.selector = selectors.DefaultSelector()
        self.changes = SimpleQueue()
        self.wake_in, self.wake_out = socket.socketpair()
        self.wake_in.setblocking(False)
        self.wake_out.setblocking(False)
        self.selector.register(self.wake_out, selectors.EVENT_READ)

    def open(self, key, address, port=0):
        """Bind a socket.

        Args:
            key: Names the socket.
            address: IP number to bind.
            port: Port to bind; 0 lets the system choose.

        Returns:
            The bound IP number and port, or ``BindFailed``.
        """
        opened = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        opened.setblocking(False)
        try:
            opened.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
            opened.bind((address, port))
        except (OSError, OverflowError) as error:
            opened.close()
            self.add("bind_failed")
            return BindFailed(address, port, str(error))
        self.sockets[key] = opened
        self.changes.put((key, opened))
        self.wake()
        return opened.getsockname()

    def retire(self, key):
        """Stop reading a socket; the reading task closes it."""
        retired = self.sockets.pop(key, None)
        if retired is not None:
            self.changes.put((None, retired))
            self.wake()

    def send(self, key, data, address):
        """Send a datagram, or drop and count it when it can't be sent at once.

        Args:
            key: Key of the socket to send by.
            data: The datagram.
            address: ``IP:port`` to send to.

        Returns:
            True when it was handed to the kernel.
        """
        by = self.sockets.get(key)
        to = split_address(address)
        if by is None or to is None:
            self.add("send_unaddressed")
            return False
        try:
            by.sendto(data, to)
        except (OSError, OverflowError, ValueError):
            self.add("send_failed")
            return False
        return True

    def add(self, counter, value=1):
        """Add to one of the loop's counters."""
        self.count(Count(f"{self.name}_{counter}", value))

    def wake(self):
        """End the wait of the reading task."""
        # A full or closed pair means that it is awake, or gone.
        with contextlib.suppress(OSError):
            self.wake_in.send(b"\0")

    def run(self, stop):
        """Read until ``stop`` is set.

        Args:
            stop: A ``threading.Event``.
        """
        while not stop.is_set():
            self.turn(TURN_S)

    def turn(self, timeout_s):
        """Wait at most ``timeout_s`` for datagrams and handle those that came."""
        ready = self.selector.select(timeout_s)
        self.apply_changes()
        share = max(1, TURN_DATAGRAMS // max(1, len(ready)))
        datagrams = [item for key, _ in ready for item in self.read(key, share)]
        # Checked after the read, so that a pause during the wait or the read is
        # noticed before anything that waited in the kernel is handed on.
        self.stale = self.guard.paused()
        handled = self.handle_fresh(datagrams)
        if self.stale:
            self.discard(len(datagrams) - handled)

    def handle_fresh(self, datagrams):
        """Handle datagrams until a pause is noticed; return how many were."""
        for index, datagram in enumerate(datagrams):
            if not self.stale:
                self.handle(datagram)
            if self.stale:
                return index
        return len(datagrams)

    def post(self, event):
        """Post an event unless the process paused since its datagram was read.

        Args:
            event: The event.

        Returns:
            True when it was posted.
        """
        self.stale = self.stale or self.guard.paused()
        if not self.stale:
            self.post_event(event)
        return not self.stale

    def apply_changes(self):
        """Register the sockets that were opened and close the retired ones."""
        while True:
            try:
                key, changed = self.changes.get_nowait()
            except Empty:
                return
            if key is not None:
                self.selector.register(changed, selectors.EVENT_READ, key)
                continue
            with contextlib.suppress(KeyError, ValueError):
                self.selector.unregister(changed)
            changed.close()

    def read(self, selected, limit):
        """Read up to ``limit`` datagrams of a socket."""
        datagrams = []
        if selected.fileobj is self.wake_out:
            with contextlib.suppress(OSError):
                self.wake_out.recv(MAX_DATAGRAM_BYTES)
            return datagrams
        for _ in range(limit):
            try:
                data, sender = selected.fileobj.recvfrom(MAX_DATAGRAM_BYTES)
            except OSError:
                break
            datagrams.append(Datagram(selected.data, sender, data))
        return datagrams

    def discard(self, already_read):
        """Drop everything that waits in the kernel."""
        discarded = already_read
        for selected in list(self.selector.get_map().values()):
            discarded += len(self.read(selected, DISCARD_LIMIT))
        self.add("discarded_after_pause", discarded)

    def close(self):
        """Close every socket; call it once ``run`` has returned."""
        for key in list(self.sockets):
            self.retire(key)
        self.apply_changes()
        self.selector.close()
        self.wake_in.close()
        self.wake_out.close()
