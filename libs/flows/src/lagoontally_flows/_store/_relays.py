"""Which members pass a reader's messages on to others.

Covers a reader's link in large data centres: it sends a change to some members, each of
which passes it on to a group. A relay acknowledges; without that the group gets the
message from the reader, which then doesn't use that relay for a while.
"""

from lagoontally_lean import Record

MIN_MEMBERS = 32  # with fewer the reader sends to each member itself
GROUP_SIZE = 8  # members with the relay; their hosts fit into the datagram
ACK_MS = 150  # two ticks of a busy relay
UNUSED_MS = 10_000  # after a missing acknowledgement
MAX_WAITING = 1_024  # unacknowledged messages; with more no relay is used


class Relayed(Record, fields="number hosts message"):
    """Asks a member to handle a message and to pass it on.

    Attributes:
        number: Number by which the relay acknowledges it.
        hosts: Hosts that it passes the message on to.
        message: The message.
    """

    __slots__ = ()


class RelayAck(Record, fields="number"):
    """Acknowledges a ``Relayed``."""

    __slots__ = ()


class Waiting(Record, fields="relay hosts message due_ms"):
    """A message whose relay hasn't acknowledged it yet."""

    __slots__ = ()


class Relays:
    """The relays of one reader.

    Attributes:
        waiting: ``Waiting`` by number.
        unused_until_ms: Until when a host isn't used as a relay, by host.
    """

    def __init__(self):
        self.waiting = {}
        self.unused_until_ms = {}
        self._number = 0

    def send(self, message, hosts, now_ms):
        """Return what to send so that a message reaches all members.

        Args:
            message: The message.
            hosts: Hosts of the members.
            now_ms: Current time.

        Returns:
            Pairs of a host and the message or a ``Relayed``.
        """
        hosts = sorted(hosts)
        if len(hosts) < MIN_MEMBERS or len(self.waiting) >= MAX_WAITING:
            return [(host, message) for host in hosts]
        sent = []
        for start in range(0, len(hosts), GROUP_SIZE):
            group = hosts[start : start + GROUP_SIZE]
            relay = next((one for one in group if self._is_usable(one, now_ms)), None)
            if relay is None or len(group) == 1:
                sent += [(host, message) for host in group]
            else:
                others = [host for host in group if host != relay]
                sent.append((relay, self._relayed(relay, others, message, now_ms)))
        return sent

    def on_ack(self, ack, host):
        """Handle a ``RelayAck``."""
        waiting = self.waiting.get(ack.number)
        if waiting is not None and waiting.relay == host:
            del self.waiting[ack.number]

    def on_tick(self, now_ms):
        """Give up waiting for relays that are late.

        Returns:
            Pairs of a host and a message to send to it. The relay is among them: its
            datagram may have been lost.
        """
        sent = []
        for number, waiting in list(self.waiting.items()):
            if now_ms >= waiting.due_ms:
                del self.waiting[number]
                self.unused_until_ms[waiting.relay] = now_ms + UNUSED_MS
                hosts = [waiting.relay, *waiting.hosts]
                sent += [(host, waiting.message) for host in hosts]
        return sent

    def _is_usable(self, host, now_ms):
        until_ms = self.unused_until_ms.get(host)
        if until_ms is None:
            return True
        if now_ms >= until_ms:
            del self.unused_until_ms[host]
        return now_ms >= until_ms

    def _relayed(self, relay, hosts, message, now_ms):
        self._number += 1
        due_ms = now_ms + ACK_MS
        self.waiting[self._number] = Waiting(relay, hosts, message, due_ms)
        return Relayed(self._number, hosts, message)
