"""Cookies in packets that belong to no listed target.

Covers entries that are slow to arrive: a target that isn't known yet mustn't be taken
for one that is gone.
"""

from ._cookie import unconfirmed

ARRIVAL_MS = 1_500  # the entry of a new target arrives in this time
MAX_COOKIES = 1_024


class UnknownCookies:
    """When each unknown cookie was seen first."""

    def __init__(self):
        self._since_ms = {}

    def is_gone(self, cookie, now_ms, confirmed_ms):
        """Return whether the target of a cookie is known to be gone.

        Args:
            cookie: The cookie, which has just been seen.
            now_ms: Current time.
            confirmed_ms: When the listed targets were last known to be current, or
                None.
        """
        since_ms = self._since_ms.setdefault(cookie, now_ms)
        if len(self._since_ms) > MAX_COOKIES:
            self._since_ms.clear()
        return confirmed_ms is not None and confirmed_ms - since_ms >= ARRIVAL_MS

    def forget(self, cookie):
        """Forget a cookie whose target is listed."""
        self._since_ms.pop(cookie, None)
        self._since_ms.pop(unconfirmed(cookie), None)
