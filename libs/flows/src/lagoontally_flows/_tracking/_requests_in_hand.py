"""Requests that a balancer has passed on and whose answers aren't acknowledged yet."""

DEFAULT_LIFETIME_MS = 5_000


class RequestsInHand:
    """Counts requests in hand by target.

    A request counts from the SYN of its flow, or from its first packet on a flow that
    is open, until its caller acknowledges the answer or ends the flow. One that is
    older than callers wait isn't counted: its end may have passed elsewhere.

    Attributes:
        lifetime_ms: How long a request counts at most.
        by_target: Number of requests by cookie.
    """

    def __init__(self):
        self.lifetime_ms = DEFAULT_LIFETIME_MS
        self.by_target = {}
        self._begun = {}

    def set_lifetime(self, longest_deadline_ms):
        """Take over the longest deadline of all callers, 0 if none is stated."""
        self.lifetime_ms = longest_deadline_ms or DEFAULT_LIFETIME_MS

    def at(self, targets):
        """Return the number of requests at some ``Target`` records."""
        by_target = self.by_target
        return sum(by_target.get(target.cookie, 0) for target in targets)

    def begin(self, key, cookie, now_ms):
        """Count the request of a flow, unless it has one already."""
        if key not in self._begun:
            self._begun[key] = (cookie, now_ms)
            self._add(cookie, 1)

    def move(self, key, cookie):
        """Count the request of a flow, if any, at another target."""
        if key in self._begun:
            before, begun_ms = self._begun[key]
            self._begun[key] = (cookie, begun_ms)
            self._add(before, -1)
            self._add(cookie, 1)

    def end(self, key):
        """Stop counting the request of a flow, if any."""
        begun = self._begun.pop(key, None)
        if begun is not None:
            self._add(begun[0], -1)

    def clear(self):
        """Forget all requests."""
        self._begun.clear()
        self.by_target.clear()

    def expire(self, now_ms):
        """Stop counting the requests that are too old."""
        oldest_ms = now_ms - self.lifetime_ms
        while self._begun:
            key, (_, begun_ms) = next(iter(self._begun.items()))
            if begun_ms >= oldest_ms:
                return
            self.end(key)

    def _add(self, cookie, change):
        count = self.by_target.get(cookie, 0) + change
        if count:
            self.by_target[cookie] = count
        else:
            del self.by_target[cookie]
