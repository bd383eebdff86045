"""Chooses the target of a new flow from what a balancer believes."""

from ._placement import choose_service, choose_target

TIE_SPREAD = 2_654_435_761  # Knuth's multiplicative hash


class Chooser:
    """Chooses targets.

    Args:
        view: The ``View``.
        health: The ``Health``.
        stuck: The ``Stuck``, whose targets come last.
        flows: The ``FlowTable``, whose counts are the load.
        data_centre: Where this balancer runs.
        random: Source of random numbers, as of ``random.Random``.
    """

    def __init__(self, *, view, health, stuck, flows, data_centre, random):
        self.view = view
        self.health = health
        self.stuck = stuck
        self.flows = flows
        self.data_centre = data_centre
        self.random = random
        self._tie_salt = int(random.random() * 0xFFFFFFFF) | 1

    def choose(self, route, now_ms, avoid=()):
        """Return the target of a new flow, None where there is none.

        Args:
            route: The ``Route`` of the flow.
            now_ms: Time of the step.
            avoid: Cookies of targets that it shouldn't go to.
        """
        choices = {
            service: self._healthy(service, now_ms, avoid)
            for service, _ in route.shares
        }
        service = choose_service(route.shares, choices.get, self.random.random())
        if service is None:
            return None
        return choose_target(
            choices[service],
            load=lambda target: self.flows.open_flows.get(target.cookie, 0),
            data_centre=self.data_centre,
            data_centres=self.view.data_centres() | {self.data_centre},
            draw=self.random.random(),
            tie=self._tie,
        )

    def control_of(self, cookie):
        """Return the target to try beside a doubtful one, None where there is none.

        A target of the own data centre that answered lately is best: where it
        doesn't answer either, this balancer's own network is at fault.
        """
        others = [
            target
            for target in self.view.targets.values()
            if target.cookie != cookie and not self.health.is_dead(target.cookie)
        ]
        return max(
            others,
            key=lambda target: (
                target.data_centre == self.data_centre,
                self.health.alive_ms.get(target.cookie, 0),
            ),
            default=None,
        )

    def _healthy(self, service, now_ms, avoid):
        healthy = [
            target
            for target in self.view.candidates(service, now_ms)
            if target.cookie not in avoid and not self.health.is_dead(target.cookie)
        ]
        answering = [
            target for target in healthy if not self.stuck.is_stuck(target.cookie)
        ]
        return answering or healthy

    def _tie(self, target):
        return (target.cookie ^ self._tie_salt) * TIE_SPREAD & 0xFFFFFFFF
