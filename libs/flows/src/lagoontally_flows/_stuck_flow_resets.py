"""Open flows of stuck targets, given back to their callers.

Answers the fault of a target that hangs with many flows open: each of their next
requests would hang too. A caller whose flow is reset opens another one, elsewhere.
A request that mustn't be repeated stays with its target, as long as it waits there.
"""

from ._effects import FlowReset

MAX_STUCK_SHARE = 0.5  # part of a service; beyond, the trouble is rather here
RESET_REASON = "target_stuck"


def should_reset_flows(cookie, *, stuck_targets, view, now_ms):
    """Tell whether requests are better served by another target.

    Args:
        cookie: The target that has them.
        stuck_targets: The ``StuckTargets``.
        view: The ``View``.
        now_ms: Time of the step.
    """
    if not stuck_targets.is_stuck(cookie) or not stuck_targets.is_confirmed(
        cookie, now_ms
    ):
        return False
    target = view.by_cookie.get(cookie)
    if target is None:
        return False
    others = view.candidates(target.service, now_ms)
    stuck_count = sum(
        stuck_targets.is_confirmed(other.cookie, now_ms) for other in others
    )
    return bool(others) and stuck_count <= MAX_STUCK_SHARE * len(others)


def reset_flows(cookie, *, flows, is_repeatable):
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
        if flow.established and (flow.idle or is_repeatable(key)):
            flows.remove(key)
            found.append(FlowReset(key, flow.acknowledged, cookie, RESET_REASON))
    return found
