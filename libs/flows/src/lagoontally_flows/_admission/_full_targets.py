"""Targets that refused lately, and when each gets flows again.

Covers targets whose slots and queue are full, or that hold as many connections as
they may. A refusal ends a flow at once, so that by open flows a full or slow target
seems to have the most room of all. It is left out for a while instead, longer each
time, by a random time on each balancer, so that no crowd returns to the first one
that has room again.
"""

MIN_PAUSE_MS = 100
MAX_PAUSE_MS = 3_200
REFUSED_FACTOR = 2.0
SERVED_FACTOR = 0.8
UNANSWERED_WINDOW_MS = 1_000
MAX_CHANCE = 0.25  # of a target being left out for its usual short answers
MIN_UNANSWERED = 2  # a single SYN may have been lost on the way
CONNECTION_SLACK = 2.0  # flows of one balancer, relative to its share of a cap


class FullTargets:
    """When targets that refused get flows again.

    Args:
        random: Random number generator, as ``random.Random``.

    Attributes:
        pauses: Time of the end and length of a target's latest pause, by cookie.
    """

    def __init__(self, *, random):
        self.random = random
        self.pauses = {}
        self._unanswered = {}
        self._refused_in_a_row = {}

    def on_refused(self, cookie, now_ms, *, usual_share=0.0):
        """Leave out a target that refused a request.

        Args:
            cookie: Its cookie.
            now_ms: Current time.
            usual_share: Share of its service's answers that look like refusals
                where none is full.
        """
        in_a_row = self._refused_in_a_row.get(cookie, 0) + 1
        self._refused_in_a_row[cookie] = in_a_row
        if usual_share**in_a_row > MAX_CHANCE:
            return
        until_ms, pause_ms = self.pauses.get(cookie, (0, 0))
        if now_ms < until_ms:
            return  # sent before the pause began
        pause_ms = min(MAX_PAUSE_MS, max(MIN_PAUSE_MS, REFUSED_FACTOR * pause_ms))
        spread = 0.5 + self.random.random()
        self.pauses[cookie] = (now_ms + pause_ms * spread, pause_ms)

    def on_served(self, cookie):
        """Shorten the next pause of a target that served a request."""
        self._refused_in_a_row.pop(cookie, None)
        if cookie not in self.pauses:
            return
        until_ms, pause_ms = self.pauses[cookie]
        self.pauses[cookie] = (until_ms, pause_ms * SERVED_FACTOR)

    def on_unanswered(self, cookie, now_ms):
        """Leave out a target if several SYNs to it weren't answered."""
        since_ms, count = self._unanswered.get(cookie, (now_ms, 0))
        if now_ms - since_ms > UNANSWERED_WINDOW_MS:
            since_ms, count = now_ms, 0
        self._unanswered[cookie] = (since_ms, count + 1)
        if count + 1 >= MIN_UNANSWERED:
            del self._unanswered[cookie]
            self.on_refused(cookie, now_ms)

    def is_full(self, cookie, now_ms):
        """Return whether a target gets no flows for now."""
        return now_ms < self.pauses.get(cookie, (0, 0))[0]

    def forget(self, cookie):
        """Forget a target that is gone."""
        self.pauses.pop(cookie, None)
        self._refused_in_a_row.pop(cookie, None)
        self._unanswered.pop(cookie, None)


def exceeds_share(flows, max_connections, members):
    """Return whether a balancer holds more than its share of a target's connections.

    Args:
        flows: Flows of this balancer to the target.
        max_connections: Flows that the target holds at most, 0 if not stated.
        members: Number of balancers.
    """
    if not max_connections:
        return False
    share = CONNECTION_SLACK * max_connections / members
    return flows >= max(1.0, min(max_connections, share))
