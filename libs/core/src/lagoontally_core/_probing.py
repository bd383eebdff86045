"""Failure detection and gossip: handlers of the membership messages."""

from ._actions import SendPeer
from ._events import Tick
from ._inherit import learn_succession
from ._members import INDIRECT_PROBES, MemberStatus
from ._peer_messages import (
    Join,
    Ping,
    PingAck,
    PingRequest,
    Succession,
    Welcome,
)
from ._strangers import release_strangers
from ._templates import request_newer_template

MAX_SUCCESSIONS_PER_MESSAGE = 3
SUCCESSION_GOSSIP_MS = 60_000
NO_PROBE = 0


def own_record(turn):
    """Return this balancer's record of itself."""
    state = turn.state
    return state.membership.own_record(state.pause_count, state.template_version)


def recent_successions(turn):
    """Return recent successions to piggyback."""
    known = turn.state.successions.items()
    recent = [
        Succession(
            predecessor, list(entry.successors), turn.now_ms - entry.announced_ms
        )
        for predecessor, entry in known
        if turn.now_ms - entry.announced_ms < SUCCESSION_GOSSIP_MS
    ]
    if len(recent) <= MAX_SUCCESSIONS_PER_MESSAGE:
        return recent
    return turn.random.sample(recent, MAX_SUCCESSIONS_PER_MESSAGE)


def send_ping(address, subject, number, turn):
    """Send a probe, with the subject's record if it isn't alive, for it to refute."""
    updates = turn.state.membership.next_updates()
    held = turn.state.membership.records.get(subject)
    if held is not None and held.status != MemberStatus.ALIVE and held not in updates:
        updates.append(held)
    ping = Ping(number, own_record(turn), updates, recent_successions(turn))
    turn.act(SendPeer(address, ping))


def probe_members(_tick: Tick, turn):
    """Send the next probe and act on those that weren't answered."""
    membership = turn.state.membership
    _request_indirect_probes(turn)
    if turn.now_ms < membership.next_probe_ms:
        return
    membership.next_probe_ms = turn.now_ms + membership.timing.ping_interval_ms
    _suspect_unresponsive(turn)
    _declare_suspects_dead(turn)
    for incarnation in membership.remove_expired(turn.now_ms):
        turn.log("INFO", "member forgotten", member=f"{incarnation:016x}")
    subject = membership.next_probe_subject(turn.random)
    if subject is None:
        return
    number = membership.new_probe(subject, turn.now_ms)
    send_ping(membership.records[subject].peer_address, subject, number, turn)


def _request_indirect_probes(turn):
    membership = turn.state.membership
    for number, probe in membership.probes.items():
        waited_ms = turn.now_ms - probe.sent_ms
        if probe.indirect or waited_ms < membership.timing.ping_timeout_ms:
            continue
        membership.probes[number] = probe._replace(indirect=True)
        _send_ping_requests(number, probe.subject, turn)


def _send_ping_requests(number, subject, turn):
    membership = turn.state.membership
    helpers = [record for record in membership.alive() if record.incarnation != subject]
    chosen = turn.random.sample(helpers, min(INDIRECT_PROBES, len(helpers)))
    address = membership.records[subject].peer_address
    request = PingRequest(number, own_record(turn), subject, address)
    for helper in chosen:
        turn.act(SendPeer(helper.peer_address, request))


def _suspect_unresponsive(turn):
    membership = turn.state.membership
    for number, probe in list(membership.probes.items()):
        if turn.now_ms - probe.sent_ms < membership.timing.ping_interval_ms:
            continue
        del membership.probes[number]
        record = membership.records.get(probe.subject)
        if record is None or record.status >= MemberStatus.SUSPECT:
            continue
        membership.mark(probe.subject, MemberStatus.SUSPECT, turn.now_ms)
        turn.count("members.suspected")
        turn.log("WARNING", "member suspected", member=record.name)


def _declare_suspects_dead(turn):
    membership = turn.state.membership
    for record in list(membership.records.values()):
        if record.status != MemberStatus.SUSPECT:
            continue
        since_ms = membership.changed_ms[record.incarnation]
        if turn.now_ms - since_ms < membership.timing.suspicion_ms:
            continue
        membership.mark(record.incarnation, MemberStatus.DEAD, turn.now_ms)
        turn.count("members.declared_dead")
        turn.log("WARNING", "member declared dead", member=record.name)


def merge_updates(message, turn):
    """Handle the member updates and successions of a probe or its answer."""
    for record in message.updates:
        _merge_record(record, turn)
    for succession in message.successions:
        learn_succession(succession, turn)
    _merge_sender(message.sender, turn)


def _merge_sender(record, turn):
    before = turn.state.membership.merge_sender_record(record, turn.now_ms)
    _log_change(before, record, turn)
    release_strangers(record.incarnation, turn)
    request_newer_template(record, turn)


def _merge_record(record, turn):
    before = turn.state.membership.merge_record(record, turn.now_ms)
    _log_change(before, record, turn)
    release_strangers(record.incarnation, turn)


def _log_change(before, record, turn):
    if before is None:
        return
    status = MemberStatus(turn.state.membership.records[record.incarnation].status)
    turn.log("INFO", "member changed", member=record.name, status=status.name.lower())


def on_ping(message: Ping, _sender, turn):
    """Answer a probe."""
    merge_updates(message, turn)
    incarnation = turn.state.info.incarnation
    updates = turn.state.membership.next_updates()
    ack = PingAck(
        message.number, incarnation, own_record(turn), updates, recent_successions(turn)
    )
    turn.act(SendPeer(message.sender.peer_address, ack))


def on_ping_ack(message: PingAck, _sender, turn):
    """Settle an answered probe, or pass the answer on to its requester."""
    membership = turn.state.membership
    proxied = membership.proxied.pop(message.number, None)
    merge_updates(message, turn)
    if proxied is not None:
        address, number = proxied
        turn.act(SendPeer(address, message._replace(number=number, updates=[])))
        return
    probe = membership.probes.get(message.number)
    if probe is not None and probe.subject == message.subject:
        del membership.probes[message.number]


def on_ping_request(message: PingRequest, _sender, turn):
    """Probe a balancer in the sender's place."""
    membership = turn.state.membership
    _merge_sender(message.sender, turn)
    number = membership.next_probe_number
    membership.next_probe_number += 1
    membership.proxied[number] = (message.sender.peer_address, message.number)
    if len(membership.proxied) > len(membership.records) + INDIRECT_PROBES:
        del membership.proxied[next(iter(membership.proxied))]
    send_ping(message.subject_address, message.subject, number, turn)


def on_join(message: Join, _sender, turn):
    """Send a joining balancer every known member and succession."""
    _merge_sender(message.sender, turn)
    successions = [
        Succession(
            predecessor, list(entry.successors), turn.now_ms - entry.announced_ms
        )
        for predecessor, entry in turn.state.successions.items()
    ]
    members = list(turn.state.membership.records.values())
    welcome = Welcome(own_record(turn), members, successions)
    turn.act(SendPeer(message.sender.peer_address, welcome))


def on_welcome(message: Welcome, _sender, turn):
    """Handle a member's records and successions."""
    for record in message.members:
        _merge_record(record, turn)
    for succession in message.successions:
        learn_succession(succession, turn)
    _merge_sender(message.sender, turn)
    turn.state.welcomed = True
    if message.sender.template_version <= turn.state.template_version:
        turn.state.refreshed = True
    _contact_indirectly_known(turn)


def _contact_indirectly_known(turn):
    """Introduce this balancer to members that haven't sent it a message yet.

    A member that doesn't know the home of a flow can't relay to it, so a joining
    balancer serves only once the others know it.
    """
    membership = turn.state.membership
    for record in membership.alive():
        if record.incarnation not in membership.contacts:
            ping = Ping(NO_PROBE, own_record(turn), [], [])
            turn.act(SendPeer(record.peer_address, ping))


def contact_instances(event, turn):
    """Introduce this balancer to listed instances not known as members."""
    state = turn.state
    known = {record.peer_address for record in state.membership.records.values()}
    known.add(state.info.peer_address)
    listed = [instance.peer_address for instance in event.instances]
    state.listed_alone = listed == [state.info.peer_address]
    for instance in event.instances:
        if instance.peer_address not in known:
            turn.act(SendPeer(instance.peer_address, Join(own_record(turn))))


def contact_seeds(turn):
    """Introduce this balancer to the peers that its settings name."""
    for address in turn.state.info.seeds:
        if address != turn.state.info.peer_address:
            turn.act(SendPeer(address, Join(own_record(turn))))


def contact_some_members(turn):
    """Request the view of a few members, after a pause."""
    alive = turn.state.membership.alive()
    chosen = turn.random.sample(alive, min(INDIRECT_PROBES, len(alive)))
    for record in chosen:
        turn.act(SendPeer(record.peer_address, Join(own_record(turn))))
