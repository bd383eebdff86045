"""Exchanges with other balancers which targets hold flows."""

from lagoontally_flows import HolderQuery, Holders

HOLDER_MESSAGES = (HolderQuery, Holders)


class HolderMessenger:
    """Sends and handles ``HolderQuery`` and ``Holders``.

    Args:
        holders: The ``FlowHolders``.
        peers: The ``Peers``.
    """

    def __init__(self, holders, *, peers):
        self.holders = holders
        self.peers = peers

    def send(self, message):
        """Ask all members, or tell a few of them."""
        if isinstance(message, HolderQuery):
            self.peers.broadcast(message)
        else:
            self.peers.send_to_some(message)

    def on_message(self, message, host, now_ms):
        """Handle a member's message, and reply to what it asks."""
        if isinstance(message, Holders):
            self.holders.on_holders(message, now_ms)
            return
        reply = self.holders.on_query(message, now_ms)
        if reply is not None:
            self.peers.send(reply, host)
