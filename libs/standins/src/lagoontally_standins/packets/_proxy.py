"""A TCP proxy between one balancer and the store that injects faults."""

import socket

from ._writer import Writer

PASS = "pass"
SILENT = "silent"
ONE_WAY = "one way"
RESET = "reset"
DELAYED = "delayed"
DELAY_S = 0.3


class Proxy:
    """Forwards connections to the store, from its own host, with faults.

    Attributes:
        mode: ``PASS`` forwards all data; ``SILENT`` drops all data; ``ONE_WAY``
            drops responses; ``DELAYED`` forwards after ``DELAY_S``; ``RESET``
            closes connections.
    """

    def __init__(self, loop, address, upstream):
        self.loop = loop
        self.upstream = upstream
        self.mode = PASS
        self.connections = []
        self.listener = socket.create_server(address, backlog=64)
        self.host = self.listener.getsockname()[0]
        loop.watch(self.listener, self._on_connection)

    def set_mode(self, mode):
        """Set the mode of open and new connections."""
        self.mode = mode
        if mode == RESET:
            for connection in list(self.connections):
                connection.close()

    def _on_connection(self):
        sock, _ = self.listener.accept()
        if self.mode == RESET:
            sock.close()
            return
        try:
            # From the proxy's address, by which the store tells balancers apart.
            upstream = socket.create_connection(
                self.upstream, timeout=1, source_address=(self.host, 0)
            )
        except OSError:
            sock.close()  # the store is unreachable
            return
        self.connections.append(_Connection(self, sock, upstream))


class _Connection:
    def __init__(self, proxy, client, server):
        self.proxy = proxy
        self.client = client
        self.server = server
        self.is_open = True
        proxy.loop.watch(client, lambda: self.on_readable(client, server))
        proxy.loop.watch(server, lambda: self.on_readable(server, client))
        self.writers = {
            sock: Writer(proxy.loop, sock, self.close) for sock in (client, server)
        }

    def on_readable(self, source, sink):
        try:
            data = source.recv(65_536)
        except OSError:
            data = b""  # a reset is forwarded as a close
        mode = self.proxy.mode
        if not data:
            self.close()
        elif mode == DELAYED:
            self.proxy.loop.after(DELAY_S, lambda: self.forward(sink, data))
        elif mode == PASS or (mode == ONE_WAY and sink is self.server):
            self.forward(sink, data)

    def forward(self, sink, data):
        if self.is_open:
            self.writers[sink].write(data)

    def close(self):
        if self.is_open:
            self.is_open = False
            self.proxy.connections.remove(self)
            self.proxy.loop.unwatch(self.client)
            self.proxy.loop.unwatch(self.server)
