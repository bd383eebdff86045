"""Puts configurations in force and sends their changes to the members."""

from lagoontally_flows import ConfigurationDeltas, configuration_delta, digest

from ._messages import split_configuration_delta


class ConfigurationUpdates:
    """The configuration in force, and how it was updated.

    Args:
        store_sync: The ``StoreSync``.
        balancer: The ``Balancer`` that applies it.
        peers: The ``Peers`` that receive changes from a reader.
        store_log: The ``StoreLog``.
        clock: Function that returns milliseconds.
    """

    def __init__(self, *, store_sync, balancer, peers, store_log, clock):
        self.store_sync = store_sync
        self.balancer = balancer
        self.peers = peers
        self.store_log = store_log
        self.clock = clock
        self._deltas = ConfigurationDeltas()
        self._digest = 0

    def on_delta(self, delta):
        """Handle a change that a reader sent."""
        configuration = self._deltas.apply(
            self.balancer.configuration, delta, digest=self._digest
        )
        if configuration is not None:
            self.apply(configuration, "delta", routes_digest=delta.digest)

    def apply(self, configuration, source, *, written=None, routes_digest=None):
        """Put a configuration in force unless the same or a newer one is.

        Args:
            configuration: The ``Configuration``, or None.
            source: ``store``, ``peer`` or ``delta``.
            written: Revision at which the store wrote it, None if a peer sent it.
            routes_digest: Digest of its routes, None to compute it.
        """
        if configuration is None:
            return
        previous = self.balancer.configuration
        if not self.balancer.configure(configuration):
            return
        if routes_digest is None:
            routes_digest = digest(configuration.routes)
        self._digest = routes_digest
        if source == "store":
            self._announce(previous, configuration)
        self.store_log.configured(
            configuration,
            source=source,
            written=written,
            digest=routes_digest,
            behind_ms=self._behind_ms(),
        )
        self.store_sync.on_configuration(
            configuration.version, len(configuration.routes)
        )

    def _behind_ms(self):
        """Return how long a newer version has been announced, None if none is."""
        since_ms = self.store_sync.behind_since_ms
        return None if since_ms is None else self.clock() - since_ms

    def _announce(self, previous, configuration):
        """Send a change to the members if this balancer is the reader."""
        if not self.store_sync.reader:
            return
        delta = configuration_delta(
            previous,
            configuration,
            reader=self.store_sync.priority,
            digest=self._digest,
        )
        if delta is not None:
            for part in split_configuration_delta(delta):
                self.peers.broadcast(part)
