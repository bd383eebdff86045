"""Records the messages that arrive at the nodes of a world, one line each."""

from ._describe import MEMBERSHIP_MESSAGES, Names, describe_datagram, describe_peer

UNRECORDED_MESSAGES = MEMBERSHIP_MESSAGES


class Recorder:
    """Records the messages of a session in the order of their arrival.

    Attributes:
        world: The world.
        lines: One line for each message or note.
        names: The ``Names`` used in the lines.
        templates: True when messages about templates are recorded.
    """

    def __init__(self, world, *, templates=False):
        self.world = world
        self.lines = []
        self.names = Names()
        self.templates = templates
        self.aliases = {}
        world.listeners.append(self._on_moment)

    def add_note(self, text):
        """Add a line that isn't a message, such as an injected fault."""
        self.lines.append(f"{self.world.now_ms:>6} -- {text}")

    def _add(self, source, destination, text):
        at_ms = self.world.now_ms
        self.lines.append(f"{at_ms:>6} {source} -> {destination}: {text}")

    def _on_moment(self, moment):
        if moment.name == "template in force" and self.templates:
            self.add_note(f"{moment.node} puts version {moment.subject} in force")

    def watch_balancer(self, node):
        """Record what a balancer receives."""
        self.names[node.incarnation] = node.name
        receive_caller_datagram, receive_peer_message = (
            node.receive_caller_datagram,
            node.receive_peer_message,
        )
        receive_upstream_datagram, kill = node.receive_upstream_datagram, node.kill

        def on_datagram(caller, service, datagram):
            if node.alive:
                self._add(caller, node.name, describe_datagram(datagram, self.names))
            receive_caller_datagram(caller, service, datagram)

        def on_peer(sender, message):
            if node.alive and not self._is_unrecorded(message):
                text = describe_peer(message, self.names)
                self._add(self.names[sender], node.name, text)
            receive_peer_message(sender, message)

        def on_upstream(target, path, datagram):
            if node.alive:
                text = describe_datagram(datagram, self.names)
                self._add(self.aliases[target], node.name, text)
            receive_upstream_datagram(target, path, datagram)

        def on_kill():
            self.add_note(f"{node.name} ends")
            kill()

        node.receive_caller_datagram, node.receive_peer_message = on_datagram, on_peer
        node.receive_upstream_datagram, node.kill = on_upstream, on_kill

    def _is_unrecorded(self, message):
        if isinstance(message, UNRECORDED_MESSAGES):
            return True
        about_templates = type(message).__name__.startswith("Template")
        return about_templates and not self.templates

    def watch_upstream(self, upstream):
        """Record what an upstream receives."""
        self.aliases[upstream.address] = upstream.name
        receive_datagram = upstream.receive_datagram

        def on_datagram(path, datagram):
            if upstream.alive:
                text = describe_datagram(datagram, self.names)
                self._add(path[0], upstream.name, text)
            receive_datagram(path, datagram)

        upstream.receive_datagram = on_datagram

    def watch_caller(self, caller):
        """Record what a caller receives."""
        receive_datagram = caller.receive_datagram

        def on_datagram(address, datagram):
            text = describe_datagram(datagram, self.names)
            self._add("entry", address, text)
            receive_datagram(address, datagram)

        caller.receive_datagram = on_datagram
