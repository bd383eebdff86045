"""Parsing and validation of a balancer's settings."""

from typing import Any

from msgspec.structs import asdict

from ._addresses import is_address, is_ipv4_address, is_url
from ._documents import SettingsDocument
from ._findings import Findings
from ._settings import REMEMBER_MARGIN_MS, LogSettings, Settings, Timing
from ._structure import Fault, convert, findings_in_order, load_json, short_json

SETTINGS = "settings"
# The first interval plus the margin must be less than the second.
ORDERED_INTERVALS = (
    # A request could run twice if it were forgotten while its Echo is accepted.
    ("echo_life_ms", REMEMBER_MARGIN_MS, "remember_ms"),
    ("line_refresh_ms", 0, "line_lease_ms"),
    ("ping_timeout_ms", 0, "ping_interval_ms"),
)


def parse_settings(document: bytes) -> Settings | Findings:
    """Validate a settings document and return its typed form.

    Args:
        document: The JSON document.

    Returns:
        The ``Settings``, or ``Findings`` with every fault of the document.
    """
    value = load_json(document, name=SETTINGS)
    if isinstance(value, Findings):
        return value
    converted = convert(value, SettingsDocument, SETTINGS)
    faults = converted if isinstance(converted, list) else []
    fields = value if isinstance(value, dict) else {}
    faults += address_format_faults(fields)
    faults += seed_faults(fields)
    faults += same_address_faults(fields)
    faults += timing_faults(fields)
    if faults:
        return findings_in_order(SETTINGS, value, faults)
    return build_settings(converted)


def address_format_faults(fields: dict[str, Any]) -> list[Fault]:
    """Find addresses and URLs that are malformed."""
    checks = (
        ("address", is_ipv4_address, "an IPv4 address in numbers"),
        ("peer_address", is_address, "IP:port in numbers"),
        ("operator_address", is_address, "IP:port in numbers"),
        ("platform_url", is_url, "an http URL with an IPv4 number as its host"),
        ("statsd_address", is_address, "IP:port in numbers"),
    )
    faults = []
    for name, check, expected in checks:
        text = fields.get(name)
        if isinstance(text, str) and not check(text):
            faults.append(Fault((name,), f"{short_json(text)} is not {expected}"))
    return faults


def seed_faults(fields: dict[str, Any]) -> list[Fault]:
    """Find seeds that are malformed, repeated or the balancer's own address."""
    seeds = fields.get("seeds")
    faults = []
    for index, text in enumerate(seeds if isinstance(seeds, list) else []):
        if not isinstance(text, str):
            continue
        path = ("seeds", index)
        if not is_address(text):
            faults.append(Fault(path, f"{short_json(text)} is not IP:port in numbers"))
        elif text == fields.get("peer_address"):
            faults.append(
                Fault(path, f"{short_json(text)} is the balancer's own address")
            )
        elif text in seeds[:index]:
            faults.append(Fault(path, f"{short_json(text)} is given twice"))
    return faults


def same_address_faults(fields: dict[str, Any]) -> list[Fault]:
    """Find an operator address that equals the peer address."""
    address = fields.get("operator_address")
    if address is None or address != fields.get("peer_address"):
        return []
    return [
        Fault(("operator_address",), f"{short_json(address)} is the peer address too")
    ]


def timing_faults(fields: dict[str, Any]) -> list[Fault]:
    """Find intervals that violate ``ORDERED_INTERVALS``."""
    timing = fields.get("timing")
    given = timing if isinstance(timing, dict) else {}
    values = Timing()._asdict() | given
    faults = []
    for shorter, margin, longer in ORDERED_INTERVALS:
        first, second = values[shorter], values[longer]
        comparable = isinstance(first, int) and isinstance(second, int)
        if comparable and first + margin >= second:
            name = shorter if shorter in given else longer
            extra = f" and {margin} more" if margin else ""
            reason = f"{shorter} ({first}){extra} must be less than {longer} ({second})"
            faults.append(Fault(("timing", name), reason))
    return faults


def build_settings(document: SettingsDocument) -> Settings:
    """Return the typed form of valid settings."""
    values = asdict(document)
    values["seeds"] = tuple(document.seeds)
    values["log"] = LogSettings(**asdict(document.log))
    values["timing"] = Timing(**asdict(document.timing))
    return Settings(**values)
