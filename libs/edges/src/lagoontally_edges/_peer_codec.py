"""Codec for messages between balancers, as typed MessagePack."""

from typing import NamedTuple

import msgspec

from lagoontally_core import PEER_MESSAGES, PeerMessage

MESSAGE_TYPES = {message_type.__name__: message_type for message_type in PEER_MESSAGES}

_ENCODER = msgspec.msgpack.Encoder()
_ENVELOPE_DECODER = msgspec.msgpack.Decoder(tuple[int, str, msgspec.Raw])
_DECODERS = {
    name: msgspec.msgpack.Decoder(message_type)
    for name, message_type in MESSAGE_TYPES.items()
}


class DecodeError(NamedTuple):
    """A peer message that can't be decoded; it is dropped and counted."""

    reason: str


class EncodeError(NamedTuple):
    """A message that can't be encoded; it is dropped and counted."""

    reason: str


def encode_peer(sender, message):
    """Encode a message for another balancer.

    Args:
        sender: Incarnation of the sender.
        message: One of ``MESSAGE_TYPES``.

    Returns:
        The encoded message, or ``EncodeError``.
    """
    name = type(message).__name__
    if name not in _DECODERS:
        return EncodeError(f"{name} isn't a message between balancers")
    try:
        return _ENCODER.encode((sender, name, message))
    except (msgspec.MsgspecError, TypeError, ValueError, OverflowError) as error:
        return EncodeError(f"{name} can't be encoded: {error}")


def decode_peer(data):
    """Decode a message from another balancer.

    Args:
        data: The encoded message.

    Returns:
        ``PeerMessage`` or ``DecodeError``.
    """
    try:
        sender, name, body = _ENVELOPE_DECODER.decode(data)
        decoder = _DECODERS.get(name)
        if decoder is None:
            return DecodeError(f"{name!r} isn't a message between balancers")
        return PeerMessage(sender, decoder.decode(body))
    except (msgspec.MsgspecError, ValueError) as error:
        return DecodeError(f"the message can't be decoded: {error}")
