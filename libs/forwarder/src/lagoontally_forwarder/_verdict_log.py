"""Log lines on what is found of targets, here and by peers."""

from lagoontally_flows import ANSWERED, STUCK, THIS_BALANCER, UNANSWERED


def log_verdict(log, balancer, verdict, source):
    """Log an own verdict, or a peer's that differs from the known state.

    Args:
        log: The ``Log``.
        balancer: The ``Balancer``, before it handles a peer's verdict.
        verdict: The ``Verdict``.
        source: ``THIS_BALANCER`` or the peer's host.
    """
    if verdict.evidence in (STUCK, UNANSWERED):
        event = "target_stuck"
        known = balancer.stuck_targets.is_stuck(verdict.cookie)
    elif verdict.evidence == ANSWERED:
        event = "target_answers"
        known = not balancer.stuck_targets.has_overdue_reports(verdict.cookie)
    else:
        event = "target_dead" if verdict.dead else "target_alive"
        known = balancer.health.is_dead(verdict.cookie) == verdict.dead
    if source == THIS_BALANCER or not known:
        log.line(
            event,
            target=balancer.target_id(verdict.cookie),
            evidence=verdict.evidence,
            source=source,
        )
