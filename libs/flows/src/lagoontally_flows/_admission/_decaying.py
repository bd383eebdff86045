"""A count that loses half of its value each half-life."""


class DecayingCount:
    """A count that decays with time.

    Args:
        half_life_ms: Time in which it loses half of its value.
    """

    __slots__ = ("half_life_ms", "_at_ms", "_value")

    def __init__(self, half_life_ms):
        self.half_life_ms = half_life_ms
        self._value = 0.0
        self._at_ms = 0

    def add(self, now_ms, amount=1.0):
        """Add an amount at a time."""
        self._value = self.value(now_ms) + amount
        self._at_ms = now_ms

    def value(self, now_ms):
        """Return what is left at a time."""
        if not self._value:
            return 0.0
        return self._value * 0.5 ** ((now_ms - self._at_ms) / self.half_life_ms)

    def clear(self):
        """Forget all additions."""
        self._value = 0.0

    def rate_per_s(self, now_ms):
        """Return the additions a second that sustain the value."""
        return self.value(now_ms) * 693.147 / self.half_life_ms
