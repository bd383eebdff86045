"""The cookie that names a target in the packets of its flows."""

from binascii import crc32

NO_COOKIE = 0
_UNCONFIRMED_BIT = 0x80000000


def target_cookie(name, born):
    """Return the 32-bit cookie of one incarnation of a target.

    Every balancer derives the same cookie from the target's entry, so balancers
    forward each other's flows without shared state.

    Args:
        name: Id of the target, 8 bytes.
        born: Its start in Unix milliseconds, which distinguishes restarts under
            one id.

    Returns:
        An integer of 32 bits, never ``NO_COOKIE``.
    """
    return crc32(name + born.to_bytes(8, "big")) or 1


def unconfirmed(cookie):
    """Return a cookie in the form for a target that may not hold the flow.

    A SYN carries it, as further targets may get a copy. The form of its own result is
    the cookie.
    """
    return cookie ^ _UNCONFIRMED_BIT
