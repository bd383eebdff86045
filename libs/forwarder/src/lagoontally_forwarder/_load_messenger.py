"""Messages about load: reports to the reader, its advice, digests for other readers."""

from lagoontally_flows import DemandDigest, LoadAdvice, LoadReport

RANK_INTERVAL_MS = 1_000


class LoadMessenger:
    """Sends and receives what ``LoadSharing`` tells and hears.

    Args:
        balancer: The ``Balancer``.
        peers: The ``Peers``.
        log: The ``Log``.

    Attributes:
        reader_host: Host of the reader that was heard last, or None.
    """

    def __init__(self, balancer, *, peers, log):
        self.sharing = balancer.load_sharing
        self.order = balancer.target_selector.order
        self.peers = peers
        self.log = log
        self.reader_host = None
        self._next_rank_ms = 0
        peers.on_load_message = self._on_message

    def on_tick(self, now_ms, *, reader):
        """Send the messages that are due.

        Args:
            now_ms: Current time.
            reader: Whether this balancer reads for its data centre.
        """
        members = len(self.peers.members) + 1
        if now_ms >= self._next_rank_ms:
            self._next_rank_ms = now_ms + RANK_INTERVAL_MS
            self._update_rank()
        report = self.sharing.take_report(now_ms, members=members)
        if report is not None:
            if reader:
                self.sharing.on_report(report, self.peers.settings.host, now_ms)
            elif self.reader_host is not None:
                self.peers.send(report, self.reader_host)
        advice, digest, events = self.sharing.advise(now_ms, reader=reader)
        if advice is not None:
            self.peers.broadcast(advice)
        if digest is not None:
            self.peers.send_to_seeds(digest)
        for event in events:
            self.log.line(event.event, **dict(event.fields))

    def gauges(self):
        """Return gauges of what is set aside and spilled, for the metrics."""
        return self.sharing.gauges()

    def _update_rank(self):
        """Set this balancer's place among the members, once there are any."""
        own = self.peers.settings.host
        if self.peers.members:
            self.order.rank = sum(host < own for host in self.peers.members)

    def _on_message(self, message, host):
        now_ms = self.peers.loop.clock()
        if isinstance(message, LoadReport):
            self.sharing.on_report(message, host, now_ms)
        elif isinstance(message, LoadAdvice):
            self.sharing.advice.on_advice(message, now_ms)
        elif isinstance(message, DemandDigest):
            for reader in self.sharing.on_digest(message, host, now_ms):
                self.peers.send(message._replace(passed_on=True), reader)
