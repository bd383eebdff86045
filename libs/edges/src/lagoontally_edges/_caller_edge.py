"""The edge towards callers: one UDP socket for each entry port."""

import itertools
from functools import singledispatchmethod

from aiocoap.numbers.types import RST

from lagoontally_core import CallerAck, CallerRequest, CallerReset, Flow, Request

from ._coap import (
    Acknowledged,
    PingReceived,
    ResetReceived,
    decode_caller_datagram,
    encode_answer,
    encode_empty,
    encode_notification,
)
from ._coap_validation import Malformed
from ._datagrams import BindFailed, DatagramLoop, ignore_count
from ._pause import monotonic_ms

MESSAGE_ID_MASK = 0xFFFF


class CallerEdge:
    """Receives callers' datagrams and sends answers and notifications.

    Args:
        address: IP address to bind the entry ports to.
        post: Called with each event for the core.
        count: Called with each ``Count``.
        clock_ms: Returns the monotonic clock in milliseconds.
        first_message_id: Message id of the first non-confirmable answer.
    """

    def __init__(
        self,
        *,
        address,
        post,
        count=ignore_count,
        clock_ms=monotonic_ms,
        first_message_id=0,
    ):
        self.address = address
        self.loop = DatagramLoop(
            name="caller",
            handle=self.handle,
            post=post,
            count=count,
            clock_ms=clock_ms,
        )
        self.message_ids = itertools.count(first_message_id)
        self.ports = {}
        self.services = {}

    def serve(self, entry_ports):
        """Bind the entry ports of these services and close all others.

        Args:
            entry_ports: Entry port by service name.

        Returns:
            A ``BindFailed`` for each port that couldn't be bound; the next call
            tries again.
        """
        # A port keeps its socket when its service is renamed.
        for port in set(self.services) - set(entry_ports.values()):
            self.loop.retire(port)
        self.ports = dict(entry_ports)
        self.services = {port: service for service, port in entry_ports.items()}
        missing = [port for port in self.services if port not in self.loop.sockets]
        bound = [self.loop.open(port, self.address, port) for port in missing]
        return tuple(item for item in bound if isinstance(item, BindFailed))

    def answer(self, action):
        """Send the answer of an ``AnswerCaller``."""
        message_id = next(self.message_ids) & MESSAGE_ID_MASK
        self.send(action.reply_to.flow, encode_answer(action, message_id))

    def notify(self, action):
        """Send the notification of a ``NotifyCaller``."""
        self.send(action.flow, encode_notification(action))

    def send(self, flow, data):
        """Send a datagram to a flow's caller from the service's entry port."""
        if isinstance(data, Malformed):
            self.loop.increment("unencodable")
            return
        self.loop.send(self.ports.get(flow.service), data, flow.caller)

    def handle(self, datagram):
        """Decode a caller's datagram and post the event."""
        service = self.services.get(datagram.key)
        if service is None:
            self.loop.increment("unserved_port")
            return
        host, port = datagram.sender
        flow = Flow(service, f"{host}:{port}")
        self.post_decoded(decode_caller_datagram(datagram.data), flow)

    @singledispatchmethod
    def post_decoded(self, decoded, flow):
        """Post the event of a decoded datagram, or answer a ping."""
        raise TypeError(f"{type(decoded).__name__} isn't a decoded datagram")

    @post_decoded.register
    def _(self, decoded: Request, flow):
        self.loop.post(CallerRequest(flow, decoded))

    @post_decoded.register
    def _(self, decoded: Acknowledged, flow):
        self.loop.post(CallerAck(flow, decoded.message_id))

    @post_decoded.register
    def _(self, decoded: ResetReceived, flow):
        self.loop.post(CallerReset(flow, decoded.message_id))

    @post_decoded.register
    def _(self, decoded: PingReceived, flow):
        self.send(flow, encode_empty(RST, decoded.message_id))

    @post_decoded.register
    def _(self, decoded: Malformed, flow):
        self.loop.increment("malformed")

    def run(self, stop):
        """Read callers' datagrams until ``stop`` is set."""
        self.loop.run(stop)

    def close(self):
        """Close every socket; call it once ``run`` has returned."""
        self.loop.close()
