"""The cookie that names a target in the packets of its flows."""

from binascii import crc32

NO_COOKIE = 0


def target_cookie(name, born):
    """Return the 32 bits that name one incarnation of a target.

    Every balancer derives the same cookie from the target's own record, so no
    balancer needs another one's memory to send a packet on.

    Args:
        name: The target's id, 8 bytes.
        born: Unix milliseconds of its start; tells restarts under one id apart.

    Returns:
        An integer of 32 bits, never ``NO_COOKIE``.
    """
    return crc32(name + born.to_bytes(8, "big")) or 1
