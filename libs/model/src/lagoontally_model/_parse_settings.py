"""Reads and checks the settings of a balancer."""

from typing import Any

from msgspec.structs import asdict

from ._addresses import is_address, is_number, is_url
from ._documents import SettingsDocument
from ._findings import Findings
from ._settings import REMEMBER_MARGIN_MS, LogSettings, Settings, Timing
from ._structure import Fault, convert, findings_in_order, load_json, shown

SETTINGS = "settings"
# Each first interval and the margin must be shorter than the second.
SHORTER_THAN = (
    # A request forgotten while its Echo is accepted could run twice.
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
    faults += text_faults(fields)
    faults += seed_faults(fields)
    faults += same_address_faults(fields)
    faults += timing_faults(fields)
    if faults:
        return findings_in_order(SETTINGS, value, faults)
    return build_settings(converted)


def text_faults(fields: dict[str, Any]) -> list[Fault]:
    """Find addresses and URLs that are malformed."""
    checks = (
        ("address", is_number, "an IPv4 address in numbers"),
        ("peer_address", is_address, "IP:port in numbers"),
        ("operator_address", is_address, "IP:port in numbers"),
        ("platform_url", is_url, "an http URL with an IPv4 number as its host"),
        ("statsd_address", is_address, "IP:port in numbers"),
    )
    faults = []
    for name, check, wanted in checks:
        text = fields.get(name)
        if isinstance(text, str) and not check(text):
            faults.append(Fault((name,), f"{shown(text)} is not {wanted}"))
    return faults


def seed_faults(fields: dict[str, Any]) -> list[Fault]:
    """Find seeds that are malformed, given twice or the balancer itself."""
    seeds = fields.get("seeds")
    faults = []
    for index, text in enumerate(seeds if isinstance(seeds, list) else []):
        if not isinstance(text, str):
            continue
        path = ("seeds", index)
        if not is_address(text):
            faults.append(Fault(path, f"{shown(text)} is not IP:port in numbers"))
        elif text == fields.get("peer_address"):
            faults.append(Fault(path, f"{shown(text)} is the balancer's own address"))
        elif text in seeds[:index]:
            faults.append(Fault(path, f"{shown(text)} is given twice"))
    return faults


def same_address_faults(fields: dict[str, Any]) -> list[Fault]:
    """Find an operator address that is the peer address too."""
    address = fields.get("operator_address")
    if address is None or address != fields.get("peer_address"):
        return []
    return [Fault(("operator_address",), f"{shown(address)} is the peer address too")]


def timing_faults(fields: dict[str, Any]) -> list[Fault]:
    """Find intervals that are too long for one another."""
    timing = fields.get("timing")
    given = timing if isinstance(timing, dict) else {}
    values = Timing()._asdict() | given
    faults = []
    for shorter, margin, longer in SHORTER_THAN:
        first, second = values[shorter], values[longer]
        readable = isinstance(first, int) and isinstance(second, int)
        if readable and first + margin >= second:
            name = shorter if shorter in given else longer
            added = f" and {margin} more" if margin else ""
            reason = f"{shorter} ({first}){added} must be less than {longer} ({second})"
            faults.append(Fault(("timing", name), reason))
    return faults


def build_settings(document: SettingsDocument) -> Settings:
    """Return the typed form of settings without faults."""
    values = asdict(document)
    values["seeds"] = tuple(document.seeds)
    values["log"] = LogSettings(**asdict(document.log))
    values["timing"] = Timing(**asdict(document.timing))
    return Settings(**values)
