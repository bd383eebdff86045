"""Checks of addresses, URLs and times written as text."""

from datetime import datetime
from ipaddress import AddressValueError, IPv4Address
from urllib.parse import urlsplit

from ._documents import MAX_PORT

URL_SCHEMES = ("http", "https")


def is_number(text: str) -> bool:
    """Tell whether a text is the IPv4 number of one machine."""
    try:
        number = IPv4Address(text)
    except AddressValueError:
        return False
    return not (number.is_unspecified or number.is_multicast)


def is_address(text: str) -> bool:
    """Tell whether a text is ``IP:port`` in the one accepted spelling."""
    number, _, port = text.partition(":")
    if not (port.isascii() and port.isdigit()) or port.startswith("0"):
        return False
    return (
        len(port) <= len(str(MAX_PORT)) and int(port) <= MAX_PORT and is_number(number)
    )


def is_url(text: str) -> bool:
    """Tell whether a text is an http URL whose host is an IPv4 number."""
    try:
        parts = urlsplit(text)
        port = parts.port
    except ValueError:
        return False
    known = parts.scheme in URL_SCHEMES and port != 0
    return known and is_number(parts.hostname or "")


def parse_time(text: str) -> datetime | None:
    """Read an ISO 8601 time; None where it is malformed or has no zone."""
    try:
        time = datetime.fromisoformat(text)
    except ValueError:
        return None
    return time if time.tzinfo is not None else None
