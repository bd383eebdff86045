"""Resets of the open flows of stuck targets.

If a target hangs with many flows open, the next request of each of them would hang
too. A caller whose flow is reset opens another one to a different target. A pending
request that mustn't be repeated stays with its target.
"""

from .._effects import FlowReset

MAX_STUCK_SHARE = 0.5  # of a service; with more, this balancer is the likelier cause
RESET_REASON = "target_stuck"


def should_reset_flows(cookie, *, stuck_targets, view, now_ms):
    """Return whether the flows of a target should be reset because it is stuck.

    Args:
        cookie: Cookie of the target.
        stuck_targets: The ``StuckTargets``.
        view: The ``View``.
        now_ms: Current time.
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
    """Forget the flows of a stuck target that can be reset, and return the resets.

    Args:
        cookie: Cookie of the target.
        flows: The ``FlowTable``.
        is_repeatable: Function of a flow key that returns whether its caller may
            repeat its requests.

    Returns:
        A list of ``FlowReset`` for the open flows that are repeatable or known to be
        idle. A flow whose answers this balancer hasn't seen may have a request at
        the target.
    """
    found = []
    for key, flow in flows.of_target(cookie):
        if flow.established and (flow.idle or is_repeatable(key)):
            flows.remove(key)
            found.append(FlowReset(key, flow.acknowledged, cookie, RESET_REASON))
    return found
