"""Status of a balancer, as gossiped between members."""

from enum import IntEnum


class MemberStatus(IntEnum):
    """Status of a balancer; a higher value wins at the same revision."""

    ALIVE = 0
    LEAVING = 1
    SUSPECT = 2
    DEAD = 3
    LEFT = 4
