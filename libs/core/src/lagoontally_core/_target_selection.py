"""Selection of a target for a request or line."""

from xxhash import xxh3_64_intdigest

from lagoontally_model import Placement

from ._echo import target_hint
from ._rendezvous import flow_key
from ._state import Identity

FAILURES_TO_CLOSE = 3
CLOSED_MS = 5_000


def candidates(state, service, now_ms, tried=()):
    """Return the targets of a service that may get new work.

    Targets closed after failures are excluded, but never more than half: the
    others would be overloaded, and a closed one may have recovered.
    """
    usable = [
        target
        for target in map(state.targets.get, state.service_targets.get(service, ()))
        if target.identity is Identity.CONFIRMED
        and not target.leaving
        and target.address not in tried
    ]
    reachable = [target for target in usable if not target.unreachable]
    return _without_closed(reachable or usable, now_ms)


def _without_closed(usable, now_ms):
    """Exclude targets closed after failures, but never more than half."""
    open_targets = [target for target in usable if target.closed_until_ms <= now_ms]
    if not open_targets:
        return usable
    shortfall = -(-len(usable) // 2) - len(open_targets)
    if shortfall <= 0:
        return open_targets
    closed = [target for target in usable if target.closed_until_ms > now_ms]
    closed.sort(key=lambda target: target.closed_until_ms)
    return open_targets + closed[:shortfall]


def select_target(context, flow, *, hint=0, tried=()):
    """Return the target for a request, or None when there is none.

    Args:
        context: The step's context.
        flow: The caller's endpoint and service.
        hint: The target that the caller's Echo names, 0 for none.
        tried: Addresses to exclude.
    """
    usable = candidates(context.state, flow.service, context.now_ms, tried)
    if not usable:
        return None
    if _placement(context.state, flow.service) is Placement.REQUEST:
        return _less_loaded(usable, context.random, _request_load)
    return _affinity_target(usable, flow, hint)


def affinity_address(context, flow, *, hint=0, tried=()):
    """Return the address of the target that a flow has affinity to, or empty."""
    if _placement(context.state, flow.service) is Placement.REQUEST:
        return ""
    usable = candidates(context.state, flow.service, context.now_ms, tried)
    return _affinity_target(usable, flow, hint).address if usable else ""


def select_line_target(context, flow, *, tried=()):
    """Return the target for a line, by its number of lines, or None."""
    usable = candidates(context.state, flow.service, context.now_ms, tried)
    if not usable:
        return None
    return _less_loaded(usable, context.random, _line_load)


def _placement(state, service):
    workspace = state.template.workspaces[state.info.workspace]
    return workspace.services[service].placement


def _affinity_target(usable, flow, hint):
    if hint:
        for target in usable:
            if target_hint(target.address) == hint:
                return target
    key = flow_key(flow)
    return max(
        usable,
        key=lambda target: xxh3_64_intdigest(target.address.encode() + b"|" + key),
    )


def _less_loaded(usable, random, load):
    if len(usable) == 1:
        return usable[0]
    first, second = random.sample(usable, 2)
    return first if load(first) <= load(second) else second


def _request_load(target):
    return target.in_flight / target.slots


def _line_load(target):
    return target.lines


def record_failure(target, context):
    """Count an unanswered exchange; close the target after several in a row."""
    target.failures += 1
    if target.failures < FAILURES_TO_CLOSE:
        return
    if target.closed_until_ms <= context.now_ms:
        context.log("WARNING", "target closed", target=target.name)
        context.note(
            (target.address, target.name),
            "target closed",
            f"{target.failures} exchanges in a row without an answer",
        )
    target.closed_until_ms = context.now_ms + CLOSED_MS


def record_answer(target):
    """Reset the failures of a target that has answered, and reopen it."""
    target.failures = 0
    target.closed_until_ms = 0
