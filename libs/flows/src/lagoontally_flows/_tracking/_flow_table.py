"""Flow state of a balancer.

Forwarding doesn't depend on it, since a packet's cookie names its target. It serves
to balance new flows and to detect targets that don't answer.
"""

from ._evidence import RETURNED, SENT, Holder
from ._requests_in_hand import RequestsInHand

SWEEP_INTERVAL_MS = 1_000
CLOSED_RETENTION_MS = (
    3_000  # the last acknowledgements of a closed flow pass in this time
)
SEQUENCE_MASK = 0xFFFFFFFF
HALF_SEQUENCE = 0x80000000
MAX_UNSEEN_BYTES = 1 << 16  # of a target, between two packets of its caller here
STALL_AFTER_MS = 150  # less than a caller's first retransmission at 200 ms


def is_near(acknowledgement, other):
    """Return whether two acknowledgements may be of the same flow.

    Targets number their bytes from a random 32-bit number, so that another flow between
    the same ports is told from it.
    """
    ahead = (acknowledgement - other + MAX_UNSEEN_BYTES) & SEQUENCE_MASK
    return ahead <= 2 * MAX_UNSEEN_BYTES


class Rivalry:
    """Another target that may hold a flow.

    Attributes:
        cookie: Its cookie.
        is_tried: Whether packets were sent to it, since the holder didn't answer them.
        answers: Number of answers in succession that seem to be of one target.
        answering: Cookie of that target.
        turns: Whether packets go to it now, and since when, by whether they carry data.
        asked_ms: When the members were asked for the holder.
    """

    __slots__ = ("cookie", "is_tried", "answers", "answering", "turns", "asked_ms")

    def __init__(self, cookie):
        self.cookie = cookie
        self.is_tried = False
        self.answers = 0
        self.answering = cookie
        self.turns = {}
        self.asked_ms = 0

    def add_answer(self, cookie):
        """Count an answer to a request that went to both targets."""
        self.answers = self.answers + 1 if cookie == self.answering else 1
        self.answering = cookie


class Flow:
    """One flow, as seen in the packets of its caller.

    Attributes:
        cookie: Cookie of its target.
        tried: Cookies of the targets that its SYN and copies were sent to.
        first_packet_ms: When its first packet arrived here.
        last_packet_ms: When its last packet arrived.
        progress_ms: When its caller last sent new data or acknowledged some.
        data_end: Sequence number after the newest data of its caller.
        acknowledged: Its caller's last acknowledgement number.
        request_sent_ms: When the pending request was sent, else None.
        idle: Whether its last request is known to be answered.
        established: Whether its caller has completed the handshake.
        closing: Whether its caller has closed it.
        holder: The ``Holder`` with the cookie, and what shows that it holds the flow.
        sole_until_ms: Until when no copy of its SYN can have reached another target.
        is_used: Whether packets went to the target since it is the holder.
        data_sent_ms: When data last went to the target from here, 0 if it has answered.
        rivalry: The ``Rivalry`` with another target, None without one.
        told: The cookie and evidence that other balancers were told of, or None.
    """

    __slots__ = (
        "cookie",
        "tried",
        "first_packet_ms",
        "last_packet_ms",
        "progress_ms",
        "data_end",
        "acknowledged",
        "request_sent_ms",
        "idle",
        "established",
        "closing",
        "holder",
        "sole_until_ms",
        "is_used",
        "data_sent_ms",
        "rivalry",
        "told",
    )

    def __init__(self, cookie, now_ms):
        self.cookie = cookie
        self.tried = [cookie]
        self.first_packet_ms = now_ms
        self.last_packet_ms = now_ms
        self.progress_ms = now_ms
        self.data_end = None
        self.acknowledged = 0
        self.request_sent_ms = None
        self.idle = False
        self.established = False
        self.closing = False
        self.holder = Holder(cookie, SENT, now_ms)
        self.sole_until_ms = 0
        self.is_used = False
        self.data_sent_ms = 0
        self.rivalry = None
        self.told = None

    @property
    def is_claimed(self):
        """Whether nothing but an unconfirmed cookie led to its target."""
        return self.holder.evidence == RETURNED

    @property
    def rival(self):
        """Cookie of another target that may hold the flow, None for none."""
        return self.rivalry.cookie if self.rivalry is not None else None

    def set_rival(self, cookie):
        """Set the other target that may hold the flow; answers go on counting."""
        if self.rivalry is None:
            self.rivalry = Rivalry(cookie)
        elif self.rivalry.cookie != cookie:
            self.rivalry.cookie = cookie
            self.rivalry.turns = {}
            self.rivalry.is_tried = False

    def continues(self, packet):
        """Return whether a packet may belong to this flow, not a later one."""
        return not self.established or is_near(
            packet.acknowledgement, self.acknowledged
        )

    def has_progressed(self, packet):
        """Return whether a packet acknowledges further bytes of the target."""
        ahead = (packet.acknowledgement - self.acknowledged) & SEQUENCE_MASK
        return self.established and 0 < ahead < HALF_SEQUENCE

    def is_repeated_by(self, packet, now_ms):
        """Return whether a packet shows that an earlier one wasn't answered."""
        return (
            self.is_used
            and now_ms - self.progress_ms >= STALL_AFTER_MS
            and packet.acknowledgement == self.acknowledged
            and not (packet.length and self.is_new_data(packet))
        )

    def is_stalled(self, packet, now_ms):
        """Return whether a packet repeats data that wasn't answered in time."""
        return (
            packet.length > 0
            and not self.is_new_data(packet)
            and now_ms - self.progress_ms >= STALL_AFTER_MS
            and packet.acknowledgement == self.acknowledged
        )

    def is_new_data(self, packet):
        """Return whether a packet carries data that wasn't seen before."""
        if self.data_end is None:
            return True
        end = (packet.sequence + packet.length) & SEQUENCE_MASK
        ahead = (end - self.data_end) & SEQUENCE_MASK
        return 0 < ahead < HALF_SEQUENCE

    def record(self, packet, now_ms):
        """Record a packet that follows the SYN.

        Args:
            packet: The ``Packet``.
            now_ms: Current time.

        Returns:
            True if the packet acknowledges something new from the target.
        """
        self.last_packet_ms = now_ms
        self.is_used = True
        if packet.length:
            self.data_sent_ms = now_ms
        if packet.length and self.is_new_data(packet):
            self.data_end = (packet.sequence + packet.length) & SEQUENCE_MASK
            self.progress_ms = now_ms
        progressed = not self.established or packet.acknowledgement != self.acknowledged
        self.established = True
        self.acknowledged = packet.acknowledgement
        if progressed:
            self.progress_ms = now_ms
        return progressed


class FlowTable:
    """Flows by flow key, counted by target.

    Attributes:
        flows: ``Flow`` by flow key: the addresses and ports of both ends.
        open_flows: Number of flows that aren't closing, by cookie.
        pending: Flows with a pending request, oldest request first.
        set_aside: When the requests were sent that were pending as routers rehashed
            flows, by flow key. Their answers may pass through other balancers.
        in_hand: The ``RequestsInHand``.
    """

    def __init__(self):
        self.flows = {}
        self.open_flows = {}
        self.pending = {}
        self.set_aside = {}
        self.in_hand = RequestsInHand()
        self._swept_ms = 0

    def add(self, key, cookie, now_ms):
        """Add a flow to a target and return it."""
        self.remove(key)
        flow = self.flows[key] = Flow(cookie, now_ms)
        self._count(cookie)
        return flow

    def move(self, key, flow, cookie):
        """Move a flow to the target that its SYN goes to, or that holds it."""
        self.in_hand.move(key, cookie)
        if not flow.closing:
            self._release(flow)
        flow.cookie = cookie
        flow.holder = flow.holder._replace(cookie=cookie)
        flow.tried.append(cookie)
        flow.sole_until_ms = 0
        flow.is_used, flow.data_sent_ms = False, 0
        if not flow.closing:
            self._count(cookie)

    def start_request(self, key, flow, now_ms):
        """Record a request of a flow's caller, unless one is pending already."""
        self.set_aside.pop(key, None)
        if flow.request_sent_ms is None:
            flow.request_sent_ms = now_ms
            flow.idle = False
            self.pending[key] = flow
            self.in_hand.begin(key, flow.cookie, now_ms)

    def complete_request(self, key, flow):
        """Record that the pending request of a flow, if any, was answered."""
        self.set_aside.pop(key, None)
        if flow.request_sent_ms is not None:
            flow.request_sent_ms = None
            flow.idle = True
            self.pending.pop(key, None)
            self.in_hand.end(key)

    def forget_pending(self):
        """Forget all pending requests."""
        self.set_pending_aside()
        self.set_aside.clear()

    def set_pending_aside(self):
        """Set all pending requests aside until their callers retransmit them here."""
        for key, flow in self.pending.items():
            self.set_aside[key] = flow.request_sent_ms
            flow.request_sent_ms = None
        self.pending.clear()
        self.in_hand.clear()

    def resume_request(self, key, flow, now_ms):
        """Record that a flow's caller has retransmitted what it sent last.

        If its request was set aside, its packets still pass through this balancer, and
        the request isn't answered.
        """
        sent_ms = self.set_aside.pop(key, None)
        if sent_ms is None:
            return
        flow.request_sent_ms = sent_ms
        self.pending[key] = flow
        by_age = sorted(self.pending.items(), key=lambda one: one[1].request_sent_ms)
        self.pending = dict(by_age)
        self.in_hand.begin(key, flow.cookie, now_ms)

    def close(self, key, flow):
        """Stop counting a flow whose caller closed it."""
        self.set_aside.pop(key, None)
        self.in_hand.end(key)
        if not flow.closing:
            self._release(flow)
            flow.closing = True

    def remove(self, key):
        """Remove a flow if it is known."""
        self.pending.pop(key, None)
        self.set_aside.pop(key, None)
        self.in_hand.end(key)
        flow = self.flows.pop(key, None)
        if flow is not None and not flow.closing:
            self._release(flow)

    def of_target(self, cookie):
        """Return the keys and flows of a target that aren't closing.

        Flows that are open at it by an unconfirmed cookie alone may be open at another
        target, and are left out.
        """
        if cookie not in self.open_flows:
            return []  # avoids the scan of all flows
        return [
            (key, flow)
            for key, flow in self.flows.items()
            if flow.cookie == cookie and not flow.closing and not flow.is_claimed
        ]

    def sweep(self, now_ms, idle_timeout_ms):
        """Remove flows that were idle for too long, and requests in hand."""
        self.in_hand.expire(now_ms)
        if now_ms - self._swept_ms < SWEEP_INTERVAL_MS:
            return
        self._swept_ms = now_ms
        for key, flow in list(self.flows.items()):
            retention_ms = CLOSED_RETENTION_MS if flow.closing else idle_timeout_ms
            if now_ms - flow.last_packet_ms > retention_ms:
                self.remove(key)

    def _count(self, cookie):
        self.open_flows[cookie] = self.open_flows.get(cookie, 0) + 1

    def _release(self, flow):
        left = self.open_flows.get(flow.cookie, 0) - 1
        if left > 0:
            self.open_flows[flow.cookie] = left
        else:
            self.open_flows.pop(flow.cookie, None)
