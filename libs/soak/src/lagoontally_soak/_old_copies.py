"""Restarts of emptied data centres that read copies from before the request."""

SHARE = 0.75  # of the requests
PRESENT_SHARE = 0.8  # of the restarts, in which old reads name the present revision
DELAY_S = (0.5, 1.5)  # until the balancers are killed
AWAY_S = (0.0, 0.5)
OLD_READS_S = 3.0
HELD_S = (5.0, 8.0)  # longer than restarts are an excuse
MARGIN_S = 0.05


class OldCopies:
    """Injects restarts after which an older copy must not undo an evacuation.

    Args:
        deployment: The ``Deployment``.
        series: The ``Series``, which restarts balancers.
        random: Seeded ``Random`` of its own.
    """

    def __init__(self, deployment, series, random):
        self.deployment = deployment
        self.series = series
        self.random = random

    def on_request(self, data_centre):
        """Plan a restart after some of the requests.

        Args:
            data_centre: The data centre that was emptied now.

        Returns:
            For how many seconds more the request has to hold.
        """
        random, loop = self.random, self.deployment.loop
        if random.random() >= SHARE:
            return 0.0
        delay_s, away_s = random.uniform(*DELAY_S), random.uniform(*AWAY_S)
        names_present = random.random() < PRESENT_SHARE
        requested_at = loop.now
        balancers = self.series.balancers_of((data_centre,))

        def read_from_before():
            self._read_from_before(requested_at, names_present=names_present)

        loop.after(delay_s, lambda: self.series.restart(balancers, away_s))
        loop.after(delay_s + away_s, read_from_before)  # as they start
        return random.uniform(*HELD_S)

    def _read_from_before(self, requested_at, *, names_present):
        """Answer reads that may be old as if the request hadn't been made.

        Args:
            requested_at: When it was made.
            names_present: Whether such reads name the store's present revision.
        """
        store, loop = self.deployment.store, self.deployment.loop

        def age_s(_host):
            return loop.now - requested_at + MARGIN_S

        def end():
            if store.stale_s is age_s:
                store.stale_s = 0.0

        store.stale_s, store.stale_as_of_present = age_s, names_present
        loop.after(OLD_READS_S, end)
