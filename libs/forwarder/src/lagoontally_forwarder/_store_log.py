"""Logs and counts what a balancer learned from the store and from peers."""


class StoreLog:
    """Log lines and counters about the store, its history and the configuration.

    Args:
        log: The ``Log``.
        metrics: The ``Metrics``.
        history: The ``StoreHistory``.
        balancer: The ``Balancer``.
    """

    def __init__(self, *, log, metrics, history, balancer):
        self.log = log
        self.metrics = metrics
        self.history = history
        self.balancer = balancer
        self._reachable = True

    def answered(self, listing, call_ms):
        """Record a usable response and the documents in it that can't be used."""
        self.metrics.add("store_calls", "answered")
        self.metrics.observe_ms("store_call", call_ms)
        if not self._reachable:
            self._reachable = True
            self.log.line("store_regained", revision=listing.revision)
        for key, reason in listing.faults:
            self.metrics.add("documents_refused", reason.partition(" ")[0])
            self.log.line("document_refused", key=key, reason=reason)

    def failed(self, reason, now_ms):
        """Record a call without a usable response."""
        self.metrics.add("store_calls", reason)
        if self._reachable:
            self._reachable = False
            self.log.line(
                "store_lost", reason=reason, **self.balancer.state_summary(now_ms)
            )

    def read(self, pages):
        """Record a complete read, the ``Pages``."""
        self.log.line(
            "store_read",
            prefix=pages.prefix,
            may_be_old=pages.may_be_old,
            revision=pages.revision,
            newest=pages.newest,
        )

    def change_missed(self, prefix, *, written, known):
        """Record a change that was unknown although its revision counted as known.

        Args:
            prefix: Prefix of the keys that were read.
            written: Revision of the change.
            known: ``Position`` up to which all changes were known.
        """
        self.metrics.add("store_changes_missed", prefix)
        self.log.line(
            "store_change_missed", prefix=prefix, written=written, known=known
        )

    def era_began(self, previous):
        """Record that a response named a new era."""
        self.metrics.add("store_eras", "store")
        self.log.line("store_era", era=self.history.era, previous=previous)

    def history_gone(self):
        """Record that the store no longer has the changes after the position."""
        self.metrics.add("store_calls", "history_gone")
        self.log.line("store_history_gone", position=self.history.position)

    def restored(self, previous, *, changed, kept, source):
        """Record a view that was taken over from a restored copy of the store.

        Args:
            previous: ``Position`` of the view before.
            changed: Number of entries that have changed.
            kept: Number of listed targets that the copy lacks.
            source: ``store`` or ``peer``.
        """
        position = self.history.view
        if previous.era and (position.era, position.step) != (
            previous.era,
            previous.step,
        ):
            self.log.line(
                "store_restored",
                position=position,
                previous=previous,
                changed=changed,
                kept=kept,
                source=source,
            )

    def peer_fetched(self, peer, path, *, succeeded):
        """Record the outcome of a fetch from a peer."""
        outcome = "taken" if succeeded else "failed"
        self.metrics.add("peer_fetches", outcome)
        self.log.line("peer_fetch", peer=peer, path=path, outcome=outcome)

    def configured(self, configuration, *, source, written, digest, behind_ms):
        """Record that a configuration took effect.

        Args:
            configuration: The ``Configuration``.
            source: ``store``, ``peer`` or ``delta``.
            written: Revision at which the store wrote it, None if a peer sent it.
            digest: Digest of its routes.
            behind_ms: How long ago a beacon announced a version that wasn't in force
                here, None if none did.
        """
        if behind_ms is not None:
            self.metrics.observe_ms("configuration_lag", behind_ms)
        self.log.line(
            "configuration_in_force",
            version=configuration.version,
            routes=len(configuration.routes),
            source=source,
            written=written,
            digest=f"{digest:08x}",
            behind_ms=behind_ms,
        )
