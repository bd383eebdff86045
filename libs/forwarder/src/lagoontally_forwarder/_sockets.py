"""Non-blocking IPv4 sockets.

They come from ``_socket``: the module ``socket`` takes 10 ms of CPU time at
startup for features that aren't needed here (docs/PLATFORM.md).
"""

from _socket import (
    AF_INET,
    IPPROTO_TCP,
    SO_ERROR,
    SO_REUSEADDR,
    SOCK_DGRAM,
    SOCK_STREAM,
    SOL_SOCKET,
    TCP_NODELAY,
    socket,
)

BACKLOG = 64


def datagram_socket(address):
    """Return a bound UDP socket."""
    sock = socket(AF_INET, SOCK_DGRAM)
    sock.setblocking(False)
    sock.bind(address)
    return sock


def listening_socket(address):
    """Return a listening TCP socket."""
    sock = socket(AF_INET, SOCK_STREAM)
    sock.setblocking(False)
    sock.setsockopt(SOL_SOCKET, SO_REUSEADDR, 1)
    sock.bind(address)
    sock.listen(BACKLOG)
    return sock


def accept(listener):
    """Accept a pending connection; return None if there is none."""
    try:
        descriptor, _ = listener._accept()
    except OSError:
        return None  # the peer has disconnected, or no descriptor is free
    sock = socket(fileno=descriptor)
    sock.setblocking(False)
    return sock


def connect(address):
    """Return a TCP socket whose connection is in progress.

    Raises:
        OSError: The connection failed at once.
    """
    sock = socket(AF_INET, SOCK_STREAM)
    sock.setblocking(False)
    sock.setsockopt(IPPROTO_TCP, TCP_NODELAY, 1)
    try:
        sock.connect(address)
    except BlockingIOError:
        pass  # the connection is in progress
    except OSError:
        sock.close()
        raise
    return sock


def connect_error(sock):
    """Return the errno of a failed connection attempt, 0 if there is no error."""
    return sock.getsockopt(SOL_SOCKET, SO_ERROR)
