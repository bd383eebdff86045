"""An operator who empties data centres during a soak test, and what targets saw."""

from typing import NamedTuple

from ._disturbances import STORE_SUBJECTS
from ._violation import Violation

EVACUATE_S = 3.0
EXCUSE_WINDOW_S = 4.0  # a disturbance this long before an opening excuses it
PROMISE = "an emptied data centre gets no new flow"
MIN_PAUSE_S, MAX_PAUSE_S = 1.0, 6.0


class Request(NamedTuple):
    """A request to empty a data centre.

    Attributes:
        data_centre: The data centre.
        began: When the store acknowledged it.
        ended: When it was withdrawn, infinity while it holds.
    """

    data_centre: str
    began: float
    ended: float


class Evacuations:
    """Empties one data centre at a time and takes it back.

    Args:
        deployment: The ``Deployment``.
        disturbances: The ``Disturbances`` of the run.
        random: Seeded ``Random`` of its own.

    Attributes:
        requests: Every ``Request`` in order; the last one may hold still.
    """

    def __init__(self, deployment, disturbances, random):
        self.deployment = deployment
        self.disturbances = disturbances
        self.random = random
        self.requests = []

    def next_pause_s(self):
        """Return the time until the next change."""
        return self.random.uniform(MIN_PAUSE_S, MAX_PAUSE_S)

    def change(self):
        """Empty a data centre, or take the emptied one back.

        Returns:
            Names of the data centres that return.
        """
        if self.deployment.evacuated:
            return self.end()
        data_centre = self.random.choice(self.deployment.data_centres)
        self.deployment.evacuate(data_centre)
        now = self.deployment.loop.now
        self.requests.append(Request(data_centre, now, float("inf")))
        return []

    def end(self):
        """Take the emptied data centre back, and return its name in a list."""
        returned = list(self.deployment.evacuated)
        for data_centre in returned:
            self.deployment.evacuate(data_centre, requested=False)
            ended = self.deployment.loop.now
            self.requests[-1] = self.requests[-1]._replace(ended=ended)
        return returned

    def violations(self, targets, balancer_at):
        """Yield a violation for each new flow at a target of an emptied data centre.

        Args:
            targets: Pairs of a data centre and a target by the target's id.
            balancer_at: Function of a host that returns its balancer's name.
        """
        for target_id, (data_centre, target) in targets.items():
            for flow, opening in target.first_syns.items():
                request = self._broken_at(data_centre, opening.at)
                if request is None:
                    continue
                subjects = (*STORE_SUBJECTS, balancer_at(opening.host))
                start = opening.at - EXCUSE_WINDOW_S
                if self.disturbances.any_between(subjects, start, opening.at):
                    continue
                after_s = opening.at - request.began
                detail = f"{target_id} got {flow} from {opening.host} {after_s:.2f} s"
                yield Violation(PROMISE, detail)

    def _broken_at(self, data_centre, at):
        return next(
            (
                request
                for request in self.requests
                if request.data_centre == data_centre
                and request.began + EVACUATE_S < at < request.ended
            ),
            None,
        )
