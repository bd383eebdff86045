"""What a balancer remembers of flows.

Nothing here is needed to send a packet on, since the packet's cookie names the
target. It serves to spread new flows and to notice targets that don't answer.
"""

SWEEP_INTERVAL_MS = 1_000
CLOSED_RETENTION_MS = 3_000  # last acknowledgements of a closed flow pass meanwhile
SEQUENCE_MASK = 0xFFFFFFFF
HALF_SEQUENCE = 0x80000000


class Flow:
    """One flow as seen from its caller's side.

    Attributes:
        cookie: Names its target.
        tried: Cookies of the targets that its SYN and copies went to.
        seen_ms: When its last packet came.
        progress_ms: When its caller last sent something new.
        data_end: Sequence number behind the newest data that its caller sent.
        acknowledged: What its caller last acknowledged.
        asked_ms: When the request that waits for an answer came, else None.
        idle: Whether its last request was seen to be answered.
        opened: Whether its caller has answered the target's SYN.
        closing: Whether its caller has ended it.
    """

    __slots__ = (
        "cookie",
        "tried",
        "last_packet_ms",
        "progress_ms",
        "data_end",
        "acknowledged",
        "request_sent_ms",
        "idle",
        "established",
        "closing",
    )

    def __init__(self, cookie, now_ms):
        self.cookie = cookie
        self.tried = [cookie]
        self.last_packet_ms = now_ms
        self.progress_ms = now_ms
        self.data_end = None
        self.acknowledged = 0
        self.request_sent_ms = None
        self.idle = False
        self.established = False
        self.closing = False

    def is_new_data(self, packet):
        """Tell whether a packet carries data that wasn't seen before."""
        if self.data_end is None:
            return True
        end = (packet.sequence + packet.length) & SEQUENCE_MASK
        ahead = (end - self.data_end) & SEQUENCE_MASK
        return 0 < ahead < HALF_SEQUENCE

    def record(self, packet, now_ms):
        """Take in a packet behind the SYN.

        Args:
            packet: The ``Packet``.
            now_ms: Time of the step.

        Returns:
            True when the packet shows that the target has sent something new.
        """
        self.last_packet_ms = now_ms
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
    """Flows by their four addresses and ports, counted by target.

    Attributes:
        flows: ``Flow`` by addresses and ports.
        open_flows: Number of flows that aren't closing, by cookie.
        waiting: Flows with a request that waits for an answer, oldest first.
    """

    def __init__(self):
        self.flows = {}
        self.open_flows = {}
        self.pending = {}
        self._swept_ms = 0

    def add(self, key, cookie, now_ms):
        """Remember a flow to a target and return it."""
        self.remove(key)
        flow = self.flows[key] = Flow(cookie, now_ms)
        self._count(cookie)
        return flow

    def move(self, flow, cookie):
        """Give a flow that isn't open to another target."""
        self._release(flow)
        flow.cookie = cookie
        flow.tried.append(cookie)
        self._count(cookie)

    def on_request(self, key, flow, now_ms):
        """Note that a flow's caller has sent a request, unless one waits already."""
        if flow.request_sent_ms is None:
            flow.request_sent_ms = now_ms
            flow.idle = False
            self.pending[key] = flow

    def on_answer(self, key, flow):
        """Note that a flow's caller has got something."""
        if flow.request_sent_ms is not None:
            flow.request_sent_ms = None
            flow.idle = True
            self.pending.pop(key, None)

    def forget_pending(self):
        """Forget which requests wait for an answer."""
        for flow in self.pending.values():
            flow.request_sent_ms = None
        self.pending.clear()

    def close(self, flow):
        """Stop counting a flow whose caller ended it."""
        if not flow.closing:
            self._release(flow)
            flow.closing = True

    def remove(self, key):
        """Forget a flow, if it is known."""
        self.pending.pop(key, None)
        flow = self.flows.pop(key, None)
        if flow is not None and not flow.closing:
            self._release(flow)

    def of_target(self, cookie):
        """Return the keys and flows of a target that aren't closing."""
        if cookie not in self.open_flows:
            return []  # without a look at every flow
        return [
            (key, flow)
            for key, flow in self.flows.items()
            if flow.cookie == cookie and not flow.closing
        ]

    def sweep(self, now_ms, idle_timeout_ms):
        """Forget flows that were silent for too long."""
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
