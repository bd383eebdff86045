"""Decides which target holds a flow.

The strongest evidence decides, whether this balancer has it, another one told of it or
the caller returned it. Where there is nothing but an unconfirmed cookie, the members
are asked first.
"""

from .._records import FIN
from .._targets import NO_COOKIE
from ._evidence import (
    CONFIRMED,
    RETURNED,
    SENT,
    FlowHolder,
    Holder,
    HolderQuery,
    Holders,
    Told,
    strongest,
)
from ._flow_table import STALL_AFTER_MS, is_near

FIRST_COPY_MS = 200  # callers send the first copy of a SYN after that time
SYN_PATIENCE_MS = 1_400  # callers send no copy of a SYN later than this
REPLY_MS = 20  # members reply in this time unless they are slow
LATE_REPLY_MS = 150  # less than a caller's first retransmission at 200 ms
ASK_INTERVAL_MS = 500  # between two queries about a flow that was asked for before
ASKED_RETENTION_MS = 5_000
TOLD_RETENTION_MS = 60_000  # longest life of a flow that the platform promises
ANSWER_MS = 1_000  # after which an acknowledgement may follow a repeated SYN+ACK
ANSWERS_OF_ONE = 2  # in succession, of requests that went to a rival too
PRECEDENCE_MS = 100  # by which an answer counts before what was told, with some delay
HALF_OPEN_MS = 8_000  # targets keep a flow that opened elsewhere at least this long
MAX_TOLD = 2_048
MAX_ASKED = 512
MAX_LEFT = 256  # flows that a balancer tells of as it leaves the rotation
FLOWS_PER_MESSAGE = 13  # one takes up to 86 bytes of a datagram of 1,200
FLOW_BYTES = 80  # of a flow in a datagram, and its part of the headers
MAX_BYTES_PER_S = 50_000  # of queries
MAX_LINK_SHARE = 0.02  # of queries


class FlowHolders:
    """Finds the holders of flows, and exchanges them with other balancers.

    Args:
        view: The ``View``.
        flows: The ``FlowTable``.

    Attributes:
        told: ``Told`` by flow key.
        asked: When the members were first asked for a holder, by flow key.
        members: Number of balancers in the data centre, this one included.
        bytes_per_s: What queries may take of this balancer's link.
    """

    def __init__(self, *, view, flows):
        self.view = view
        self.flows = flows
        self.told = {}
        self.asked = {}
        self.members = 1
        self.bytes_per_s = MAX_BYTES_PER_S
        self._queries = []
        self._news = []
        self._room_bytes = MAX_BYTES_PER_S  # for queries
        self._ticked_ms = None

    def set_link(self, mbps):
        """Take over the speed of this balancer's link in Mbit/s."""
        share = MAX_LINK_SHARE * mbps * 1_000_000 / 8
        self.bytes_per_s = min(MAX_BYTES_PER_S, share)
        self._room_bytes = min(self._room_bytes, self.bytes_per_s)

    def on_placed(self, packet, now_ms, *, waited_ms):
        """Record the SYN of a flow that was sent to its first target here."""
        if not packet.acknowledgement:
            flow = self.flows.flows[packet.flow]
            flow.sole_until_ms = now_ms - waited_ms + FIRST_COPY_MS

    def is_open_elsewhere(self, packet, now_ms):
        """Return whether the flow of a SYN is open, so that the SYN is a late one."""
        told = self.told.get(packet.flow)
        return told is not None and now_ms - told.at_ms < SYN_PATIENCE_MS

    def should_wait(self, packet, holder, now_ms):
        """Return whether a packet with a claim waits for members that may know more."""
        if holder.cookie not in self.view.by_cookie:
            return False
        asked_ms = self.asked.get(packet.flow)
        return asked_ms is not None and now_ms - asked_ms < REPLY_MS

    def is_awaited(self, key, now_ms):
        """Return whether slow members may still reply who holds a flow."""
        asked_ms = self.asked.get(key)
        return asked_ms is not None and now_ms - asked_ms < LATE_REPLY_MS

    def find(self, packet, flow, now_ms):
        """Return the ``Holder`` of a packet's flow, None without any evidence.

        Args:
            packet: A ``Packet`` that follows the SYN.
            flow: The ``Flow`` known by its addresses and ports, or None. It is moved to
                the holder if that isn't its target.
            now_ms: Current time.
        """
        if flow is not None and packet.cookie == flow.cookie:
            holder = flow.holder
            if holder.evidence == CONFIRMED:
                return holder  # as for most packets
        returned = self._returned(packet, now_ms)
        if flow is None or not flow.continues(packet):
            return self._find_unseen(packet, returned, now_ms)
        seen = _learn(packet, flow, returned, now_ms)
        holder = strongest(seen, self._told(packet), returned)
        if flow.holder.evidence == SENT and _is_sole(flow, holder, now_ms):
            holder = Holder(holder.cookie, CONFIRMED, now_ms)
        is_contradicted = returned is not None and returned.cookie != holder.cookie
        self._adopt(packet.flow, flow, holder, now_ms)
        if is_contradicted:
            flow.set_rival(returned.cookie)
        elif flow.rivalry is None and packet.flow in self.told:
            self._take_rival(flow, self.told[packet.flow].rival)
        self._tell_if_doubtful(packet, flow, holder, now_ms, is_contradicted)
        if flow.is_repeated_by(packet, now_ms) and not packet.flags & FIN:
            return self._find_repeated(packet, flow, is_contradicted, now_ms)
        return holder

    def on_query(self, query, now_ms):
        """Return the ``Holders`` for a ``HolderQuery``, None if none is known."""
        known = [self._known(holder.flow, now_ms) for holder in query.holders]
        found = [holder for holder in known if holder is not None]
        self.on_holders(query, now_ms)
        return Holders(found) if found else None

    def on_holders(self, message, now_ms):
        """Take over what another balancer told, where it is the stronger evidence."""
        for told in message.holders:
            self._on_told(told, now_ms)

    def on_leaving(self, now_ms):
        """Tell other balancers of the flows that only a few of them know."""
        doubtful = [key for key, flow in self.flows.flows.items() if flow.told]
        known = [
            self._known(key, now_ms) for key in {**self.told, **dict.fromkeys(doubtful)}
        ]
        found = [holder for holder in known if holder is not None]
        self._news += found[-MAX_LEFT:]

    def on_tick(self, now_ms):
        """Forget what is too old."""
        passed_ms = 0 if self._ticked_ms is None else now_ms - self._ticked_ms
        self._ticked_ms = now_ms
        earned = self.bytes_per_s * passed_ms / 1_000
        self._room_bytes = min(self.bytes_per_s, self._room_bytes + earned)
        _expire(self.asked, now_ms - ASKED_RETENTION_MS, lambda since_ms: since_ms)
        _expire(self.told, now_ms - TOLD_RETENTION_MS, lambda told: told.at_ms)

    def take_messages(self):
        """Return and clear the ``Holders`` and ``HolderQuery`` messages to send."""
        messages = []
        if self._news:
            messages += [Holders(part) for part in _parts(self._news)]
            self._news = []
        if self._queries:
            messages += [HolderQuery(part) for part in _parts(self._queries)]
            self._queries = []
        return messages

    def _find_unseen(self, packet, returned, now_ms):
        """Return the holder of a flow that wasn't seen here before, or long ago."""
        told = self._told(packet)
        holder = strongest(told, returned)
        if holder is None:
            return None
        if holder is returned and holder.evidence == RETURNED:
            self._ask(packet, holder, now_ms)
        if holder is told and returned is not None and returned.cookie != told.cookie:
            known = self.told[packet.flow]
            self.told[packet.flow] = known._replace(rival=returned.cookie)
        return holder

    def _find_repeated(self, packet, flow, is_contradicted, now_ms):
        """Return the target of a packet that repeats one that wasn't answered."""
        holder = flow.holder
        if holder.evidence == CONFIRMED and not is_contradicted:
            return holder
        if flow.rival in (None, flow.cookie):
            self._ask(packet, holder, now_ms, is_urgent=True)
            return holder
        if now_ms - flow.rivalry.asked_ms >= ASK_INTERVAL_MS:
            flow.rivalry.asked_ms = now_ms
            self._query(packet, holder, flow.rival, now_ms)
        return _alternate(packet, flow, holder, now_ms)

    def _returned(self, packet, now_ms):
        """Return the ``Holder`` by the cookie that the caller returned, or None."""
        if packet.cookie == NO_COOKIE:
            return None
        cookie, is_confirmed = self.view.resolve(packet.cookie)
        return Holder(cookie, CONFIRMED if is_confirmed else RETURNED, now_ms)

    def _told(self, packet):
        """Return the ``Holder`` that another balancer told of, or None."""
        told = self.told.get(packet.flow)
        if told is None or not is_near(packet.acknowledgement, told.acknowledgement):
            return None
        return told.holder

    def _take_rival(self, flow, cookie):
        """Take over the rival that another balancer told of, if any."""
        if cookie not in (NO_COOKIE, flow.cookie):
            flow.set_rival(cookie)

    def _adopt(self, key, flow, holder, now_ms):
        """Take over the holder of a flow, whose target so far then shows no stall."""
        if flow.cookie != holder.cookie:
            if flow.established:
                flow.set_rival(flow.cookie)
            self.flows.move(key, flow, holder.cookie)
            flow.progress_ms = now_ms
        flow.holder = holder

    def _tell_if_doubtful(self, packet, flow, holder, now_ms, is_contradicted):
        """Tell others of a flow whose caller may return another target's cookie."""
        if flow.told == (holder.cookie, holder.evidence):
            return
        if holder.evidence < CONFIRMED or is_contradicted or flow.told is not None:
            flow.told = (holder.cookie, holder.evidence)
            key, acknowledged = packet.flow, packet.acknowledgement
            news = _flow_holder(key, acknowledged, holder, flow.rival, now_ms)
            self._news.append(news)

    def _ask(self, packet, holder, now_ms, *, is_urgent=False):
        """Ask the members for a holder, if there is room for that.

        Urgent is a query for a flow that isn't answered. Else the cookie is right for
        most flows, and the members' time and links are worth more.
        """
        if not is_urgent and self._room_bytes < FLOW_BYTES * self.members:
            return
        if packet.flow in self.asked or len(self.asked) < MAX_ASKED:
            self.asked.setdefault(packet.flow, now_ms)
            self._query(packet, holder, None, now_ms)

    def _query(self, packet, holder, rival, now_ms):
        if self._room_bytes > -self.bytes_per_s:
            self._room_bytes -= FLOW_BYTES * self.members
            key, acknowledged = packet.flow, packet.acknowledgement
            known = _flow_holder(key, acknowledged, holder, rival, now_ms)
            self._queries.append(known)

    def _known(self, key, now_ms):
        """Return the ``FlowHolder`` of a flow, None without evidence of its opening."""
        flow = self.flows.flows.get(key)
        if flow is not None and flow.established:
            acknowledged, rival = flow.acknowledged, flow.rival or NO_COOKIE
            holder = flow.holder
        elif key in self.told:
            _, acknowledged, holder, rival = self.told[key]
        else:
            return None
        return _flow_holder(key, acknowledged, holder, rival, now_ms)

    def _on_told(self, told, now_ms):
        key, acknowledged = told.flow, told.acknowledgement
        holder = Holder(told.cookie, told.evidence, now_ms - told.age_ms)
        known = self.told.pop(key, None)
        rival = told.rival
        if known is not None and is_near(known.acknowledgement, acknowledged):
            other = known.holder
            if strongest(other, holder) is other:
                holder, other = other, holder
            if other.cookie != holder.cookie:
                rival = other.cookie
            rival = rival or known.rival
        self.told[key] = Told(now_ms, acknowledged, holder, rival)
        if len(self.told) > MAX_TOLD:
            del self.told[next(iter(self.told))]
        flow = self.flows.flows.get(key)
        if flow is None or not flow.established:
            return
        is_same_flow = is_near(flow.acknowledged, acknowledged)
        if is_same_flow and strongest(flow.holder, holder) is holder:
            self._adopt(key, flow, holder, now_ms)


def _flow_holder(key, acknowledgement, holder, rival, now_ms):
    """Return the ``FlowHolder`` of a flow."""
    return FlowHolder(
        key,
        acknowledgement,
        holder.cookie,
        holder.evidence,
        min(max(0, now_ms - holder.since_ms), TOLD_RETENTION_MS),
        rival or NO_COOKIE,
    )


def _is_sole(flow, holder, now_ms):
    """Return whether no other target can have answered a flow's SYN."""
    return holder.cookie == flow.cookie and now_ms < flow.sole_until_ms


def _learn(packet, flow, returned, now_ms):
    """Return the ``Holder`` of a flow by what this balancer has seen.

    A bare acknowledgement of further data follows the data at once, with the cookie of
    the target that sent it. If the first one was lost, the cookie may be a later one,
    and if the request went to a rival too, that may have answered it.
    """
    seen = flow.holder
    if not flow.has_progressed(packet):
        return seen
    rivalry, waited_ms = flow.rivalry, now_ms - flow.data_sent_ms
    flow.data_sent_ms = 0
    was_tried = rivalry is not None and rivalry.is_tried
    if was_tried:
        rivalry.is_tried, rivalry.turns = False, {}
    if returned is None or packet.length or waited_ms > ANSWER_MS:
        return seen
    if not was_tried:
        is_holder = returned.cookie == flow.cookie
        return Holder(flow.cookie, CONFIRMED, seen.since_ms) if is_holder else seen
    if returned.cookie not in (flow.cookie, rivalry.cookie):
        return seen
    rivalry.add_answer(returned.cookie)
    if rivalry.answers >= ANSWERS_OF_ONE:
        return Holder(returned.cookie, CONFIRMED, now_ms)
    if returned.cookie == flow.cookie:
        return seen
    return Holder(returned.cookie, RETURNED, seen.since_ms - PRECEDENCE_MS)


def _alternate(packet, flow, holder, now_ms):
    """Return a flow's holder and its rival in turn, as long as nothing is answered.

    The packet that opened the flow may have been lost, and the one taken for it sent
    after another target had answered. Data and bare acknowledgements take turns apart,
    since they may come alternately.
    """
    rivalry = flow.rivalry
    if now_ms - holder.since_ms > HALF_OPEN_MS:
        return holder
    kind = packet.length > 0
    at_rival, since_ms = rivalry.turns.get(kind, (False, 0))
    if now_ms - since_ms >= STALL_AFTER_MS:
        at_rival = not at_rival
        rivalry.turns[kind] = (at_rival, now_ms)
    if not at_rival:
        return holder
    rivalry.is_tried = True
    return Holder(rivalry.cookie, RETURNED, now_ms)


def _parts(holders):
    """Return parts of a list that fit into datagrams."""
    starts = range(0, len(holders), FLOWS_PER_MESSAGE)
    return [holders[start : start + FLOWS_PER_MESSAGE] for start in starts]


def _expire(entries, oldest_ms, time_of):
    """Remove the entries before a time, which are in the order of their times."""
    while entries:
        key, value = next(iter(entries.items()))
        if time_of(value) >= oldest_ms:
            return
        del entries[key]
