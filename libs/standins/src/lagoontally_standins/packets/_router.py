"""A simulation of the platform's routers in one data centre."""

import socket

PROBE_INTERVAL_S = 0.5
MISSES_TO_REMOVE = 2


class Router:
    """Distributes callers' packets over the balancers in rotation by flow hash.

    Args:
        loop: The ``Loop``.
        balancers: Packet and readiness addresses, by name.

    Attributes:
        misses: Number of consecutive failed readiness probes, by balancer.
    """

    def __init__(self, loop, balancers):
        self.loop = loop
        self.balancers = balancers
        self.misses = dict.fromkeys(balancers, MISSES_TO_REMOVE)
        self.probes = {}
        self.sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.sock.setblocking(False)
        self._start_probes()

    def in_rotation(self):
        """Return the names of the balancers that get packets.

        If fewer than half are ready, all of them do.
        """
        ready = sorted(
            name for name, misses in self.misses.items() if misses < MISSES_TO_REMOVE
        )
        return (
            ready if 2 * len(ready) >= len(self.balancers) else sorted(self.balancers)
        )

    def send(self, flow, packet):
        """Send a caller's packet to a balancer and return the balancer's name."""
        names = self.in_rotation()
        name = names[hash(flow) % len(names)]
        self.sock.sendto(packet, self.balancers[name][0])
        return name

    def _start_probes(self):
        for name, (_, address) in self.balancers.items():
            self._end_probe(name, ready=False)
            sock = socket.socket()
            sock.setblocking(False)
            sock.connect_ex(address)
            self.probes[name] = sock
            self.loop.after(
                0.02, lambda name=name, sock=sock: self._send_probe(name, sock)
            )
        self.loop.after(PROBE_INTERVAL_S, self._start_probes)

    def _send_probe(self, name, sock):
        try:
            sock.sendall(b"GET /api/readiness HTTP/1.1\r\nHost: x\r\n\r\n")
        except OSError:
            return  # counted as a miss when the next probe starts
        self.loop.watch(sock, lambda: self._on_response(name, sock))

    def _on_response(self, name, sock):
        try:
            response = sock.recv(4_096)
        except OSError:
            response = b""
        if response.startswith(b"HTTP/1.1 200"):
            self.misses[name] = 0
            self._end_probe(name, ready=True)
        else:
            self._end_probe(name, ready=False)

    def _end_probe(self, name, *, ready):
        sock = self.probes.pop(name, None)
        if sock is None:
            return
        if not ready:
            self.misses[name] += 1
        if sock in self.loop.selector.get_map():
            self.loop.unwatch(sock)
        else:
            sock.close()
