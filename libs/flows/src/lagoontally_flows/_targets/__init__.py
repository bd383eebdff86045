"""Targets that are listed, and whether they respond."""

from ._bounds import MAX_WARM_UP_MS, out_of_range
from ._cookie import NO_COOKIE, target_cookie, unconfirmed
from ._health import (
    ACCEPTED,
    LONG_AGO_MS,
    REFUSED,
    SILENT,
    UNCLEAR,
    Health,
    Probe,
    Verdict,
)
from ._stuck_flow_resets import reset_flows, should_reset_flows
from ._stuck_targets import ANSWERED, STUCK, THIS_BALANCER, UNANSWERED, StuckTargets
from ._unknown_cookies import UnknownCookies
from ._view import View
from ._warm_ups import WarmUps

__all__ = [
    "ACCEPTED",
    "ANSWERED",
    "Health",
    "LONG_AGO_MS",
    "MAX_WARM_UP_MS",
    "NO_COOKIE",
    "Probe",
    "REFUSED",
    "SILENT",
    "STUCK",
    "StuckTargets",
    "THIS_BALANCER",
    "UNANSWERED",
    "UNCLEAR",
    "UnknownCookies",
    "Verdict",
    "View",
    "WarmUps",
    "out_of_range",
    "reset_flows",
    "should_reset_flows",
    "target_cookie",
    "unconfirmed",
]
