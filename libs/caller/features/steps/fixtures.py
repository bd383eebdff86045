"""Fixtures shared by the steps of the caller library."""

import random
import socket
import threading

import aiocoap

from lagoontally_caller import Answered, Failed, NotRun, Unknown
from lagoontally_caller._codec import ACK, Reply
from lagoontally_caller._identifiers import EchoStore, Identifiers

RESULTS = {
    "Answered": Answered,
    "Failed": Failed,
    "NotRun": NotRun,
    "Unknown": Unknown,
    "None": type(None),
}
STEP_S = 0.05


def code_number(dotted):
    """Return the number of a code such as ``2.04``."""
    first, _, last = dotted.partition(".")
    return (int(first) << 5) + int(last)


def reply(dotted, token, *, message_id=0, type=ACK, **options):
    """Return a decoded reply."""
    return Reply(int(type), code_number(dotted), message_id, token, **options)


def decoded(datagram):
    """Return the aiocoap message of a datagram."""
    return aiocoap.Message.decode(datagram)


class VirtualTime:
    """A virtual clock, with seeded identifiers and an Echo store."""

    def __init__(self):
        self.now_s = 1000.0
        self.identifiers = Identifiers(random=random.Random(7))
        self.echo_store = EchoStore()

    def advance(self, seconds, on_step):
        """Advance the clock and call ``on_step`` at each step."""
        end_s = self.now_s + seconds
        while self.now_s < end_s:
            self.now_s = min(self.now_s + STEP_S, end_s)
            on_step()


class FakeBalancer:
    """A UDP server that requires an Echo and answers requests.

    Attributes:
        ran: Payloads of the commands that it ran.
        echo_requests: Number of times it has asked for an Echo.
        answers_to_lose: Number of answers to lose.
        empty: Types of the empty messages received, in order.
    """

    ECHO = b"echo"

    def __init__(self):
        self.socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.socket.bind(("127.0.0.1", 0))
        self.entry = f"127.0.0.1:{self.socket.getsockname()[1]}"
        self.ran = []
        self.echo_requests = 0
        self.answers_to_lose = 0
        self.answered = {}
        self.empty = []
        self.line = None
        self.other_socket = None
        self.changed = threading.Condition()
        self.thread = threading.Thread(target=self.serve, daemon=True)
        self.thread.start()

    def serve(self):
        """Answer until the socket is closed."""
        while True:
            try:
                datagram, caller = self.socket.recvfrom(2048)
            except OSError:
                return
            with self.changed:
                self.handle(decoded(datagram), datagram, caller)
                self.changed.notify_all()

    def handle(self, message, datagram, caller):
        """Handle one datagram."""
        if not message.code:
            self.empty.append(message.mtype)
            return
        if datagram not in self.answered:
            self.answered[datagram] = self.answer(message, caller)
        if self.other_socket is not None:
            self.other_socket.sendto(self.answered[datagram], caller)
        if message.opt.echo and self.answers_to_lose:
            self.answers_to_lose -= 1
            return
        self.socket.sendto(self.answered[datagram], caller)

    def answer(self, message, caller):
        """Return the answer to a request."""
        if message.opt.echo != self.ECHO:
            self.echo_requests += 1
            answer = aiocoap.Message(code=aiocoap.UNAUTHORIZED)
        elif message.opt.observe == 0:
            self.line = (caller, message.token)
            answer = aiocoap.Message(code=aiocoap.CONTENT, observe=1)
        else:
            if message.code == aiocoap.POST:
                self.ran.append(message.payload)
            answer = aiocoap.Message(code=aiocoap.CHANGED)
        answer.opt.echo = self.ECHO
        answer.mtype, answer.mid, answer.token = ACK, message.mid, message.token
        return answer.encode()

    def send_confirmable(self, caller, token, **options):
        """Send a confirmable answer."""
        message = aiocoap.Message(code=aiocoap.CONTENT, **options)
        message.mtype, message.mid, message.token = aiocoap.CON, 77, token
        self.socket.sendto(message.encode(), caller)

    def wait_for(self, condition):
        """Wait until a condition holds; return whether it did."""
        with self.changed:
            return self.changed.wait_for(condition, timeout=10)

    def close(self):
        """Stop the thread."""
        # Closing the socket doesn't wake up a blocked receive.
        self.socket.sendto(b"\x40\x00\x00\x00", self.socket.getsockname())
        self.socket.close()
