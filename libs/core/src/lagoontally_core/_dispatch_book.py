"""What a dispatcher remembers of the requests that it has placed."""


class DispatchBook:
    """Soft state of a dispatcher, and of those who ask one.

    Attributes:
        leases: Target of each placed request, by the request's token.
        placed: Number of placed requests, by target.
        silent_until_ms: Dispatchers that didn't answer, by incarnation.
        named: The dispatcher of each service and until when that is kept.
    """

    def __init__(self):
        self.leases: dict[bytes, str] = {}
        self.placed: dict[str, int] = {}
        self.silent_until_ms: dict[int, int] = {}
        self.named: dict[str, tuple] = {}

    def add(self, token, target):
        """Count a request at a target."""
        self.leases[token] = target
        self.placed[target] = self.placed.get(target, 0) + 1

    def release(self, token):
        """Count a request no longer; return its target, None if unknown."""
        target = self.leases.pop(token, None)
        if target is None:
            return None
        self.placed[target] -= 1
        if not self.placed[target]:
            del self.placed[target]
        return target
