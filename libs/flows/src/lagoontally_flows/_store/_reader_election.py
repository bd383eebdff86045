"""Decides which balancer of a data centre reads the store.

A follower takes over when the reader's beacons stop or show that it has lost the
store. Of several readers that reach the store, the one with the lowest priority
continues.
"""

from ._call_timing import FRESH_MS, failing_reader_delay_ms, takeover_delay_ms


class ReaderElection:
    """Whether this balancer reads the store for its data centre.

    Args:
        priority: This balancer's priority as a reader; lower values win.
        random: Random number generator.
        slow_link: Whether balancers with a faster link should take over first.

    Attributes:
        reader: Whether this balancer reads for its data centre.
        members: Number of balancers in this data centre, including this one.
        failures: Consecutive calls to the store without a usable answer.
        contact_ms: When the store last answered this balancer.
        heard_ms: When it last answered this balancer or a reader of its data centre,
            or None.
        recovered_ms: When the store was last found to have recovered, or None.
    """

    def __init__(self, *, priority, random, slow_link=False):
        self.priority = priority
        self.slow_link = slow_link
        self.random = random
        self.reader = False
        self.members = 1
        self.failures = 0
        self.contact_ms = None
        self.heard_ms = None
        self.recovered_ms = None
        self._reader_failing = False
        self._takeover_ms = 0  # until the store has answered or a reader was heard
        self._takeover_put_off = False

    def take_over_if_due(self, now_ms):
        """Become the reader if none has been in contact with the store for too long."""
        if not self.reader and now_ms >= self._takeover_ms:
            self.reader = True

    def in_contact(self, now_ms):
        """Return whether the store has recently answered this balancer."""
        return (
            self.failures == 0
            and self.contact_ms is not None
            and now_ms - self.contact_ms <= FRESH_MS
        )

    def record_answer(self, now_ms):
        """Record that the store has answered this balancer."""
        if self.failures:
            self.recovered_ms = now_ms
        self.failures = 0
        self.contact_ms = self.heard_ms = now_ms
        if not self.reader and not self._takeover_ms:
            # Only the first answer counts: later ones don't show that a reader lives.
            self._takeover_ms = now_ms + FRESH_MS + self._takeover_delay_ms()

    def record_working_reader(self, beacon, now_ms):
        """Record the beacon of a reader that is in contact with the store."""
        answered_ms = now_ms - beacon.contact_age_ms
        self.heard_ms = max(self.heard_ms or 0, answered_ms)
        if self._reader_failing:
            self._reader_failing = False
            self.recovered_ms = now_ms

    def record_failing_reader(self, beacon, now_ms):
        """Limit the balancers that call the store while it answers no known reader.

        A takeover that is due is put off once: this balancer may be the one that
        reaches the store, however many others don't.
        """
        self._reader_failing = True
        if self.reader:
            if not self.failures or beacon.priority >= self.priority:
                return
            self.reader = False
        elif now_ms < self._takeover_ms or self._takeover_put_off:
            return
        self._takeover_put_off = True
        self._takeover_ms = now_ms + failing_reader_delay_ms(self.members, self.random)

    def postpone_takeover(self, beacon, now_ms):
        """Expect the next sign of the reader's contact before taking over."""
        due_ms = now_ms + FRESH_MS - beacon.contact_age_ms
        self._takeover_ms = due_ms + self._takeover_delay_ms()
        self._takeover_put_off = False

    def yields_to(self, beacon, now_ms):
        """Return whether another reader should go on instead of this one."""
        return self.reader and (
            beacon.priority < self.priority or not self.in_contact(now_ms)
        )

    def _takeover_delay_ms(self):
        return takeover_delay_ms(self.members, self.random, slow_link=self.slow_link)
