"""HTTP/1.1 GET calls on one connection that is kept open.

``http.client`` takes 35 ms of processor time at the start and 8 MB
(docs/PLATFORM.md); calls here need a status and a body of a known length.
"""

from select import EPOLLIN, EPOLLOUT

from lagoontally_lean import Record

from ._sockets import connect, connect_error

RECEIVE_BYTES = 65_536
STATUS_DIGITS = 3
MAX_LENGTH_DIGITS = 12  # ``int`` raises for thousands
MAX_BODY_BYTES = 8 << 20  # a page holds at most 1 MB, encoded; views are smaller


class HttpResponse(Record, fields="status body"):
    """An answer to a call."""

    __slots__ = ()


class HttpFailure(Record, fields="reason"):
    """A call that wasn't answered."""

    __slots__ = ()


class HttpClient:
    """Makes one call at a time.

    Args:
        loop: The ``Loop`` that serves the connection.
        address: Host and port.
    """

    def __init__(self, loop, address):
        self.loop = loop
        self.address = address
        self._sock = None
        self._request = b""
        self._unsent = b""
        self._received = bytearray()
        self._deadline_ms = None
        self._on_done = None
        self._reused = False

    @property
    def busy(self):
        """Whether a call is running."""
        return self._on_done is not None

    def get(self, path, timeout_ms, on_done):
        """Start a call.

        Args:
            path: Path and query.
            timeout_ms: When to give up.
            on_done: Called with the ``HttpResponse`` or ``HttpFailure``.
        """
        host, port = self.address
        head = f"GET {path} HTTP/1.1\r\nHost: {host}:{port}\r\n\r\n"
        self._request = head.encode()
        self._deadline_ms = self.loop.clock() + timeout_ms
        self._on_done = on_done
        self._reused = self._sock is not None
        self._start_request()

    def on_tick(self, now_ms):
        """Give up a call whose time has run out."""
        if self.busy and now_ms >= self._deadline_ms:
            self._fail("timeout")

    def cancel(self):
        """Forget the running call, if there is one; nobody hears of its end."""
        self._on_done = None
        self.close()

    def close(self):
        """Close the connection."""
        if self._sock is not None:
            self.loop.unwatch(self._sock)
            self._sock.close()
            self._sock = None

    def _start_request(self):
        self._received.clear()
        self._unsent = self._request
        if self._sock is None:
            try:
                self._sock = connect(self.address)
            except OSError as error:
                self._fail(f"connect: {error}")
                return
        self.loop.watch(self._sock, self._on_writable, EPOLLOUT)

    def _on_writable(self, _events):
        error = connect_error(self._sock)
        if error:
            self._on_connection_lost(f"connection error {error}")
            return
        try:
            sent = self._sock.send(self._unsent)
        except BlockingIOError:
            return
        except OSError as failure:
            self._on_connection_lost(f"send: {failure}")
            return
        self._unsent = self._unsent[sent:]
        if not self._unsent:
            self.loop.watch(self._sock, self._on_readable, EPOLLIN)

    def _on_readable(self, _events):
        try:
            data = self._sock.recv(RECEIVE_BYTES)
        except BlockingIOError:
            return
        except OSError as failure:
            self._on_connection_lost(f"receive: {failure}")
            return
        if not data:
            self._on_connection_lost("closed by the peer")
            return
        self._received += data
        if not self.busy:
            self.close()  # bytes that no call asked for
            return
        answer = parse_response(self._received)
        if isinstance(answer, HttpFailure):
            self._fail(answer.reason)
        elif answer is not None:
            self._finish(answer)

    def _on_connection_lost(self, reason):
        """The connection broke; one that had been idle gets one fresh try."""
        if self.busy and self._reused and not self._received:
            self._reused = False
            self.close()
            self._start_request()
            return
        self._fail(reason)

    def _fail(self, reason):
        self.close()
        if self.busy:
            self._finish(HttpFailure(reason))

    def _finish(self, result):
        on_done, self._on_done = self._on_done, None
        on_done(result)


def parse_response(received):
    """Return the ``HttpResponse`` in received bytes, None while it is incomplete.

    Args:
        received: Bytes since the call was sent.

    Returns:
        an ``HttpResponse``, None, or an ``HttpFailure`` where the bytes are no answer.
    """
    end = received.find(b"\r\n\r\n")
    if end < 0:
        too_long = len(received) > RECEIVE_BYTES
        return HttpFailure("the answer's head is too long") if too_long else None
    lines = bytes(received[:end]).split(b"\r\n")
    words = lines[0].split(b" ")
    if (
        len(words) < 2
        or not words[0].startswith(b"HTTP/1.")
        or not _is_status(words[1])
    ):
        return HttpFailure("the answer has no status line")
    length = _content_length(lines[1:])
    if length is None or length > MAX_BODY_BYTES:
        return HttpFailure("the answer has no usable length")
    start = end + 4
    if len(received) < start + length:
        return None
    return HttpResponse(int(words[1]), bytes(received[start : start + length]))


def _is_status(word):
    return len(word) == STATUS_DIGITS and word.isdigit()


def _content_length(lines):
    for line in lines:
        name, _, value = line.partition(b":")
        if name.strip().lower() == b"content-length":
            value = value.strip()
            usable = value.isdigit() and len(value) <= MAX_LENGTH_DIGITS
            return int(value) if usable else None
    return None
