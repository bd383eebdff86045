"""A stand-in for the platform's routers of one data centre."""

import socket

PROBE_INTERVAL_S = 0.5
MISSES = 2


class Router:
    """Sends callers' packets to the balancers in rotation, by a hash.

    Args:
        loop: The ``Loop``.
        balancers: Packet and readiness addresses, by name.

    Attributes:
        misses: Readiness probes in a row without a 200, by name.
    """

    def __init__(self, loop, balancers):
        self.loop = loop
        self.balancers = balancers
        self.misses = dict.fromkeys(balancers, MISSES)
        self.probes = {}
        self.sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.sock.setblocking(False)
        self._probe()

    def in_rotation(self):
        """Return the names of the balancers that get packets."""
        ready = sorted(name for name, misses in self.misses.items() if misses < MISSES)
        return (
            ready if 2 * len(ready) >= len(self.balancers) else sorted(self.balancers)
        )

    def send(self, flow, packet):
        """Hand a caller's packet to a balancer and return its name."""
        names = self.in_rotation()
        name = names[hash(flow) % len(names)]
        self.sock.sendto(packet, self.balancers[name][0])
        return name

    def _probe(self):
        for name, (_, address) in self.balancers.items():
            self._end_probe(name, answered=False)
            sock = socket.socket()
            sock.setblocking(False)
            sock.connect_ex(address)
            self.probes[name] = sock
            self.loop.after(0.02, lambda name=name, sock=sock: self._ask(name, sock))
        self.loop.after(PROBE_INTERVAL_S, self._probe)

    def _ask(self, name, sock):
        try:
            sock.sendall(b"GET /api/readiness HTTP/1.1\r\nHost: x\r\n\r\n")
        except OSError:
            return  # counted as a miss when the next probe begins
        self.loop.watch(sock, lambda: self._on_answer(name, sock))

    def _on_answer(self, name, sock):
        try:
            answer = sock.recv(4_096)
        except OSError:
            answer = b""
        if answer.startswith(b"HTTP/1.1 200"):
            self.misses[name] = 0
            self._end_probe(name, answered=True)
        else:
            self._end_probe(name, answered=False)

    def _end_probe(self, name, *, answered):
        sock = self.probes.pop(name, None)
        if sock is None:
            return
        if not answered:
            self.misses[name] += 1
        if sock in self.loop.selector.get_map():
            self.loop.unwatch(sock)
        else:
            sock.close()
