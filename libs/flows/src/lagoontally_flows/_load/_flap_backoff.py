"""How long a target that fails again and again stays set aside.

Covers targets that go down and up, or slow and fast, by turns: each return sends them
flows that the next fault breaks or delays. A single fault costs no time; each further
one doubles it, and time without a fault shortens it again.
"""

FREE_FAULTS = 1  # more than the targets of its service usually have
FIRST_HOLD_MS = 2_000
MAX_HOLD_MS = 16_000
MAX_FAULTS = 8  # more would take minutes to forget and lengthen nothing
FORGIVE_MS = 15_000  # without a fault, for each fault that is forgotten
GOOD_JUDGEMENTS = 4  # in a row that end a fault


class FaultRecord:
    """Faults of the target at one address.

    Attributes:
        cookie: Cookie of the target that was last listed there.
        faults: Number of faults that aren't forgotten.
        is_bad: Whether the latest fault lasts.
        good_judgements: Number of good ones since the latest bad one.
        bad_ms: When the target was last bad, or None.
        counted_ms: When the target was last bad or a fault was forgotten.
    """

    __slots__ = (
        "cookie",
        "faults",
        "is_bad",
        "good_judgements",
        "bad_ms",
        "counted_ms",
    )

    def __init__(self, cookie, now_ms):
        self.cookie = cookie
        self.faults = 0
        self.is_bad = False
        self.good_judgements = 0
        self.bad_ms = None
        self.counted_ms = now_ms


class FlapBackoff:
    """Which targets stay set aside because of repeated faults.

    A target that restarts mostly has another id and cookie, so faults are counted by
    service and address. One that leaves as planned takes its faults along.

    Attributes:
        held: Faults by cookie, of targets that stay set aside. Includes bad ones, so
            that all balancers know before the first one finds them good.
    """

    def __init__(self):
        self.held = {}
        self._records = {}

    def update(self, targets, *, bad, good, now_ms):
        """Recompute ``held``.

        Args:
            targets: The listed ``Target`` records, also those that are leaving.
            bad: Cookies of targets that are dead or slow.
            good: Cookies of targets that are known to be neither.
            now_ms: Current time.
        """
        self.held = {}
        groups = {}
        for target in targets:
            key = (target.service, target.address)
            if target.leaving:
                self._records.pop(key, None)
                continue
            record = self._records.get(key)
            if record is None:
                record = self._records[key] = FaultRecord(target.cookie, now_ms)
            restarted = record.cookie != target.cookie
            record.cookie = target.cookie
            if target.cookie in bad or (restarted and not record.is_bad):
                _on_bad(record, now_ms)
            elif target.cookie in good:
                record.good_judgements += 1
                record.is_bad &= record.good_judgements < GOOD_JUDGEMENTS
            group = groups.setdefault((target.service, target.data_centre), [])
            group.append(record)
        for group in groups.values():
            self._hold(group, now_ms)
        self._forget(now_ms)

    def _hold(self, group, now_ms):
        """Find the targets of a group that fail more often than the others."""
        usual = sorted(record.faults for record in group)[(len(group) - 1) // 2]
        for record in group:
            pause_ms = hold_ms(record.faults - usual - FREE_FAULTS)
            if record.bad_ms is not None and now_ms - record.bad_ms < pause_ms:
                self.held[record.cookie] = record.faults

    def _forget(self, now_ms):
        """Forget one fault of each target that had none for long."""
        for key, record in list(self._records.items()):
            if now_ms - record.counted_ms < FORGIVE_MS:
                continue
            record.faults = max(0, record.faults - 1)
            record.counted_ms = now_ms
            if not record.faults:
                del self._records[key]


def hold_ms(excess):
    """Return how long a target stays set aside after a fault.

    Args:
        excess: Number of its faults above those that cost no time.
    """
    if excess <= 0:
        return 0
    doublings = min(excess - 1, (MAX_HOLD_MS // FIRST_HOLD_MS).bit_length())
    return min(MAX_HOLD_MS, FIRST_HOLD_MS << doublings)


def _on_bad(record, now_ms):
    record.good_judgements = 0
    record.bad_ms = record.counted_ms = now_ms
    if not record.is_bad:
        record.is_bad = True
        record.faults = min(MAX_FAULTS, record.faults + 1)
