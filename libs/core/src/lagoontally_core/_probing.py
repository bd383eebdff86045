"""Probes and gossip: handlers of the membership messages."""

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
from ._templates import notice_version
from ._unknown_homes import release_held_requests

SUCCESSIONS_PER_MESSAGE = 3
SUCCESSION_NEWS_MS = 60_000
NO_PROBE = 0


def own_record(context):
    """Return this balancer's record of itself."""
    state = context.state
    return state.membership.own_record(state.pause_count, state.template_version)


def recent_successions(context):
    """Return the latest successions to send along."""
    known = context.state.successions.items()
    recent = [
        Succession(leaver, list(entry.heirs), context.now_ms - entry.learned_ms)
        for leaver, entry in known
        if context.now_ms - entry.learned_ms < SUCCESSION_NEWS_MS
    ]
    if len(recent) <= SUCCESSIONS_PER_MESSAGE:
        return recent
    return context.random.sample(recent, SUCCESSIONS_PER_MESSAGE)


def send_ping(address, subject, number, context):
    """Send a probe, with what is held of its subject so that it can refute."""
    news = context.state.membership.take_news()
    held = context.state.membership.records.get(subject)
    if held is not None and held.status != MemberStatus.ALIVE and held not in news:
        news.append(held)
    ping = Ping(number, own_record(context), news, recent_successions(context))
    context.act(SendPeer(address, ping))


def probe_members(_tick: Tick, context):
    """Send the next probe and judge those that weren't answered."""
    membership = context.state.membership
    _ask_others_to_probe(context)
    if context.now_ms < membership.next_probe_ms:
        return
    membership.next_probe_ms = context.now_ms + membership.timing.ping_interval_ms
    _suspect_silent(context)
    _bury_suspects(context)
    for incarnation in membership.forget_old(context.now_ms):
        context.log("INFO", "member forgotten", member=f"{incarnation:016x}")
    subject = membership.next_subject(context.random)
    if subject is None:
        return
    number = membership.new_probe(subject, context.now_ms)
    send_ping(membership.records[subject].peer_address, subject, number, context)


def _ask_others_to_probe(context):
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


def _suspect_silent(context):
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


def _bury_suspects(context):
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


def take_news(message, context):
    """Take in the news that a probe, its answer or a welcome carries."""
    for record in message.news:
        _learn(record, context)
    for succession in message.successions:
        learn_succession(succession, context)
    _heard(message.sender, context)


def _heard(record, context):
    before = context.state.membership.heard(record, context.now_ms)
    _log_change(before, record, context)
    release_held_requests(record.incarnation, context)
    notice_version(record, context)


def _learn(record, context):
    before = context.state.membership.learn(record, context.now_ms)
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
    take_news(message, context)
    incarnation = context.state.info.incarnation
    news = context.state.membership.take_news()
    ack = PingAck(
        message.number,
        incarnation,
        own_record(context),
        news,
        recent_successions(context),
    )
    context.act(SendPeer(message.sender.peer_address, ack))


def on_ping_ack(message: PingAck, _sender, context):
    """Note an answered probe, or pass it on to whom it was made for."""
    membership = context.state.membership
    proxied = membership.proxied.pop(message.number, None)
    take_news(message, context)
    if proxied is not None:
        address, number = proxied
        context.act(SendPeer(address, message._replace(number=number, news=[])))
        return
    probe = membership.probes.get(message.number)
    if probe is not None and probe.subject == message.subject:
        del membership.probes[message.number]


def on_ping_request(message: PingRequest, _sender, context):
    """Probe a balancer in the sender's place."""
    membership = context.state.membership
    _heard(message.sender, context)
    number = membership.next_number
    membership.next_number += 1
    membership.proxied[number] = (message.sender.peer_address, message.number)
    if len(membership.proxied) > len(membership.records) + INDIRECT_PROBES:
        del membership.proxied[next(iter(membership.proxied))]
    send_ping(message.subject_address, message.subject, number, context)


def on_join(message: Join, _sender, context):
    """Tell a newcomer everything that is known of the members."""
    _heard(message.sender, context)
    successions = [
        Succession(leaver, list(entry.heirs), context.now_ms - entry.learned_ms)
        for leaver, entry in context.state.successions.items()
    ]
    members = list(context.state.membership.records.values())
    welcome = Welcome(own_record(context), members, successions)
    context.act(SendPeer(message.sender.peer_address, welcome))


def on_welcome(message: Welcome, _sender, context):
    """Take in what a member knows."""
    for record in message.members:
        _learn(record, context)
    for succession in message.successions:
        learn_succession(succession, context)
    _heard(message.sender, context)
    context.state.welcomed = True
    if message.sender.template_version <= context.state.template_version:
        context.state.refreshed = True
    _greet_unheard(context)


def _greet_unheard(context):
    """Introduce this balancer to the members that it only knows by hearsay.

    A member that doesn't know the home of a flow can't relay to it, so a
    newcomer serves only once the others know it.
    """
    membership = context.state.membership
    for record in membership.alive():
        if record.incarnation not in membership.greeted:
            ping = Ping(NO_PROBE, own_record(context), [], [])
            context.act(SendPeer(record.peer_address, ping))


def greet_instances(event, context):
    """Introduce this balancer to listed instances that it doesn't know."""
    state = context.state
    known = {record.peer_address for record in state.membership.records.values()}
    known.add(state.info.peer_address)
    listed = [instance.peer_address for instance in event.instances]
    state.listed_alone = listed == [state.info.peer_address]
    for instance in event.instances:
        if instance.peer_address not in known:
            context.act(SendPeer(instance.peer_address, Join(own_record(context))))


def greet_seeds(context):
    """Introduce this balancer to the peers that its settings name."""
    for address in context.state.info.seeds:
        if address != context.state.info.peer_address:
            context.act(SendPeer(address, Join(own_record(context))))


def greet_some_members(context):
    """Ask a few members for what they know, after a pause."""
    alive = context.state.membership.alive()
    chosen = context.random.sample(alive, min(INDIRECT_PROBES, len(alive)))
    for record in chosen:
        context.act(SendPeer(record.peer_address, Join(own_record(context))))
