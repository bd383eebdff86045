"""How many new flows a second a data centre's balancers send to a service.

Covers services whose targets together have too little room, in each data centre that
could help: callers beyond it are refused at once, so that those who are let in are
answered within the objective. Only queues that are deeper than the objective is long
need it: shallow ones refuse before callers wait too long, as each balancer sees itself.
"""

from lagoontally_lean import Record

WAIT_SHARE = 0.5  # of the time between the usual answer and the objective
ROOMY_SHARE = 1 / 3  # of the slots answer in time; above it no limit begins
QUEUED_PER_SLOT = 1.5  # requests in hand for each slot of a target without room
MIN_ANSWERS = 20  # of a service in a window; with fewer no limit begins
MIN_TARGET_ANSWERS = 3
DRAIN_MS = 500  # in which a limit lets queues shorten to the longest wait
MAX_CUT = 0.5
MAX_GROWTH = 0.4
MAX_UNUSED = 1.5  # a rate relative to what was let in
RATIO_WEIGHT = 0.05  # of the latest number of answers for each new flow


class TargetLoad(Record, fields="slots answers wait_ms per_s is_local"):
    """What the balancers of a data centre saw of a target lately.

    Attributes:
        slots: Its slots.
        answers: Number of answers that took work.
        wait_ms: Their mean time, 0 without any.
        per_s: Answers a second.
        is_local: Whether it is in the data centre of these balancers.
    """

    __slots__ = ()


class ServiceLoad(Record, fields="targets let_in_per_s sheds usual_ms objective_ms"):
    """What the balancers of a data centre saw of a service lately.

    Attributes:
        targets: ``TargetLoad`` of the targets that may be used.
        let_in_per_s: New flows a second that were let in.
        sheds: Whether others were refused for lack of room.
        usual_ms: Usual time of an answer, 0 if it isn't known.
        objective_ms: Time in which callers want theirs, 0 if none is stated.
    """

    __slots__ = ()

    @property
    def answers(self):
        """Number of answers that took work."""
        return sum(target.answers for target in self.targets)

    @property
    def served_per_s(self):
        """Answers a second that took work."""
        return sum(target.per_s for target in self.targets)


class AdmittedRate:
    """The rate of new flows that one service can take.

    Attributes:
        per_s: New flows a second, None while all are let in.
        answers_per_flow: Usual number of answers for each new flow, None until known.
    """

    def __init__(self):
        self.per_s = None
        self.answers_per_flow = None
        self._hold_until_ms = 0

    def update(self, load, *, room_elsewhere, now_ms):
        """Adjust the rate.

        Args:
            load: The ``ServiceLoad``.
            room_elsewhere: Whether other data centres can take what is too much here.
            now_ms: Current time.
        """
        longest_ms = longest_wait_ms(load.usual_ms, load.objective_ms)
        wait_ms = _median_wait_ms(load.targets)
        known = [
            target for target in load.targets if target.answers >= MIN_TARGET_ANSWERS
        ]
        in_time = [one for one in known if _answers_in_time(one, longest_ms)]
        roomy_share = _slots_share(in_time, known)
        enough = load.answers >= MIN_ANSWERS
        if enough and roomy_share <= ROOMY_SHARE and not room_elsewhere:
            if now_ms >= self._hold_until_ms:
                self._hold_until_ms = now_ms + DRAIN_MS + wait_ms
                self._cut(load, wait_ms - longest_ms)
        elif self.per_s is None:
            if enough and not load.sheds:
                self._learn(load)
        elif not load.sheds:
            self.per_s = None
        else:
            headroom = _headroom(wait_ms, load.usual_ms, longest_ms) if enough else 1.0
            self._grow(load, roomy_share * headroom)

    def _cut(self, load, excess_ms):
        """Let in what is served, less what waits too long."""
        cut = min(MAX_CUT, max(0.0, excess_ms) / DRAIN_MS)
        before = load.let_in_per_s if self.per_s is None else self.per_s
        flows_per_s = load.served_per_s / (self.answers_per_flow or 1.0)
        self.per_s = max(MAX_CUT * before, min(before, flows_per_s * (1.0 - cut)))

    def _grow(self, load, room):
        """Let in more, by the part of the room that there could be.

        A rate that isn't used up says nothing about what targets bear.
        """
        grown_per_s = self.per_s * (1.0 + MAX_GROWTH * room)
        most_per_s = MAX_UNUSED * load.let_in_per_s
        self.per_s = max(self.per_s, min(grown_per_s, most_per_s))

    def _learn(self, load):
        """Learn how many answers a new flow brings while all are let in."""
        if load.let_in_per_s <= 0:
            return
        ratio = load.served_per_s / load.let_in_per_s
        before = ratio if self.answers_per_flow is None else self.answers_per_flow
        self.answers_per_flow = before + RATIO_WEIGHT * (ratio - before)


def _answers_in_time(target, longest_ms):
    """Return whether callers of a target don't wait too long for a slot.

    Args:
        target: The ``TargetLoad``.
        longest_ms: Mean time beyond which it is too long, 0 for none.
    """
    if not longest_ms or target.wait_ms <= longest_ms:
        return True
    # If few requests wait for a slot, the target takes long for other reasons. In
    # another data centre that can't be told: its balancers send requests there, too.
    in_hand = target.per_s * target.wait_ms / 1_000
    return target.is_local and in_hand < QUEUED_PER_SLOT * target.slots


def _slots_share(targets, known):
    """Return the share of the slots of known targets that some have, 1 without any."""
    slots = sum(target.slots for target in known)
    return sum(target.slots for target in targets) / slots if slots else 1.0


def _headroom(wait_ms, usual_ms, longest_ms):
    """Return how far a wait is below the longest one: 1 at the usual one, 0 there."""
    if not longest_ms:
        return 1.0
    return min(1.0, max(0.0, (longest_ms - wait_ms) / (longest_ms - usual_ms)))


def _median_wait_ms(targets):
    """Return the wait that half of the slots don't exceed, 0 if none is known."""
    known = sorted((one.wait_ms, one.slots) for one in targets if one.answers)
    left = sum(slots for _, slots in known) / 2
    for wait_ms, slots in known:
        left -= slots
        if left <= 0:
            return wait_ms
    return 0


def longest_wait_ms(usual_ms, objective_ms):
    """Return the mean time that leaves most answers within the objective.

    Args:
        usual_ms: Usual time of an answer, 0 if it isn't known.
        objective_ms: Time in which callers want theirs, 0 if none is stated.

    Returns:
        0 for no bound. Where the usual time exceeds the objective, waiting for a slot
        costs most answers nothing.
    """
    if not usual_ms or objective_ms <= usual_ms:
        return 0
    return usual_ms + WAIT_SHARE * (objective_ms - usual_ms)
