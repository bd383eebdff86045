"""How long balancers wait before they call the store or a peer.

Random delays keep the balancers of a data centre from calling at the same time. Those
before a takeover and a fetch grow with the number of members.
"""

from ._relays import ACK_MS, MIN_MEMBERS

FRESH_MS = 1_400  # a watch and an answer of a slow store (250 ms), and some slack
TAKEOVER_JITTER_MS = 250  # limits simultaneous takeovers
TAKEOVER_JITTER_PER_MEMBER_MS = 8  # added for each member
RETRY_JITTER_PER_MEMBER_MS = 120  # of takeovers while a reader's calls fail
RETRY_INITIAL_MS = 150
RETRY_MAX_MS = 1_200  # a reader without the store retries about once a second
SLOW_LINK_TAKEOVER_DELAY_MS = 300  # instances with a fast link take over first
SLOW_LINK_MBPS = 50  # a reader sends each change to every member
RELAYED_MS = ACK_MS + 50  # until a reader has given a relay up, and a tick
FETCH_JITTER_MS = 250  # spreads followers' calls after a change
FETCH_JITTER_PER_MEMBER_MS = 8
# A route takes some 70 bytes, and a reader may spend 2 Mbit/s of its link.
FETCH_JITTER_PER_ROUTE_MEMBER_MS = 0.3


def retry_pause_ms(failures, random):
    """Return the pause after a number of consecutive failed calls."""
    pause_ms = min(RETRY_INITIAL_MS << min(failures - 1, 5), RETRY_MAX_MS)
    return pause_ms * (0.75 + random.random() / 2)


def takeover_delay_ms(members, random, *, slow_link):
    """Return how long a follower waits once its reader seems lost."""
    jitter_ms = TAKEOVER_JITTER_MS + TAKEOVER_JITTER_PER_MEMBER_MS * members
    wait_ms = SLOW_LINK_TAKEOVER_DELAY_MS if slow_link else 0
    return wait_ms + jitter_ms * random.random()


def failing_reader_delay_ms(members, random):
    """Return how long a follower waits while the store answers no known reader."""
    return RETRY_JITTER_PER_MEMBER_MS * members * random.random()


def fetch_delay_ms(members, random):
    """Return how long a follower waits before it fetches what it missed.

    In a large data centre a beacon may arrive before the change that a relay passes on.
    """
    jitter_ms = FETCH_JITTER_MS + FETCH_JITTER_PER_MEMBER_MS * members
    least_ms = RELAYED_MS if members > MIN_MEMBERS else 0
    return least_ms + (jitter_ms - least_ms) * random.random()


def configuration_fetch_delay_ms(members, routes, random):
    """Return the same for a configuration with a number of routes."""
    jitter_ms = FETCH_JITTER_MS + FETCH_JITTER_PER_MEMBER_MS * members
    transfer_ms = FETCH_JITTER_PER_ROUTE_MEMBER_MS * routes * members
    return max(jitter_ms, transfer_ms) * random.random()
