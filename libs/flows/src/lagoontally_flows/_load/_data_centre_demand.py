"""Demand for each service by data centre, as a reader measures and hears it.

Covers bursts of one data centre's callers. Demand is the slots that callers keep busy:
new flows a second times the usual time of an answer.
"""

DEMAND_LIFETIME_MS = 3_000  # of what another data centre told
SMOOTHING = 0.5  # weight of the latest sample in the moving average of arrivals
WAIT_SMOOTHING = 0.025  # the same, in the moving average of answer times
MAX_WAIT_FACTOR = 2.0
TOLD_LOAD = 0.5  # of the slots; below it a data centre says nothing
REFRESH_MS = 500
MAX_DATA_CENTRES = 64  # bounds memory, since anyone can send a digest


class DataCentreDemand:
    """New flows by service, turned into busy slots.

    Attributes:
        busy: Slots that the callers of this data centre keep busy, by service.
        latest: The same by the latest measurement alone, where it is more, with those
            who were refused for lack of room.
    """

    def __init__(self):
        self.busy = {}
        self.latest = {}
        self._arrivals = {}
        self._refused = {}
        self._rates = {}
        self._waits = {}
        self._heard = {}
        self._updated_ms = None

    def on_arrivals(self, arrivals):
        """Record the new flows in a balancer's report."""
        for service, let_in, refused in arrivals:
            self._arrivals[service] = self._arrivals.get(service, 0) + let_in
            self._refused[service] = self._refused.get(service, 0) + refused

    def on_digest(self, digest, now_ms):
        """Record what another data centre told; see ``DemandDigest``."""
        if len(self._heard) < MAX_DATA_CENTRES or digest.data_centre in self._heard:
            told = {service: told for service, *told in digest.demands}
            self._heard[digest.data_centre] = (told, now_ms)

    def update(self, usual_waits, now_ms):
        """Recompute ``busy``.

        Args:
            usual_waits: Usual time of an answer in milliseconds, by service.
            now_ms: Current time.

        Returns:
            Whether it was recomputed; it isn't more than once in ``REFRESH_MS``.
        """
        if self._updated_ms is None:
            self._updated_ms = now_ms
        elapsed_ms = now_ms - self._updated_ms
        if elapsed_ms < REFRESH_MS:
            return False
        self._updated_ms = now_ms
        rates = {}
        for service in self._rates.keys() | self._arrivals.keys():
            rate = self._arrivals.get(service, 0) / elapsed_ms
            rates[service] = rate + self._refused.get(service, 0) / elapsed_ms
            before = self._rates.get(service, rate)
            self._rates[service] = before + SMOOTHING * (rate - before)
        self._arrivals, self._refused = {}, {}
        for service, wait_ms in usual_waits.items():
            before = self._waits.setdefault(service, wait_ms)
            latest = min(wait_ms, MAX_WAIT_FACTOR * before)
            self._waits[service] = before + WAIT_SMOOTHING * (latest - before)
        self.busy = {
            service: rate * self._waits.get(service, 0)
            for service, rate in self._rates.items()
        }
        self.latest = {
            service: max(busy, rates[service] * self._waits.get(service, 0))
            for service, busy in self.busy.items()
        }
        return True

    def by_data_centre(self, service, own, now_ms):
        """Return the known demand for a service by data centre."""
        demands = {name: busy for name, (busy, _) in self._told(service, now_ms)}
        demands[own] = self.busy.get(service, 0.0)
        return demands

    def told_capacities(self, service, now_ms):
        """Return the slots of a service that other data centres told, by name."""
        return {name: slots for name, (_, slots) in self._told(service, now_ms)}

    def _told(self, service, now_ms):
        """Return what other data centres told: pairs of a name and two numbers."""
        return [
            (name, told[service])
            for name, (told, heard_ms) in self._heard.items()
            if service in told and now_ms - heard_ms <= DEMAND_LIFETIME_MS
        ]

    def to_tell(self, capacities):
        """Return what others must know; see ``DemandDigest.demands``.

        Args:
            capacities: Own usable slots by service.
        """
        loaded = any(
            busy >= TOLD_LOAD * capacities.get(service, 0) and busy >= 1
            for service, busy in self.busy.items()
        )
        if not loaded:
            return []
        return [
            (service, round(busy, 1), round(capacities.get(service, 0), 1))
            for service, busy in self.busy.items()
        ]
