"""Loopback networks for deployments that run at the same time."""

import socket

from ._deployment import STORE_PORT


def find_free_network(networks):
    """Return the first network in which no other deployment has a store.

    Args:
        networks: Second octets of addresses, in the order to try.

    Raises:
        LookupError: None of them is free.
    """
    for network in networks:
        try:
            socket.create_server((f"127.{network}.0.1", STORE_PORT)).close()
        except OSError:
            continue  # another deployment runs there
        return network
    raise LookupError("no network is free for a deployment")
