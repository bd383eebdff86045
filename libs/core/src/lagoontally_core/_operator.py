"""Answers to operators' queries, as JSON-ready data."""

from ._member_status import MemberStatus
from ._state import Identity

MAX_EXPLAINED_DECISIONS = 200


def answer_query(event, context):
    """Return the answer to an operator's query.

    Args:
        event: The ``OperatorQuery``.
        context: The ``StepContext``.

    Returns:
        A dictionary ready for JSON.
    """
    if event.name == "status":
        return _status(context)
    if event.name == "explain":
        return _explain(event.argument, context)
    if event.name == "drain":
        return {"state": context.state.phase.value}
    return {"error": f"no such query: {event.name}"}


def _status(context):
    state = context.state
    return {
        "instance": state.info.name,
        "incarnation": f"{state.info.incarnation:016x}",
        "workspace": state.info.workspace,
        "data_centre": state.info.data_centre,
        "state": state.phase.value,
        "template_version": state.template_version,
        "members": [_member(record) for record in state.membership.records.values()],
        "services": {
            name: {"targets": [_target(state.targets[item], context) for item in items]}
            for name, items in state.service_targets.items()
        },
        "limits": _limits(state.dispatch),
        "lines": len(state.lines),
        "remembered": len(state.remembered),
        "in_flight": len(state.exchanges),
        "inherited_from": len(state.origins),
        "pauses": state.pause_count,
    }


def _limits(dispatch_table):
    """Return the admission limits and the totals placed by this balancer."""
    return {
        "reads_per_slot": dispatch_table.limits.read_depth,
        "commands_per_slot": dispatch_table.limits.command_depth,
        "placed": dict(dispatch_table.totals),
    }


def _member(record):
    return {
        "name": record.name,
        "data_centre": record.data_centre,
        "status": MemberStatus(record.status).name.lower(),
        "template_version": record.template_version,
    }


def _target(target, context):
    return {
        "name": target.name,
        "address": target.address,
        "state": _target_state(target, context.now_ms),
        "in_flight": target.in_flight,
        "lines": target.lines,
    }


def _target_state(target, now_ms):
    if target.leaving:
        return "leaving"
    if target.identity is Identity.FOREIGN:
        return "foreign"
    if target.identity is Identity.ASKED:
        return "unconfirmed"
    if target.unreachable:
        return "unreachable"
    if target.closed_until_ms > now_ms:
        return "closed"
    return "active"


def _explain(subject, context):
    if not subject:
        return {"error": "explain needs a flow, a token or a target"}
    found = context.state.decision_log.about(subject)
    entries = [
        {
            "ago_ms": context.now_ms - entry.at_ms,
            "subjects": list(entry.subjects),
            "what": entry.what,
            "why": entry.why,
        }
        for entry in found[-MAX_EXPLAINED_DECISIONS:]
    ]
    return {"instance": context.state.info.name, "decisions": entries}
