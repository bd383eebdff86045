"""Failure detection and gossip: handlers of the membership messages."""

from ._actions import SendPeer
from ._events import Tick
from ._inherit import learn_succession
from ._member_status import MemberStatus
from ._members import INDIRECT_PROBES
from ._peer_messages import (
    Join,
    Ping,
    PingAck,
    PingRequest,
    Succession,
    Welcome,
)
from ._templates import request_newer_template
from ._unknown_homes import release_held_requests

MAX_SUCCESSIONS_PER_MESSAGE = 3
SUCCESSION_GOSSIP_MS = 60_000
NO_PROBE = 0


def own_record(context):
    """Return this balancer's record of itself."""
    state = context.state
    return state.membership.own_record(state.pause_count, state.template_version)


def recent_successions(context):
    """Return recent successions to piggyback."""
    known = context.state.successions.items()
    recent = [
        Succession(
            predecessor, list(entry.successors), context.now_ms - entry.announced_ms
        )
        for predecessor, entry in known
        if context.now_ms - entry.announced_ms < SUCCESSION_GOSSIP_MS
    ]
    if len(recent) <= MAX_SUCCESSIONS_PER_MESSAGE:
        return recent
    return context.random.sample(recent, MAX_SUCCESSIONS_PER_MESSAGE)


def send_ping(address, subject, number, context):
    """Send a probe, with the subject's record if it isn't alive, for it to refute."""
    updates = context.state.membership.next_updates()
    held = context.state.membership.records.get(subject)
    if held is not None and held.status != MemberStatus.ALIVE and held not in updates:
        updates.append(held)
    ping = Ping(number, own_record(context), updates, recent_successions(context))
    context.act(SendPeer(address, ping))


def probe_members(_tick: Tick, context):
    """Send the next probe and act on those that weren't answered."""
    membership = context.state.membership
    _request_indirect_probes(context)
    if context.now_ms < membership.next_probe_ms:
        return
    membership.next_probe_ms = context.now_ms + membership.timing.ping_interval_ms
    _suspect_unresponsive(context)
    _declare_suspects_dead(context)
    for incarnation in membership.remove_expired(context.now_ms):
        context.log("INFO", "member forgotten", member=f"{incarnation:016x}")
    subject = membership.next_probe_subject(context.random)
    if subject is None:
        return
    number = membership.new_probe(subject, context.now_ms)
    send_ping(membership.records[subject].peer_address, subject, number, context)


def _request_indirect_probes(context):
    membership = context.state.membership
    for number, probe in membership.probes.items():
        waited_ms = context.now_ms - probe.sent_ms
        if probe.indirect or waited_ms < membership.timing.ping_timeout_ms:
            continue
        membership.probes[number] = probe._replace(indirect=True)
        _send_ping_requests(number, probe.subject, context)


def _send_ping_requests(number, subject, context):
    membership = context.state.membership
    helpers = [record for record in membership.alive() if record.incarnation != subject]
    chosen = context.random.sample(helpers, min(INDIRECT_PROBES, len(helpers)))
    address = membership.records[subject].peer_address
    request = PingRequest(number, own_record(context), subject, address)
    for helper in chosen:
        context.act(SendPeer(helper.peer_address, request))


def _suspect_unresponsive(context):
    membership = context.state.membership
    for number, probe in list(membership.probes.items()):
        if context.now_ms - probe.sent_ms < membership.timing.ping_interval_ms:
            continue
        del membership.probes[number]
        record = membership.records.get(probe.subject)
        if record is None or record.status >= MemberStatus.SUSPECT:
            continue
        membership.mark(probe.subject, MemberStatus.SUSPECT, context.now_ms)
        context.count("members.suspected")
        context.log("WARNING", "member suspected", member=record.name)


def _declare_suspects_dead(context):
    membership = context.state.membership
    for record in list(membership.records.values()):
        if record.status != MemberStatus.SUSPECT:
            continue
        since_ms = membership.changed_ms[record.incarnation]
        if context.now_ms - since_ms < membership.timing.suspicion_ms:
            continue
        membership.mark(record.incarnation, MemberStatus.DEAD, context.now_ms)
        context.count("members.declared_dead")
        context.log("WARNING", "member declared dead", member=record.name)


def merge_updates(message, context):
    """Handle the member updates and successions of a probe or its answer."""
    for record in message.updates:
        _merge_record(record, context)
    for succession in message.successions:
        learn_succession(succession, context)
    _merge_sender(message.sender, context)


def _merge_sender(record, context):
    before = context.state.membership.merge_sender_record(record, context.now_ms)
    _log_change(before, record, context)
    release_held_requests(record.incarnation, context)
    request_newer_template(record, context)


def _merge_record(record, context):
    before = context.state.membership.merge_record(record, context.now_ms)
    _log_change(before, record, context)
    release_held_requests(record.incarnation, context)


def _log_change(before, record, context):
    if before is None:
        return
    status = MemberStatus(context.state.membership.records[record.incarnation].status)
    context.log(
        "INFO", "member changed", member=record.name, status=status.name.lower()
    )


def on_ping(message: Ping, _sender, context):
    """Answer a probe."""
    merge_updates(message, context)
    incarnation = context.state.info.incarnation
    updates = context.state.membership.next_updates()
    ack = PingAck(
        message.number,
        incarnation,
        own_record(context),
        updates,
        recent_successions(context),
    )
    context.act(SendPeer(message.sender.peer_address, ack))


def on_ping_ack(message: PingAck, _sender, context):
    """Settle an answered probe, or pass the answer on to its requester."""
    membership = context.state.membership
    proxied = membership.proxied.pop(message.number, None)
    merge_updates(message, context)
    if proxied is not None:
        address, number = proxied
        context.act(SendPeer(address, message._replace(number=number, updates=[])))
        return
    probe = membership.probes.get(message.number)
    if probe is not None and probe.subject == message.subject:
        del membership.probes[message.number]


def on_ping_request(message: PingRequest, _sender, context):
    """Probe a balancer in the sender's place."""
    membership = context.state.membership
    _merge_sender(message.sender, context)
    number = membership.next_probe_number
    membership.next_probe_number += 1
    membership.proxied[number] = (message.sender.peer_address, message.number)
    if len(membership.proxied) > len(membership.records) + INDIRECT_PROBES:
        del membership.proxied[next(iter(membership.proxied))]
    send_ping(message.subject_address, message.subject, number, context)


def on_join(message: Join, _sender, context):
    """Send a joining balancer every known member and succession."""
    _merge_sender(message.sender, context)
    successions = [
        Succession(
            predecessor, list(entry.successors), context.now_ms - entry.announced_ms
        )
        for predecessor, entry in context.state.successions.items()
    ]
    members = list(context.state.membership.records.values())
    welcome = Welcome(own_record(context), members, successions)
    context.act(SendPeer(message.sender.peer_address, welcome))


def on_welcome(message: Welcome, _sender, context):
    """Handle a member's records and successions."""
    for record in message.members:
        _merge_record(record, context)
    for succession in message.successions:
        learn_succession(succession, context)
    _merge_sender(message.sender, context)
    context.state.welcomed = True
    if message.sender.template_version <= context.state.template_version:
        context.state.refreshed = True
    _contact_indirectly_known(context)


def _contact_indirectly_known(context):
    """Introduce this balancer to members that haven't sent it a message yet.

    A member that doesn't know the home of a flow can't relay to it, so a joining
    balancer serves only once the others know it.
    """
    membership = context.state.membership
    for record in membership.alive():
        if record.incarnation not in membership.contacts:
            ping = Ping(NO_PROBE, own_record(context), [], [])
            context.act(SendPeer(record.peer_address, ping))


def contact_instances(event, context):
    """Introduce this balancer to listed instances not known as members."""
    state = context.state
    known = {record.peer_address for record in state.membership.records.values()}
    known.add(state.info.peer_address)
    for instance in event.instances:
        if instance.peer_address not in known:
            context.act(SendPeer(instance.peer_address, Join(own_record(context))))


def contact_seeds(context):
    """Introduce this balancer to the peers that its settings name."""
    for address in context.state.info.seeds:
        if address != context.state.info.peer_address:
            context.act(SendPeer(address, Join(own_record(context))))


def contact_some_members(context):
    """Request the view of a few members, after a pause."""
    alive = context.state.membership.alive()
    chosen = context.random.sample(alive, min(INDIRECT_PROBES, len(alive)))
    for record in chosen:
        context.act(SendPeer(record.peer_address, Join(own_record(context))))
