"""Targets that take requests and don't answer them.

Answers the faults of a target that hangs while connections to it succeed. A caller
acknowledges an answer within some 50 ms, so a balancer sees how long each request
waits. One that waits longer than a loaded target could need keeps new flows away
from the target, here and at the peers. A caller that gives up without having got
anything proves it; once several balancers have seen that, requests that may be
repeated are given back to their callers while there is time to go elsewhere.
"""

OVERDUE_MS = 350  # ten waiting requests of two slots take less than 200 ms
KEPT_MS = 4_000
WITNESSES = 3  # one or two balancers may have lost the packets themselves
OWN = "self"


class Stuck:
    """Targets held for stuck.

    Attributes:
        suspects: When a request to each target was last overdue, by cookie.
        witnesses: When each balancer's callers last gave up on a target without an
            answer, by cookie and balancer.
        answered_ms: When each target last answered a request of this balancer's
            flows. That it opens flows doesn't count: a hanging target does.
    """

    def __init__(self):
        self.suspects = {}
        self.witnesses = {}
        self.answered_ms = {}

    def suspect(self, cookie, now_ms):
        """Take in that a request to a target is overdue.

        Returns:
            True when the target wasn't held for stuck before.
        """
        is_new = not self.is_stuck(cookie)
        self.suspects[cookie] = now_ms
        return is_new

    def prove(self, cookie, witness, now_ms):
        """Take in that a caller gave up on a target without an answer.

        Args:
            cookie: The target.
            witness: The balancer that saw it: ``OWN`` or a peer's host.
            now_ms: Time of the step.
        """
        self.suspects[cookie] = now_ms
        self.witnesses.setdefault(cookie, {})[witness] = now_ms

    def on_answer(self, cookie, now_ms):
        """Note that a target answered a request."""
        self.answered_ms[cookie] = now_ms
        self.suspects.pop(cookie, None)
        self.witnesses.pop(cookie, None)

    def answered_since(self, cookie, moment_ms):
        """Tell whether a target has answered a request since a moment."""
        answered_ms = self.answered_ms.get(cookie)
        return answered_ms is not None and answered_ms > moment_ms

    def forget(self, cookie):
        """Forget a target."""
        self.suspects.pop(cookie, None)
        self.witnesses.pop(cookie, None)
        self.answered_ms.pop(cookie, None)

    def is_stuck(self, cookie):
        """Tell whether a target gets no new flows."""
        return cookie in self.suspects

    def is_certain(self, cookie):
        """Tell whether requests are better taken away from a target."""
        return len(self.witnesses.get(cookie, ())) >= WITNESSES

    def on_tick(self, now_ms):
        """Forget what was said long ago."""
        for cookie, said_ms in list(self.suspects.items()):
            if now_ms - said_ms > KEPT_MS:
                self.forget(cookie)
        for seen in self.witnesses.values():
            for witness, said_ms in list(seen.items()):
                if now_ms - said_ms > KEPT_MS:
                    del seen[witness]


def overdue(flows, now_ms):
    """Return the flows whose request has waited for ``OVERDUE_MS`` or more.

    Args:
        flows: The ``FlowTable``.
        now_ms: Time of the step.

    Returns:
        ``Flow`` objects, longest wait first.
    """
    found = []
    for flow in flows.waiting.values():
        if now_ms - flow.asked_ms < OVERDUE_MS:
            break
        found.append(flow)
    return found
