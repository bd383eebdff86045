"""Separate loopback networks for deployments that run at the same time."""

import socket

from ._deployment import STORE_PORT


def find_free_network(networks):
    """Return the first network in which no other deployment has a store.

    Args:
        networks: Candidates for the second octet of addresses, in order.

    Raises:
        LookupError: No candidate is free.
    """
    for network in networks:
        try:
            socket.create_server((f"127.{network}.0.1", STORE_PORT)).close()
        except OSError:
            continue  # another deployment's store listens there
        return network
    raise LookupError("every candidate loopback network is in use")
