"""A minimal HTTP/1.1 client for GET requests on one persistent connection.

``http.client`` takes 35 ms of CPU time at startup and 8 MB (docs/PLATFORM.md).
Requests here need only a status and a body with a Content-Length.
"""

from select import EPOLLIN, EPOLLOUT

from lagoontally_lean import Record

from ._sockets import connect, connect_error
from ._traffic import UNCOUNTED

RECEIVE_BYTES = 65_536
STATUS_DIGITS = 3
MAX_LENGTH_DIGITS = 12  # ``int`` raises ValueError for thousands of digits
MAX_TRANSFER_MS = 10_000  # ends a response whose bytes arrive slowly
MAX_BODY_BYTES = 8 << 20  # a store page is at most 1 MB encoded; peer views are smaller
TOO_LONG = "the answer is too long"


class HttpResponse(Record, fields="status head body"):
    """The response to a request.

    Attributes:
        status: Its status.
        head: Its header lines as bytes, without the status line.
        body: Its body as bytes.
    """

    __slots__ = ()


class HttpFailure(Record, fields="reason"):
    """The reason why a request got no usable response."""

    __slots__ = ()


class HttpClient:
    """An HTTP client that runs one request at a time.

    Args:
        loop: The ``Loop`` that watches the connection.
        address: Host and port.
        on_error: Called with the time when ``on_done`` has raised an error, so that
            the request isn't made again at once; None for nothing.
        count: Functions that count bytes sent and received.
    """

    def __init__(self, loop, address, *, on_error=None, count=UNCOUNTED):
        self.loop = loop
        self.address = address
        self._on_error = on_error
        self._count_sent, self._count_received = count
        self._sock = None
        self._request = b""
        self._unsent = b""
        self._received = bytearray()
        self._timeout_ms = None
        self._deadline_ms = None
        self._transfer_end_ms = None
        self._on_done = None
        self._reused = False

    @property
    def busy(self):
        """Whether a request is in progress."""
        return self._on_done is not None

    def get(self, path, timeout_ms, on_done):
        """Start a GET request.

        Args:
            path: Path and query.
            timeout_ms: Time without any byte of the response after which the request
                fails. Many balancers that start at once share the store's link, and
                to begin again would take longer.
            on_done: Called with the ``HttpResponse`` or ``HttpFailure``.
        """
        host, port = self.address
        head = f"GET {path} HTTP/1.1\r\nHost: {host}:{port}\r\n\r\n"
        self._request = head.encode()
        self._timeout_ms = timeout_ms
        self._deadline_ms = self.loop.clock() + timeout_ms
        self._transfer_end_ms = None
        self._on_done = on_done
        if self._sock is not None and not self._is_silent():
            self.close()
        self._reused = self._sock is not None
        self._start_request()

    def on_tick(self, now_ms):
        """Fail a request that has timed out."""
        if self.busy and now_ms >= self._deadline_ms:
            end_ms = self._transfer_end_ms
            is_too_long = end_ms is not None and now_ms >= end_ms
            self._fail(TOO_LONG if is_too_long else "timeout")

    def cancel(self):
        """Cancel the request in progress, if any, without calling ``on_done``."""
        self._on_done = None
        self.close()

    def close(self):
        """Close the connection."""
        if self._sock is not None:
            self.loop.unwatch(self._sock)
            self._sock.close()
            self._sock = None

    def _is_silent(self):
        """Return whether an idle connection is open and has nothing to read.

        What arrives between two requests isn't the answer to the next one: it may be
        a second copy of the one before.
        """
        try:
            self._sock.recv(1)
        except BlockingIOError:
            return True
        except OSError:
            pass  # the connection is closed in any case
        return False

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
        self._count_sent(sent)
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
        self._count_received(len(data))
        self._received += data
        if not self.busy:
            self.close()  # data without a request
            return
        self._extend_deadline()
        response = parse_response(self._received)
        if isinstance(response, HttpFailure):
            self._fail(response.reason)
        elif response is not None:
            size = self._received.find(b"\r\n\r\n") + 4 + len(response.body)
            if len(self._received) > size:
                self.close()  # bytes after a response may be a second copy of it
            self._finish(response)

    def _extend_deadline(self):
        """Allow more time for a response that is arriving."""
        now_ms = self.loop.clock()
        if self._transfer_end_ms is None:
            self._transfer_end_ms = now_ms + MAX_TRANSFER_MS
        extended_ms = min(now_ms + self._timeout_ms, self._transfer_end_ms)
        self._deadline_ms = max(self._deadline_ms, extended_ms)

    def _on_connection_lost(self, reason):
        """Fail the request, or retry it once if it reused an idle connection.

        The server may have closed an idle connection just before the request.
        """
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
        try:
            on_done(result)
        except Exception:
            if self._on_error is not None:
                self._on_error(self.loop.clock())
            raise


def parse_response(received):
    """Parse the bytes received since a request was sent.

    Returns:
        An ``HttpResponse``, None while it is incomplete, or an ``HttpFailure`` if
        the bytes are not a usable response.
    """
    end = received.find(b"\r\n\r\n")
    if end < 0:
        too_long = len(received) > RECEIVE_BYTES
        return HttpFailure("the answer's head is too long") if too_long else None
    first_line, _, head = bytes(received[:end]).partition(b"\r\n")
    words = first_line.split(b" ")
    if (
        len(words) < 2
        or not words[0].startswith(b"HTTP/1.")
        or not _is_status(words[1])
    ):
        return HttpFailure("the answer has no status line")
    length = _content_length(head)
    if length is None:
        return HttpFailure("the answer has no usable length")
    if length > MAX_BODY_BYTES:
        return HttpFailure(TOO_LONG)
    start = end + 4
    if len(received) < start + length:
        return None
    return HttpResponse(int(words[1]), head, bytes(received[start : start + length]))


def _is_status(word):
    return len(word) == STATUS_DIGITS and word.isdigit()


def header_value(head, name):
    """Return the value of a header, None if it is missing.

    Args:
        head: Header lines as bytes.
        name: Name of the header in lower case, as bytes.
    """
    for line in head.split(b"\r\n"):
        found, _, value = line.partition(b":")
        if found.strip().lower() == name:
            return value.strip()
    return None


def _content_length(head):
    value = header_value(head, b"content-length")
    if value is None:
        return None
    usable = value.isdigit() and len(value) <= MAX_LENGTH_DIGITS
    return int(value) if usable else None
