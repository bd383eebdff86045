"""Finds out that another balancer has a newer configuration in force than this one.

With each ``Hello`` and each reply to one, balancers tell which version they have in
force, across data centres. Changes don't need this: they come by the reader's watch.
It covers the reader that has missed one, whose data centre can't notice otherwise.
"""

from lagoontally_lean import Record

from .._membership import HELLO_INTERVAL_MS, HELLO_INTERVAL_PER_SENDER_MS
from ._call_timing import FRESH_MS, RETRY_JITTER_PER_MEMBER_MS

# A reader that reaches the store knows a change after FRESH_MS. Followers know it
# after a takeover (1.75 s), a slow call (0.25 s) and a fetch (0.6 s), and some slack.
READER_ARRIVAL_MS = FRESH_MS
ARRIVAL_MS = 3_000
FIRST_PAUSE_MS = 5_000  # between two readings while the store lacks the version
MAX_PAUSE_MS = 60_000


class InForce(Record, fields="version"):
    """Announces the version of the configuration in force at the sender.

    Sent beside ``Hello`` and ``Members``, whose fields older programs count.
    """

    __slots__ = ()


class Heard(Record, fields="version host since_ms awaited"):
    """A version newer than the one in force here.

    Attributes:
        version: The version.
        host: Host that announced it.
        since_ms: Since when ``awaited`` hasn't been in force here, although the store
            was reached.
        awaited: The version announced first of those that aren't in force. Versions
            older than it don't show that this balancer follows the store.
    """

    __slots__ = ()


class VersionCheck:
    """Decides when to read the store again for a version that others have.

    Args:
        random: Random number generator.

    Attributes:
        own: Version in force here; 0 before the first.
        heard: The newest version ``Heard`` since the last reading, None if none is
            newer than the own one.
    """

    def __init__(self, *, random):
        self.random = random
        self.own = 0
        self.heard = None
        self._sought = 0
        self._read_ms = None
        self._pause_ms = FIRST_PAUSE_MS
        self._spread = 0.0
        self._is_passed_on = False
        self._next_notice_ms = 0

    def on_own(self, version, now_ms):
        """Record the version in force here."""
        if version == self.own:
            return
        self.own = version
        if version >= self._sought:
            self._read_ms, self._pause_ms = None, FIRST_PAUSE_MS
        heard = self.heard
        if heard is not None and version >= heard.version:
            self.heard = None
        elif heard is not None and version >= heard.awaited:
            self.heard = heard._replace(since_ms=now_ms, awaited=heard.version)

    def on_version(self, version, host, now_ms):
        """Handle the version that another balancer announces."""
        if version <= self.own:
            return
        self._is_passed_on = False
        if self.heard is None:
            self._spread = self.random.random()
            self.heard = Heard(version, host, now_ms, version)
        elif version > self.heard.version:
            self.heard = self.heard._replace(version=version, host=host)

    def notice(self, announced, now_ms, *, members):
        """Return the message to a reader of this data centre, None for none.

        It costs a datagram an interval at most, and what was only heard is passed on
        once each time.

        Args:
            announced: Version that the reader announces.
            now_ms: Current time.
            members: Number of balancers in this data centre.
        """
        version = self.own
        if self.heard is not None and not self._is_passed_on:
            version = self.heard.version
        if version <= announced or now_ms < self._next_notice_ms:
            return None
        self._is_passed_on = True
        interval_ms = HELLO_INTERVAL_MS + HELLO_INTERVAL_PER_SENDER_MS * members
        self._next_notice_ms = now_ms + interval_ms
        return InForce(version)

    def due(self, now_ms, *, reader, members, reachable):
        """Return the ``Heard`` to read the store for now, None if none is due.

        Followers wait longer, as their reader's beacons bring what it reads. All of a
        data centre together read as often as a reader.

        Args:
            now_ms: Current time.
            reader: Whether this balancer reads for its data centre.
            members: Number of balancers in the data centre.
            reachable: Whether this balancer or its reader reaches the store.
        """
        if self.heard is None:
            return None
        if not reachable:
            self.heard = self.heard._replace(since_ms=now_ms)
        delay_ms, pause_ms = READER_ARRIVAL_MS, self._pause_ms
        if not reader:
            spread_ms = RETRY_JITTER_PER_MEMBER_MS * members * self._spread
            delay_ms, pause_ms = ARRIVAL_MS + spread_ms, MAX_PAUSE_MS * members
        if now_ms - self.heard.since_ms < delay_ms:
            return None
        if self._read_ms is not None and now_ms - self._read_ms < pause_ms:
            return None
        return self.heard

    def on_reread(self, now_ms):
        """Record that the store is read again for the version heard.

        Returns:
            Whether it is read for this version for the first time.
        """
        version = self.heard.version
        is_first = version != self._sought
        self.heard = None  # a later announcement counts anew
        self._sought = version
        if self._read_ms is not None:
            self._pause_ms = min(2 * self._pause_ms, MAX_PAUSE_MS)
        self._read_ms = now_ms
        return is_first
