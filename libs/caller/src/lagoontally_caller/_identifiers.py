"""Message ids, tokens and Echoes that requests carry."""

MESSAGE_ID_MODULUS = 1 << 16
TOKEN_BYTES = 8
MAX_ECHO_AGE_S = 100.0


class Identifiers:
    """Generates message ids from a counter, and random tokens.

    Attributes:
        random: Source of tokens and of the first message id.
        next_id: The next message id.
    """

    def __init__(self, *, random):
        self.random = random
        self.next_id = random.randrange(MESSAGE_ID_MODULUS)

    def message_id(self):
        """Return the next message id."""
        current = self.next_id
        self.next_id = (current + 1) % MESSAGE_ID_MODULUS
        return current

    def token(self):
        """Return a random token."""
        return self.random.randbytes(TOKEN_BYTES)


class EchoStore:
    """Stores the newest Echo that the entry address sent to one socket.

    Attributes:
        echo: The Echo, empty if there is none.
        received_s: When it was received, on the caller's monotonic clock.
    """

    def __init__(self):
        self.echo = b""
        self.received_s = 0.0

    def keep(self, echo, *, now_s):
        """Store the Echo of a response; an empty one changes nothing."""
        if echo:
            self.echo = echo
            self.received_s = now_s

    def drop(self, echo):
        """Drop an Echo that got no response, unless a newer one was stored."""
        if echo == self.echo:
            self.echo = b""

    def current(self, *, now_s):
        """Return the Echo, or an empty one shortly before it expires."""
        if now_s - self.received_s > MAX_ECHO_AGE_S:
            self.echo = b""
        return self.echo
