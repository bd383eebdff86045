"""The typed form of a balancer's settings."""

from typing import NamedTuple

ECHO_LIFE_MS = 120_000
REMEMBER_MS = 420_000
REQUEST_TIMEOUT_MS = 10_000
LINE_LEASE_MS = 90_000
LINE_REFRESH_MS = 15_000
PING_INTERVAL_MS = 1_000
PING_TIMEOUT_MS = 300
SUSPICION_MS = 4_000
HANDOVER_TIMEOUT_MS = 5_000
DRAIN_MS = 8_000
# Under an Echo older than ``remember_ms`` less this margin, a home answers
# "unknown", as it may have forgotten the request.
REMEMBER_MARGIN_MS = 60_000


class LogSettings(NamedTuple):
    """How a balancer logs.

    Attributes:
        level: Name of a ``logging`` level.
        format: ``text`` or ``json``.
    """

    level: str = "INFO"
    format: str = "text"


class Timing(NamedTuple):
    """Intervals and timeouts of a balancer.

    Attributes:
        echo_life_ms: How long after its issue an Echo is valid for new operations.
        remember_ms: How long a request that runs at most once is remembered.
        request_timeout_ms: Maximum deadline of a request, and the default of one
            that gives none.
        line_lease_ms: How long a line stays open unless its caller renews it or
            acknowledges a notification.
        line_refresh_ms: How long a target may be silent on a line before the
            line is registered there again.
        ping_interval_ms: Interval between two probes, and the time after which
            an unanswered one makes its member suspect.
        ping_timeout_ms: How long a probe waits before others are asked to probe.
        suspicion_ms: How long a member is suspected before it is declared dead.
        handover_timeout_ms: How long the successors may take to acknowledge one
            attempt of a handover.
        drain_ms: How long a leaving balancer waits for its requests to finish.
    """

    echo_life_ms: int = ECHO_LIFE_MS
    remember_ms: int = REMEMBER_MS
    request_timeout_ms: int = REQUEST_TIMEOUT_MS
    line_lease_ms: int = LINE_LEASE_MS
    line_refresh_ms: int = LINE_REFRESH_MS
    ping_interval_ms: int = PING_INTERVAL_MS
    ping_timeout_ms: int = PING_TIMEOUT_MS
    suspicion_ms: int = SUSPICION_MS
    handover_timeout_ms: int = HANDOVER_TIMEOUT_MS
    drain_ms: int = DRAIN_MS


class Settings(NamedTuple):
    """The settings of one balancer process.

    Attributes:
        instance: Name of the instance.
        tenant: Tenant that it serves.
        workspace: Workspace whose services it serves.
        data_centre: Data centre that it runs in.
        address: IPv4 address at which it binds the services' entry ports.
        peer_address: ``IP:port`` at which it receives other balancers' messages.
        operator_address: ``IP:port`` at which it answers operators' queries.
        platform_url: Base URL of the platform.
        statsd_address: ``IP:port`` of statsd, or None for no metrics.
        seeds: Peer addresses to contact when the platform's list can't be read.
        log: Log settings.
        timing: Intervals and timeouts.
    """

    instance: str
    tenant: str
    workspace: str
    data_centre: str
    address: str
    peer_address: str
    operator_address: str
    platform_url: str
    statsd_address: str | None = None
    seeds: tuple[str, ...] = ()
    log: LogSettings = LogSettings()
    timing: Timing = Timing()
