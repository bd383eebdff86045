"""Reads the store again for what balancers of other data centres know."""


class Rereads:
    """Acts on what contradicts the knowledge of this balancer.

    Args:
        store_sync: The ``StoreSync``.
        version_check: The ``VersionCheck``.
        peers: The ``Peers``, which tell the version in force here.
        log: The ``Log``.
        metrics: The ``Metrics``.
    """

    def __init__(self, *, store_sync, version_check, peers, log, metrics):
        self.store_sync = store_sync
        self.version_check = version_check
        self.peers = peers
        self.log = log
        self.metrics = metrics

    def on_tick(self, now_ms):
        """Read the store again if that is due."""
        self._check_version(now_ms)
        self._check_evacuations(now_ms)

    def _check_version(self, now_ms):
        """Read again if others have a configuration that is missing here."""
        store_sync, check = self.store_sync, self.version_check
        self.peers.version = version = store_sync.configuration_version
        check.on_own(version, now_ms)
        heard = check.due(
            now_ms,
            reader=store_sync.reader,
            members=store_sync.members,
            reachable=store_sync.reaches_store(now_ms),
        )
        position = store_sync.history.position
        if heard is None or not store_sync.reread():
            return
        if check.on_reread(now_ms):
            self.metrics.add(
                "configuration_behind", "reader" if store_sync.reader else "follower"
            )
            self.log.line(
                "configuration_behind",
                heard=heard.version,
                host=heard.host,
                own=version,
                since_ms=now_ms - heard.since_ms,
                reader=store_sync.reader,
                position=position,
            )

    def _check_evacuations(self, now_ms):
        """Read again if others contradict the evacuations known here.

        Followers take theirs from the reader.
        """
        store_sync, check = self.store_sync, self.store_sync.evacuations.check
        since_ms, position = check.since_ms, store_sync.history.position
        if not store_sync.reader or not check.is_due(now_ms):
            return
        if store_sync.reread():
            check.on_reread(now_ms)
            self.metrics.add("evacuations_contradicted", "reader")
            self.log.line(
                "evacuations_contradicted",
                since_ms=now_ms - since_ms,
                position=position,
            )
