"""The block of loopback addresses that a deployment has to itself."""

import socket
from random import Random

from ._children import NotReadyError
from ._fleet import Addresses

# The second octets that a deployment chooses its addresses from.
FIRST_BLOCK, LAST_BLOCK = 16, 239
CLAIM_PORT = 8499
BLOCK_TRIES = 50


def claim_addresses(
    random: Random, preferred: int | None = None
) -> tuple[Addresses, socket.socket]:
    """Choose a block of loopback addresses that no other deployment uses.

    Args:
        random: Source of the choice.
        preferred: The block to choose if it is free, None for any.

    Returns:
        The addresses, and the socket that keeps them claimed until it is closed.

    Raises:
        NotReadyError: Every block that was tried is in use.
    """
    tries = [random.randint(FIRST_BLOCK, LAST_BLOCK) for _ in range(BLOCK_TRIES)]
    for block in tries if preferred is None else [preferred, *tries]:
        addresses = Addresses(block)
        claim = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        try:
            claim.bind((f"127.{addresses.block}.0.1", CLAIM_PORT))
            require_free(addresses.platform)
            require_free(addresses.fabric_control)
        except OSError:
            claim.close()
            continue
        return addresses, claim
    raise NotReadyError("no free block of loopback addresses")


def require_free(address: str) -> None:
    """Check that no process of an earlier deployment listens at an address.

    Raises:
        OSError: The address is in use.
    """
    host, _, port = address.rpartition(":")
    with socket.create_server((host, int(port))):
        pass
