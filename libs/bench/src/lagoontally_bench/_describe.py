"""One-line descriptions of messages, for reading and for comparison in tests."""

from functools import singledispatch

from aiocoap import Message
from aiocoap.numbers.types import CON

from lagoontally_core import (
    HandoverAck,
    HandoverPart,
    Join,
    Ping,
    PingAck,
    PingRequest,
    Relay,
    RelayAck,
    RelayFresh,
    Succession,
    SuccessionAck,
    TemplateDigest,
    TemplateSections,
    TemplateWant,
    Welcome,
)

HOME_START = 1
HOME_END = 9
SESSION_END = 14
MAX_SHOWN_PAYLOAD_LENGTH = 40
MEMBERSHIP_MESSAGES = (Join, Ping, PingAck, PingRequest, Welcome)


class Names(dict):
    """Names of balancers by incarnation, and stable names for random values.

    Attributes:
        numbers: Number of each token and session in order of appearance, so that
            the text doesn't depend on their random values.
    """

    def __init__(self):
        super().__init__()
        self.numbers = {}

    def number(self, letter, value):
        """Return a short name for a random value."""
        known = self.numbers.setdefault(letter, {})
        return f"{letter}{known.setdefault(value, len(known) + 1)}"

    def token(self, token):
        """Return a token's name."""
        return self.number("t", token) if token else "-"


def describe_datagram(data, names):
    """Return the description of a CoAP datagram.

    Args:
        data: The datagram.
        names: The ``Names`` of the session.
    """
    message = Message.decode(data)
    words = [message.mtype.name, message.code.dotted]
    if not message.code:
        return f"{words[0]} {message.mid:04x}"
    if message.mtype == CON and not message.code.is_request():
        words.append(f"id {message.mid:04x}")
    words.append(f"token {names.token(message.token)}")
    words += _options(message.opt, names)
    if message.payload:
        words.append(_payload(message.payload))
    return " ".join(words)


def _options(options, names):
    words = []
    if options.uri_path:
        words.append("/" + "/".join(options.uri_path))
    if options.observe is not None:
        words.append(f"observe {options.observe}")
    if options.block2 is not None:
        more = "+" if options.block2.more else ""
        words.append(f"block {options.block2.block_number}{more}")
    if options.max_age is not None:
        words.append(f"max-age {options.max_age}")
    if options.echo:
        words.append(f"echo {describe_echo(options.echo, names)}")
    return words


def describe_echo(echo, names):
    """Return the description of an Echo: its home and session."""
    home = int.from_bytes(echo[HOME_START:HOME_END], "big")
    session = names.number("s", echo[HOME_END:SESSION_END])
    return f"{names.get(home, 'stranger')}/{session}"


def _payload(payload):
    text = payload.decode("utf-8", "replace")
    if len(text) <= MAX_SHOWN_PAYLOAD_LENGTH and text.isprintable():
        return text
    return f"{len(payload)} bytes"


@singledispatch
def describe_peer(message, names):
    """Return the description of a message between balancers."""
    return type(message).__name__


@describe_peer.register
def _(message: Relay, names):
    echo = describe_echo(message.request.echo, names)
    token = names.token(message.request.token)
    return f"Relay to wake {message.pause_count} token {token} echo {echo}"


@describe_peer.register
def _(message: RelayFresh, names):
    return f"RelayFresh token {names.token(message.request.token)}"


@describe_peer.register
def _(message: RelayAck, names):
    kind = "reset" if message.reset else "ack"
    return f"RelayAck {kind} {message.message_id:04x}"


@describe_peer.register
def _(message: HandoverPart, names):
    origins = " ".join(names[origin.incarnation] for origin in message.origins)
    return (
        f"HandoverPart {message.part + 1} of {message.parts}:"
        f" {len(message.lines)} lines, {len(message.remembered)} remembered,"
        f" origins {origins or '-'}"
    )


@describe_peer.register
def _(message: HandoverAck, names):
    return f"HandoverAck part {message.part + 1}"


@describe_peer.register
def _(message: Succession, names):
    successors = " ".join(names[successor] for successor in message.successors)
    return f"Succession of {names[message.predecessor]} to {successors}"


@describe_peer.register
def _(message: SuccessionAck, names):
    return f"SuccessionAck for {names[message.predecessor]}"


@describe_peer.register
def _(message: TemplateDigest, names):
    return f"TemplateDigest version {message.version}"


@describe_peer.register
def _(message: TemplateWant, names):
    return f"TemplateWant above version {message.version}"


@describe_peer.register
def _(message: TemplateSections, names):
    sections = " ".join(sorted(message.sections))
    return f"TemplateSections of version {message.version}: {sections}"
