"""Dispatchers: balancers that select targets for the others.

A service has few slots and many balancers, so that one balancer's own requests
show little of a target's load. A dispatcher, picked by rendezvous hashing over
the live balancers, places each request and receives its outcome; where a flow
keeps its target, it only decides on admission. Its state may be lost or wrong,
which affects balance but not correctness. A balancer without an answer from the
dispatcher selects a target by itself.
"""

from enum import IntEnum
from typing import NamedTuple

from ._actions import SendPeer
from ._admission import refusal_reason
from ._dispatch_table import Lease
from ._peer_messages import PlaceAsk, Placed, PlaceDone
from ._rendezvous import incarnation_name, rendezvous_pick
from ._state import Phase
from ._target_selection import candidates, record_answer, record_failure

DISPATCHER_TIMEOUT_MS = 50
DISPATCHER_BACKOFF_MS = 1_000
DISPATCHER_CACHE_MS = 500
RELEASE_DELAY_MS = 1_000
TARGETS_PER_DISPATCHER = 64


class Outcome(IntEnum):
    """How a placed request ended."""

    ANSWERED = 0
    SHED = 1
    SILENT = 2
    UNUSED = 3


class LeaseTimer(NamedTuple):
    """Timer: the lease of a placed request expires, reported or not."""

    token: bytes


def dispatcher_of(context, service):
    """Return the incarnation of a service's dispatcher.

    Returns:
        An incarnation, possibly this balancer's own; None when this balancer
        selects targets without a dispatcher.
    """
    state = context.state
    table = state.dispatch
    picked, valid_until_ms = table.dispatchers.get(service, (None, 0))
    if valid_until_ms <= context.now_ms:
        picked = _pick(context, service)
        table.dispatchers[service] = (picked, context.now_ms + DISPATCHER_CACHE_MS)
    if table.silent_until_ms.get(picked, 0) > context.now_ms:
        return None
    return picked


def _pick(context, service):
    state = context.state
    targets = len(state.service_targets[service])
    dispatchers = -(-targets // TARGETS_PER_DISPATCHER)
    own = state.info.incarnation
    names = [
        incarnation_name(record.incarnation)
        for record in state.membership.alive()
        if dispatchers == 1 or record.data_centre == state.info.data_centre
    ]
    if state.phase is Phase.SERVING:
        names.append(incarnation_name(own))
    key = f"{service}|{own % max(1, dispatchers)}".encode()
    picked = rendezvous_pick(key, names)
    return None if picked is None else int.from_bytes(picked, "big")


def place_locally(context, ask):
    """Select a target as the dispatcher; return a ``Placed``."""
    usable = candidates(context.state, ask.service, context.now_ms, ask.tried)
    if not usable:
        return Placed(ask.token, "", "")
    table = context.state.dispatch
    refusal = refusal_reason(table, usable, ask)
    if refusal:
        context.count("dispatch.refused")
        return Placed(ask.token, "", refusal)
    address = _preferred(usable, ask) or _least_loaded(usable, context)
    table.add(ask.token, Lease(address, ask.service, ask.caller))
    until_ms = context.now_ms + ask.remaining_ms + RELEASE_DELAY_MS
    context.state.timers.add(until_ms, LeaseTimer(ask.token))
    return Placed(ask.token, address, "")


def _preferred(usable, ask):
    known = ask.preferred in (target.address for target in usable)
    return ask.preferred if known else ""


def _least_loaded(usable, context):
    placed = context.state.dispatch.placed
    target = min(
        usable,
        key=lambda item: (
            placed.get(item.address, 0) / item.slots,
            context.random.random(),
        ),
    )
    return target.address


def send_place_ask(context, incarnation, ask):
    """Send a ``PlaceAsk`` to a dispatcher; return its address."""
    address = context.state.membership.records[incarnation].peer_address
    context.act(SendPeer(address, ask))
    return address


def record_silent_dispatcher(context, service):
    """Bypass a dispatcher that didn't answer for ``DISPATCHER_BACKOFF_MS``."""
    table = context.state.dispatch
    picked, _ = table.dispatchers.get(service, (None, 0))
    if picked is not None:
        table.silent_until_ms[picked] = context.now_ms + DISPATCHER_BACKOFF_MS
    context.count("dispatch.silent")


def on_place_ask(ask: PlaceAsk, sender, context):
    """Select a target for another balancer."""
    state = context.state
    record = state.membership.records.get(sender)
    if record is None or ask.service not in state.service_targets:
        return
    context.act(SendPeer(record.peer_address, place_locally(context, ask)))


def on_place_done(done: PlaceDone, _sender, context):
    """Handle the outcome of a request placed for another balancer."""
    address = end_placement(context, done.token, done.outcome)
    target = context.state.targets.get(address)
    if target is None:
        return
    if done.outcome == Outcome.ANSWERED:
        record_answer(target)
    elif done.outcome == Outcome.SILENT:
        record_failure(target, context)


def end_placement(context, token, outcome):
    """Release a placed request, after a delay if it was shed or timed out.

    Otherwise a target that sheds or stays silent would look idle and attract
    every request.
    """
    table = context.state.dispatch
    if outcome in (Outcome.SHED, Outcome.SILENT):
        context.state.timers.add(context.now_ms + RELEASE_DELAY_MS, LeaseTimer(token))
        return table.target_of(token)
    return table.release(token)


def on_lease_timer(timer: LeaseTimer, context):
    """Release a placed request whose lease has expired."""
    context.state.dispatch.release(timer.token)
