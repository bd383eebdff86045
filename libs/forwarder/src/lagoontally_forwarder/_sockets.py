"""Sockets that never block.

They come from ``_socket``: the module ``socket`` takes 10 ms of processor time
at the start for conveniences that nothing here uses (docs/PLATFORM.md).
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
    """Return a bound socket for datagrams."""
    sock = socket(AF_INET, SOCK_DGRAM)
    sock.setblocking(False)
    sock.bind(address)
    return sock


def listening_socket(address):
    """Return a socket that takes connections."""
    sock = socket(AF_INET, SOCK_STREAM)
    sock.setblocking(False)
    sock.setsockopt(SOL_SOCKET, SO_REUSEADDR, 1)
    sock.bind(address)
    sock.listen(BACKLOG)
    return sock


def accept(listener):
    """Return a waiting connection, None where there is none."""
    try:
        descriptor, _ = listener._accept()
    except OSError:
        return None  # the peer has gone, or every descriptor is in use
    sock = socket(fileno=descriptor)
    sock.setblocking(False)
    return sock


def connect(address):
    """Return a socket that is being connected.

    Raises:
        OSError: The connection can't even be tried.
    """
    sock = socket(AF_INET, SOCK_STREAM)
    sock.setblocking(False)
    sock.setsockopt(IPPROTO_TCP, TCP_NODELAY, 1)
    try:
        sock.connect(address)
    except BlockingIOError:
        pass  # it goes on in the background
    except OSError:
        sock.close()
        raise
    return sock


def connect_error(sock):
    """Return the number of the error with which connecting failed, 0 for none."""
    return sock.getsockopt(SOL_SOCKET, SO_ERROR)
