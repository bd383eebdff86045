"""Limits the new flows of targets that warm up, over all balancers together.

Covers targets that return one by one or all at once: a target without flows is the
first choice of every balancer, and gets more than it bears while it is slow.

Balancers share no state, so the budget of a target is divided by what each knows of its
data centre's members: rendezvous hashing ranks them for the target, and the first ones
own a fixed part each. Targets of other data centres are left to the balancers there. A
balancer that knows too many members takes too little. One that misses some may take a
part that isn't its own, so the parts make up half of the budget: two different views of
the membership at the same time keep it. A balancer without a settled view takes none.
"""

from _blake2 import blake2s  # ``hashlib`` loads OpenSSL at startup

from .._targets import WarmUps

WINDOW_MS = 1_050  # a second, and the time between a reading of the clock and a SYN


class WarmUpBudgets:
    """The parts of this balancer in the budgets of targets that warm up.

    Without a bound all targets are admitted, as are those of services that the
    configuration doesn't describe. Where a service states a rate of 0, its targets are
    only used sparingly: they still get flows that no other target can take.

    Args:
        data_centre: This balancer's data centre.

    Attributes:
        warm_ups: How long targets warm up.
        host: This balancer's host.
        excess: Factor by which the requests of a target may exceed the rate that its
            service states, None for no bound.
        slack: Requests within any second that it may get besides.
        held_back: Number of selections in which targets were left out.
    """

    def __init__(self, data_centre):
        self.warm_ups = WarmUps()
        self.data_centre = data_centre
        self.host = ""
        self.excess = None
        self.slack = 0
        self.held_back = 0
        self._members = None
        self._shares = {}
        self._shares_for = None
        self._sent_ms = {}

    def set_bounds(self, host, *, excess, slack):
        """Take over this balancer's host and the bounds that its settings state."""
        self.host, self.excess, self.slack = host, excess, slack or 0
        self._shares.clear()

    def on_members(self, members, *, settled):
        """Take over the hosts of the other balancers in this data centre.

        Args:
            members: The hosts.
            settled: Whether the members know this balancer, as it knows them.
        """
        members = frozenset(members) if settled else None
        if members != self._members:
            self._members = members
            self._shares.clear()

    def admitted(self, targets, now_ms):
        """Return the targets that may get a new flow now."""
        if self.excess is None or not self.warm_ups.may_warm_up(now_ms):
            return targets
        may_warm_up = self.warm_ups.cookies()
        admitted = [
            target
            for target in targets
            if target.cookie not in may_warm_up or self.admits(target, now_ms)
        ]
        if len(admitted) == len(targets):
            return targets
        self.held_back += 1
        return admitted or [one for one in targets if not self._is_strict(one)]

    def admits(self, target, now_ms):
        """Return whether a target is warm or this balancer's part has room."""
        if not self._is_limited(target, now_ms):
            return True
        share = self._share(target)
        return share > 0 and len(self._recent(target.cookie, now_ms)) < share

    def take(self, target, now_ms):
        """Count a SYN that is about to be sent to a target.

        Returns:
            False if it would exceed this balancer's part, and must not be sent.
        """
        if not self._is_limited(target, now_ms):
            return True
        if self._is_strict(target) and not self.admits(target, now_ms):
            return False
        self._recent(target.cookie, now_ms).append(now_ms)
        return True

    def warming_up(self, targets, now_ms):
        """Return how many of the targets, which are alive, are limited."""
        return sum(self._is_limited(target, now_ms) for target in targets)

    def on_tick(self, now_ms):
        """Drop what was sent too long ago to count."""
        for cookie in list(self._sent_ms):
            if not self._recent(cookie, now_ms):
                del self._sent_ms[cookie]

    def _is_limited(self, target, now_ms):
        return (
            self.excess is not None
            and target.service in self.warm_ups.services
            and self.warm_ups.may_warm_up(now_ms)
            and self.warm_ups.left_ms(target, now_ms) > 0
        )

    def _is_strict(self, target):
        """Return whether the target's service states what a cold target bears."""
        return self.warm_ups.services[target.service].warm_up_per_s > 0

    def _recent(self, cookie, now_ms):
        sent_ms = self._sent_ms.setdefault(cookie, [])
        while sent_ms and now_ms - sent_ms[0] >= WINDOW_MS:
            del sent_ms[0]
        return sent_ms

    def _share(self, target):
        """Return the SYNs that this balancer may send to a target in any second."""
        if self._members is None or target.data_centre != self.data_centre:
            return 0
        services = self.warm_ups.services
        if self._shares_for is not services:
            self._shares_for = services
            self._shares.clear()
        share = self._shares.get(target.cookie)
        if share is None:
            total = divided_budget(
                services[target.service].warm_up_per_s, self.excess, self.slack
            )
            share = _share(self.host, self._members, target.cookie, total)
            self._shares[target.cookie] = share
        return share


def divided_budget(per_s, excess, slack):
    """Return how many requests a second are divided among the owners of a target.

    Args:
        per_s: Requests a second that the target bears.
        excess: Factor by which they may be exceeded.
        slack: Requests that it may get besides.

    Returns:
        Half of what is allowed, so that the owners by two views of the membership keep
        the bound together, and no more than the target bears or the slack holds.
    """
    return int(min((per_s * excess + slack) / 2, max(per_s, slack)))


def _share(host, members, cookie, total):
    """Return the part of one balancer in a target's budget, 0 if it owns none."""
    own = _weight(host, cookie)
    rank = sum(_weight(member, cookie) > own for member in members if member != host)
    owners = min(total, len(members) + (host not in members))
    if rank >= owners:
        return 0
    return total // owners + (rank < total % owners)


def _weight(host, cookie):
    return blake2s(f"{host} {cookie}".encode(), digest_size=8).digest()
