"""Validation of addresses, URLs and times given as text."""

from datetime import datetime
from ipaddress import AddressValueError, IPv4Address
from urllib.parse import urlsplit

from ._documents import MAX_PORT

URL_SCHEMES = ("http", "https")


def is_ipv4_address(text: str) -> bool:
    """Return whether a text is an IPv4 address that a host can have."""
    try:
        address = IPv4Address(text)
    except AddressValueError:
        return False
    return not (address.is_unspecified or address.is_multicast)


def is_address(text: str) -> bool:
    """Return whether a text is ``IP:port`` in canonical form (no leading zeros)."""
    host, _, port = text.partition(":")
    if not (port.isascii() and port.isdigit()) or port.startswith("0"):
        return False
    return (
        len(port) <= len(str(MAX_PORT))
        and int(port) <= MAX_PORT
        and is_ipv4_address(host)
    )


def is_url(text: str) -> bool:
    """Return whether a text is an HTTP URL whose host is an IPv4 address."""
    try:
        parts = urlsplit(text)
        port = parts.port
    except ValueError:
        return False
    supported = parts.scheme in URL_SCHEMES and port != 0
    return supported and is_ipv4_address(parts.hostname or "")


def parse_time(text: str) -> datetime | None:
    """Parse an ISO 8601 time; None if it is malformed or has no time zone."""
    try:
        time = datetime.fromisoformat(text)
    except ValueError:
        return None
    return time if time.tzinfo is not None else None
