"""Records what arrives where in a world, one line a message."""

from ._describe import GOSSIP, Names, describe_datagram, describe_peer

LEFT_OUT = GOSSIP


class Recorder:
    """The messages of a session, in the order of their arrival.

    Attributes:
        world: The world.
        lines: One line for each message that has arrived.
        names: The ``Names`` that the lines use.
        templates: True when messages about templates are kept.
    """

    def __init__(self, world, *, templates=False):
        self.world = world
        self.lines = []
        self.names = Names()
        self.templates = templates
        self.aliases = {}
        world.listeners.append(self._on_moment)

    def add_note(self, text):
        """Add a line of its own, such as a fault."""
        self.lines.append(f"{self.world.now_ms:>6} -- {text}")

    def _add(self, source, destination, text):
        at_ms = self.world.now_ms
        self.lines.append(f"{at_ms:>6} {source} -> {destination}: {text}")

    def _on_moment(self, moment):
        if moment.name == "template in force" and self.templates:
            self.add_note(f"{moment.node} puts version {moment.subject} in force")

    def watch_balancer(self, node):
        """Record what a balancer gets."""
        self.names[node.incarnation] = node.name
        take_datagram, take_peer = node.take_datagram, node.take_peer
        take_upstream, kill = node.take_upstream, node.kill

        def on_datagram(caller, service, datagram):
            if node.alive:
                self._add(caller, node.name, describe_datagram(datagram, self.names))
            take_datagram(caller, service, datagram)

        def on_peer(sender, message):
            if node.alive and not self._is_noise(message):
                text = describe_peer(message, self.names)
                self._add(self.names[sender], node.name, text)
            take_peer(sender, message)

        def on_upstream(target, path, datagram):
            if node.alive:
                text = describe_datagram(datagram, self.names)
                self._add(self.aliases[target], node.name, text)
            take_upstream(target, path, datagram)

        def on_kill():
            self.add_note(f"{node.name} ends")
            kill()

        node.take_datagram, node.take_peer = on_datagram, on_peer
        node.take_upstream, node.kill = on_upstream, on_kill

    def _is_noise(self, message):
        if isinstance(message, LEFT_OUT):
            return True
        about_templates = type(message).__name__.startswith("Template")
        return about_templates and not self.templates

    def watch_upstream(self, upstream):
        """Record what an upstream gets."""
        self.aliases[upstream.address] = upstream.name
        take = upstream.take

        def on_datagram(path, datagram):
            if upstream.alive:
                text = describe_datagram(datagram, self.names)
                self._add(path[0], upstream.name, text)
            take(path, datagram)

        upstream.take = on_datagram

    def watch_caller(self, caller):
        """Record what a caller gets."""
        take = caller.take

        def on_datagram(address, datagram):
            text = describe_datagram(datagram, self.names)
            self._add("entry", address, text)
            take(address, datagram)

        caller.take = on_datagram
