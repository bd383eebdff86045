"""Timers in coarse buckets, so that adding one takes constant time."""

import heapq

BUCKET_MS = 50


class Timers:
    """Holds items until they are due.

    Attributes:
        buckets: The items of each bucket, by bucket number.
        order: Heap of the bucket numbers in use.
    """

    def __init__(self):
        self.buckets = {}
        self.order = []

    def add(self, due_ms, item):
        """Hold ``item`` until ``due_ms``, rounded up to a whole bucket."""
        number = -(-due_ms // BUCKET_MS)
        bucket = self.buckets.get(number)
        if bucket is None:
            self.buckets[number] = [item]
            heapq.heappush(self.order, number)
            return
        bucket.append(item)

    def take_due(self, now_ms):
        """Remove and return the items due at ``now_ms``, earliest first."""
        due = []
        while self.order and self.order[0] * BUCKET_MS <= now_ms:
            number = heapq.heappop(self.order)
            due.extend(self.buckets.pop(number))
        return due

    def next_due_ms(self):
        """Return when the next item is due, or None."""
        if not self.order:
            return None
        return self.order[0] * BUCKET_MS
