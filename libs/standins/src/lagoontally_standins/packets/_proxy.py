"""A loopback proxy in front of the store, for one balancer."""

import socket

PASS = "pass"
SILENT = "silent"
ONE_WAY = "one way"
RESET = "reset"
DELAYED = "delayed"
DELAY_S = 0.3


class Proxy:
    """Passes connections on, or harms them.

    Attributes:
        mode: How bytes are treated: ``PASS``; ``SILENT`` drops all of them,
            ``ONE_WAY`` the answers; ``DELAYED`` holds them for ``DELAY_S``;
            ``RESET`` ends connections.
    """

    def __init__(self, loop, address, upstream):
        self.loop = loop
        self.upstream = upstream
        self.mode = PASS
        self.links = []
        self.listener = socket.create_server(address, backlog=64)
        loop.watch(self.listener, self._on_connection)

    def set_mode(self, mode):
        """Change the mode, also for open connections."""
        self.mode = mode
        if mode == RESET:
            for link in list(self.links):
                link.close()

    def _on_connection(self):
        sock, _ = self.listener.accept()
        if self.mode == RESET:
            sock.close()
            return
        try:
            upstream = socket.create_connection(self.upstream, timeout=1)
        except OSError:
            sock.close()  # the store is gone; so the caller sees it
            return
        self.links.append(_Link(self, sock, upstream))


class _Link:
    def __init__(self, proxy, near, far):
        self.proxy = proxy
        self.near = near
        self.far = far
        self.is_open = True
        proxy.loop.watch(near, lambda: self.on_readable(near, far))
        proxy.loop.watch(far, lambda: self.on_readable(far, near))

    def on_readable(self, source, sink):
        try:
            data = source.recv(65_536)
        except OSError:
            data = b""  # reset: passed on as an end
        mode = self.proxy.mode
        if not data:
            self.close()
        elif mode == DELAYED:
            self.proxy.loop.after(DELAY_S, lambda: self.pass_on(sink, data))
        elif mode == PASS or (mode == ONE_WAY and sink is self.far):
            self.pass_on(sink, data)

    def pass_on(self, sink, data):
        if not self.is_open:
            return
        sink.setblocking(True)
        try:
            sink.sendall(data)
            sink.setblocking(False)
        except OSError:
            self.close()  # the other end has gone

    def close(self):
        if self.is_open:
            self.is_open = False
            self.proxy.links.remove(self)
            self.proxy.loop.unwatch(self.near)
            self.proxy.loop.unwatch(self.far)
