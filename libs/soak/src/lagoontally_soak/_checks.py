"""The promises that a soak checks, from what callers and targets saw."""

from typing import NamedTuple

from lagoontally_standins.packets import Outcome

from ._faults import LAPSE_S

DRAIN_S = 3.0
CONFIGURATION_S = 3.0
TOUCH_S = 4.0  # what was disturbed in this time is excused


class Violation(NamedTuple):
    """A broken promise."""

    promise: str
    detail: str


class Checks:
    """Checks a run.

    Args:
        deployment: The ``Deployment``.
        faults: The ``Faults`` made on it.
    """

    def __init__(self, deployment, faults):
        self.deployment = deployment
        self.faults = faults

    def all_of(self, asked, targets):
        """Return every ``Violation`` of a run.

        Args:
            asked: Service by request, of all requests sent.
            targets: Every target that ever ran, by id.
        """
        return [
            *self._runs(asked),
            *self._openings(targets),
        ]

    def _runs(self, asked):
        seen = set()
        for run in self.deployment.ledger:
            if run.request in seen:
                yield Violation("a request runs once", f"{run.request} ran again")
            seen.add(run.request)
            if asked.get(run.request) != run.service:
                detail = f"{run.request} for {asked.get(run.request)} ran at {run}"
                yield Violation("a request reaches its own service", detail)

    def _openings(self, targets):
        for identity, left in self.faults.drained.items():
            if left is None:
                continue
            for flow, opening in targets[identity].first_syns.items():
                late = opening.at > left + DRAIN_S
                if late and not self._opening_excused(opening):
                    after_s = opening.at - left
                    detail = f"{identity} got {flow} from {opening.host} {after_s:.2f}"
                    yield Violation("a leaving target gets no new flow", detail)

    def _opening_excused(self, opening):
        """Tell whether the store or the balancer that took a flow was disturbed."""
        names = [
            name
            for name, balancer in self.deployment.balancers.items()
            if balancer.settings["host"] == opening.host
        ]
        subjects = ("store", *names)
        return self.faults.disturbed(subjects, opening.at - TOUCH_S, opening.at)

    def on_ends(self):
        """Return a violation for each balancer that has ended without being told."""
        return [
            Violation("no balancer ends by itself", name)
            for name, balancer in self.deployment.balancers.items()
            if not balancer.alive() and name not in self.faults.resting
        ]

    def on_end(self, flow, asked_at):
        """Return the violations that the end of one request shows.

        Args:
            flow: The ``CallerFlow``.
            asked_at: When the request was sent.
        """
        if flow.outcome is Outcome.WRONG:
            return [Violation("an answer is the request's own", flow.request)]
        route = flow.flow[2:]
        if route in self.faults.dropped:
            return self._on_dropped_route(flow, asked_at)
        if flow.outcome is Outcome.RESET and self._target_is_fine(flow):
            detail = f"{flow.flow} to {flow.target}, asked {flow.request}"
            return [Violation("an open flow isn't reset", detail)]
        published = self.faults.published[route]
        refused = flow.outcome is Outcome.NOT_OPENED and route in self.deployment.routes
        settled = asked_at > published + CONFIGURATION_S
        excused = self._excused(flow, asked_at) or self._target_ended(asked_at)
        if refused and settled and not excused:
            detail = f"{flow.flow} asked {flow.request}"
            return [Violation("a route in force takes flows", detail)]
        return []

    def _on_dropped_route(self, flow, asked_at):
        dropped = self.faults.dropped[flow.flow[2:]]
        late = asked_at > dropped + CONFIGURATION_S
        answered = flow.outcome is Outcome.ANSWERED
        if not answered or not late or self._excused(flow, asked_at):
            return []
        detail = f"{flow.flow} asked {flow.request} {asked_at - dropped:.2f} s after"
        return [Violation("a dropped route takes no request", detail)]

    def _target_is_fine(self, flow):
        """Tell whether the flow's target lived undisturbed and its route held."""
        now = self.deployment.loop.now
        known = flow.target in self.deployment.targets
        if not known or flow.flow[2:] not in self.deployment.routes:
            return False
        return not self.faults.disturbed((flow.target,), now - TOUCH_S, now)

    def _excused(self, flow, moment):
        """Tell whether the store or a balancer that may have a flow was disturbed."""
        data_centre = next(
            name
            for name, callers in self.deployment.callers.items()
            if callers is flow.callers
        )
        balancers = [
            name
            for name, balancer in self.deployment.balancers.items()
            if balancer.settings["data_centre"] == data_centre
        ]
        subjects = ("store", *balancers)
        return self.faults.disturbed(subjects, moment - TOUCH_S, moment)

    def _target_ended(self, moment):
        """Tell whether a target's host may have refused a flow at a moment.

        That of a target that ended refuses flows until its entry lapses.
        """
        targets = self.deployment.targets.keys() | self.faults.drained.keys()
        return self.faults.began(targets, moment - LAPSE_S - TOUCH_S, moment)
