"""Separate loopback networks for deployments that run at the same time."""

import socket

RESERVATION_PORT = 8160

_reservations = {}


def reserve_network(networks):
    """Return the first network that nobody on this machine has reserved.

    The network stays reserved until it is released or the process ends.

    Args:
        networks: Candidates for the second octet of addresses, in order.

    Raises:
        LookupError: No candidate is free.
    """
    for network in networks:
        try:
            reservation = socket.create_server((f"127.{network}.0.1", RESERVATION_PORT))
        except OSError:
            continue
        _reservations[network] = reservation
        return network
    raise LookupError("every candidate loopback network is reserved")


def release_network(network):
    """Give up a network reserved by this process.

    Args:
        network: What ``reserve_network`` returned.
    """
    _reservations.pop(network).close()
