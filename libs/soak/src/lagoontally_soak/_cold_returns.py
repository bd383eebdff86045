"""Cold targets during a soak test, and what they got.

Targets that start, and those whose data centre returns from an evacuation, say for how
long they are cold. The services state what a cold target bears.
"""

from typing import NamedTuple

from lagoontally_standins.packets import bearing

from ._disturbances import STORE
from ._violation import Violation

PROMISE = "a cold target gets no more than it bears"
WARM_UP_S = (3.0, 5.0)
PER_S, EXCESS, SLACK = (2, 3, 4), (1.0, 1.5), 2
WINDOW_S = 1.0
# A target that returns is cold if its evacuation was known and it got no flow.
IDLE_S = 1.0
HEARTBEAT_S = 1.2
MAX_LAG_S = 0.3  # what arrives while the stand-ins run later has no known time
SCARCITY_S = 0.5  # length of each record that a service has only cold targets
EXCUSE_WINDOW_S = 4.0  # a restart this long before an opening excuses it


class ColdSpell(NamedTuple):
    """A time in which a target was cold.

    Attributes:
        target_id: The target's id.
        began: When it began.
        ended: When the target was warm.
        returned: Whether its data centre returned, else it had started.
    """

    target_id: str
    began: float
    ended: float
    returned: bool


class ColdReturns:
    """Makes targets cold that start or return.

    Args:
        deployment: The ``Deployment``, whose balancers haven't started.
        disturbances: The ``Disturbances`` of the run.
        random: Seeded ``Random`` of its own.

    Attributes:
        spells: Every ``ColdSpell``.
        lags: Start and end of each time in which the stand-ins didn't run.
        limit: Most SYNs that a cold target may get in any second.
        warm_up_s: How long a target is cold.
    """

    def __init__(self, deployment, disturbances, random):
        self.deployment = deployment
        self.disturbances = disturbances
        self.random = random
        self.spells = []
        self.lags = []
        self.warm_up_s = round(random.uniform(*WARM_UP_S), 3)
        self.per_s, self.excess = random.choice(PER_S), random.choice(EXCESS)
        self.limit = self.per_s * self.excess + SLACK
        self._started = set(deployment.targets)
        self._ticked_at = None

    def set_up(self):
        """State what cold targets bear, and make targets that start cold."""
        deployment = self.deployment
        stated = bearing(warm_up_s=self.warm_up_s, per_s=self.per_s)
        deployment.services = [one | stated for one in deployment.services]
        deployment.publish()
        for balancer in deployment.balancers.values():
            bounds = {"warm_up_excess": self.excess, "warm_up_slack": SLACK}
            balancer.settings.update(bounds)
            balancer.write_settings()
        deployment.warm_up_s = self.warm_up_s

    def on_tick(self):
        """Record targets that started, and services that have only cold targets."""
        deployment, now = self.deployment, self.deployment.loop.now
        if not deployment.warm_up_s:
            return
        if self._ticked_at is not None and now - self._ticked_at > MAX_LAG_S:
            self.lags.append((self._ticked_at, now))
        self._ticked_at = now
        for target_id in deployment.targets.keys() - self._started:
            self._started.add(target_id)
            started_at = deployment.targets[target_id][1].started_at
            self._begin(target_id, started_at, delay_s=HEARTBEAT_S)
        self._record_scarcity(now)

    def on_return(self, data_centres, requested_at):
        """Make the targets of data centres cold that return from an evacuation.

        Unless the store was away for all of it, so that no balancer knew of it.
        """
        deployment, now = self.deployment, self.deployment.loop.now
        was_away = any(
            item.subject == STORE
            and item.start <= requested_at
            and item.end >= now - IDLE_S
            for item in self.disturbances.items
        )
        if was_away or not deployment.warm_up_s:
            return
        for target_id, (index, target) in deployment.targets.items():
            returned = deployment.data_centres[index] in data_centres
            if not returned or target.sock is None:
                continue
            if any(arrival.at > now - IDLE_S for arrival in target.syns):
                continue
            delay_s = self.random.uniform(0.0, HEARTBEAT_S)
            self._begin(target_id, now, delay_s=delay_s, returned=True)

    def is_any_cold(self):
        """Return whether a target is cold."""
        now = self.deployment.loop.now
        return any(spell.began <= now < spell.ended for spell in self.spells)

    def was_scarce(self, service, start, end):
        """Return whether balancers may know only cold targets between two times.

        One that learns of a return late counts the whole warm-up from then.
        """
        start -= self.warm_up_s
        return self.disturbances.any_between((_scarcity(service),), start, end)

    def violations(self, targets, balancer_at):
        """Yield a violation for each spell in which a target got too much in a second.

        Args:
            targets: Every target that ever ran, by id.
            balancer_at: Function of a host that returns its balancer's name.
        """
        for spell in self.spells:
            most, at = _most_in_window(
                [
                    arrival.at
                    for arrival in targets[spell.target_id].syns
                    if spell.began <= arrival.at < spell.ended
                    and not self._has_lagged(arrival.at)
                    and not self._is_excused(spell, balancer_at(arrival.host), arrival)
                ]
            )
            if most <= self.limit:
                continue
            detail = f"{spell.target_id} got {most} of {self.limit} from {at:.3f} s, "
            detail += f"{at - spell.began:.2f} s after it "
            detail += "returned" if spell.returned else "started"
            yield Violation(PROMISE, detail)

    def _begin(self, target_id, at, *, delay_s, returned=False):
        spell = ColdSpell(target_id, at, at + self.warm_up_s, returned)
        self.spells.append(spell)
        self.deployment.loop.after(delay_s, lambda: self._write(spell))

    def _write(self, spell):
        """State what is left of a warm-up in the target's entry, until it is over."""
        deployment, target_id = self.deployment, spell.target_id
        if target_id not in deployment.targets:
            return
        target = deployment.targets[target_id][1]
        if target.sock is None:
            return
        ends = [one.ended for one in self.spells if one.target_id == target_id]
        left_s = max(0.0, max(ends) - deployment.loop.now)
        target.warm_up_ms = round(1_000 * left_s)
        deployment.register(target_id, deployment.states[target_id])
        if left_s:
            deployment.loop.after(HEARTBEAT_S, lambda: self._write(spell))

    def _is_excused(self, spell, balancer, arrival):
        """Return whether a balancer may not know that the target returned.

        One that restarts may read a copy from before the evacuation. The entry of a
        target that started always tells that it is cold.
        """
        start, end = arrival.at - EXCUSE_WINDOW_S, arrival.at
        return spell.returned and self.disturbances.any_between((balancer,), start, end)

    def _has_lagged(self, at):
        return any(start <= at <= end + MAX_LAG_S for start, end in self.lags)

    def _record_scarcity(self, now):
        """Record the services whose callers no warm target may serve."""
        deployment = self.deployment
        cold = {one.target_id for one in self.spells if now < one.ended}
        warm = {
            target.service
            for target_id, (index, target) in deployment.targets.items()
            if target_id not in cold
            and target.sock is not None
            and not target.silent
            and deployment.states[target_id] == "ready"
            and deployment.data_centres[index] not in deployment.evacuated
        }
        for document in deployment.services:
            subject = _scarcity(document["name"])
            known = self.disturbances.any_between((subject,), now, now)
            if document["name"] not in warm and not known:
                self.disturbances.record(subject, now, now + SCARCITY_S)


def _scarcity(service):
    return f"{service}, only cold targets"


def _most_in_window(times):
    """Return the most of some times within any second, and where that begins."""
    most, at, first = 0, 0.0, 0
    times = sorted(times)
    for last, time in enumerate(times):
        while time - times[first] >= WINDOW_S:
            first += 1
        if last - first + 1 > most:
            most, at = last - first + 1, times[first]
    return most, at
