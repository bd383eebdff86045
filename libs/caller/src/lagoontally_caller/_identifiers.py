"""Message ids, tokens and Echoes of one entry address."""

MESSAGE_ID_LIMIT = 1 << 16
TOKEN_BYTES = 8
ECHO_KEPT_S = 100.0


class Identifiers:
    """Gives message ids from one counter, and random tokens.

    Attributes:
        random: Source of tokens and of the counter's start.
        next_id: The message id that comes next.
    """

    def __init__(self, *, random):
        self.random = random
        self.next_id = random.randrange(MESSAGE_ID_LIMIT)

    def message_id(self):
        """Return the next message id."""
        current = self.next_id
        self.next_id = (current + 1) % MESSAGE_ID_LIMIT
        return current

    def token(self):
        """Return a token that hasn't been used."""
        return self.random.randbytes(TOKEN_BYTES)


class EchoStore:
    """Keeps the newest Echo of an entry address, as seen from one socket.

    Attributes:
        echo: The Echo, empty when there is none.
        received_s: When it came, on the caller's monotonic clock.
    """

    def __init__(self):
        self.echo = b""
        self.received_s = 0.0

    def keep(self, echo, *, now_s):
        """Keep an Echo from an answer; an answer without one changes nothing."""
        if echo:
            self.echo = echo
            self.received_s = now_s

    def drop(self, echo):
        """Drop an Echo that brought no answer; a newer one stays."""
        if echo == self.echo:
            self.echo = b""

    def current(self, *, now_s):
        """Return the Echo, or nothing once it is about to expire."""
        if now_s - self.received_s > ECHO_KEPT_S:
            self.echo = b""
        return self.echo
