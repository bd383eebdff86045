"""Collects the parts of messages that are split over several datagrams."""

MAX_INCOMPLETE = 16  # from a few senders; what is dropped is fetched later


class PartCollector:
    """Parts of messages that are not complete yet."""

    def __init__(self):
        self._incomplete = {}

    def add(self, message_id, *, part, parts, items):
        """Add one part.

        Args:
            message_id: Identifies the message; equal for all of its parts.
            part: Index of the part, from 0.
            parts: Number of parts.
            items: List of what the part contains.

        Returns:
            The items of all parts in order, or None until the last one arrives.
        """
        if len(self._incomplete) > MAX_INCOMPLETE:
            self._incomplete.clear()
        received = self._incomplete.setdefault(message_id, {})
        received[part] = items
        if len(received) < parts:
            return None
        del self._incomplete[message_id]
        return [item for index in sorted(received) for item in received[index]]

    def keep(self, is_needed):
        """Drop the incomplete messages for whose id a function returns false."""
        found = self._incomplete.items()
        self._incomplete = {key: parts for key, parts in found if is_needed(key)}

    def clear(self):
        """Drop all incomplete messages."""
        self._incomplete.clear()
