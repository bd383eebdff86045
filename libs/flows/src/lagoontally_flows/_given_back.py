"""Open flows of stuck targets, given back to their callers.

Answers the fault of a target that hangs with many flows open: each of their next
requests would hang too. A caller whose flow is reset opens another one, elsewhere.
A request that mustn't be repeated stays with its target, as long as it waits there.
"""

from ._effects import FlowReset

MOST_GIVEN_BACK = 0.5  # part of a service; beyond, the trouble is rather here
REASON = "target_stuck"


def is_given_back(cookie, *, stuck, view, now_ms):
    """Tell whether requests are better served by another target.

    Args:
        cookie: The target that has them.
        stuck: The ``Stuck``.
        view: The ``View``.
        now_ms: Time of the step.
    """
    if not stuck.is_stuck(cookie) or not stuck.is_certain(cookie, now_ms):
        return False
    target = view.by_cookie.get(cookie)
    if target is None:
        return False
    others = view.candidates(target.service, now_ms)
    out = sum(stuck.is_certain(other.cookie, now_ms) for other in others)
    return bool(others) and out <= MOST_GIVEN_BACK * len(others)


def resets(cookie, *, flows, is_repeatable):
    """Return the resets of a stuck target's flows, and forget those flows.

    Args:
        cookie: The target.
        flows: The ``FlowTable``.
        is_repeatable: Function of a flow's addresses and ports that tells whether
            its caller may repeat its requests.

    Returns:
        A list of ``FlowReset``: of the open flows whose request may be repeated,
        and of those that wait for none. A flow whose answers this balancer hasn't
        seen may have a request at the target.
    """
    found = []
    for key, flow in flows.of_target(cookie):
        if flow.opened and (flow.idle or is_repeatable(key)):
            flows.remove(key)
            found.append(FlowReset(key, flow.acknowledged, cookie, REASON))
    return found
