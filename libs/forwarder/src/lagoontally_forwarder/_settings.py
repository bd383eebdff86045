"""Settings of a balancer on the platform, checked as a whole."""

from lagoontally_lean import Record, loads
from lagoontally_platform import parse_address


class Settings(
    Record,
    fields="instance data_centre host packet_address ready_address "
    "peer_address metrics_address seeds store_address link_mbps grace_s",
):
    """What one balancer is told.

    Attributes:
        instance: Name of the machine.
        data_centre: Where it runs.
        host: Its address.
        packet_address: Where routers send callers' packets.
        ready_address: Where routers ask whether it takes packets.
        peer_address: Where other balancers reach it.
        metrics_address: Where its counters are served, None for nowhere.
        seeds: Peer addresses of some balancers, which may be stale.
        store_address: Where the platform's store is.
        link_mbps: Speed of its link.
        grace_s: Seconds from SIGTERM to SIGKILL.
    """

    __slots__ = ()


class InvalidSettings(Record, fields="findings"):
    """Everything that is wrong with settings: a list of texts."""

    __slots__ = ()


_ADDRESSES = ("packet_address", "ready_address", "peer_address", "store_address")
_TEXTS = ("instance", "data_centre", "host")


def parse_settings(text):
    """Return the settings in a JSON text.

    Fields that aren't known are ignored.

    Args:
        text: The file's content.

    Returns:
        A ``Settings``, or an ``InvalidSettings`` with every finding.
    """
    try:
        document = loads(text)
    except ValueError as error:
        return InvalidSettings([f"the settings are no JSON: {error}"])
    if not isinstance(document, dict):
        return InvalidSettings(["the settings are no object"])
    findings = []
    values = {name: _text(document, name, findings) for name in _TEXTS}
    for name in _ADDRESSES:
        values[name] = _address(document, name, findings)
    values["metrics_address"] = _metrics_address(document, findings)
    values["seeds"] = _seeds(document, findings)
    for name in ("link_mbps", "grace_s"):
        values[name] = _number(document, name, findings)
    return InvalidSettings(findings) if findings else Settings(**values)


def _text(document, name, findings):
    value = document.get(name)
    if isinstance(value, str) and value:
        return value
    findings.append(f"{name}: a text is missing")
    return None


def _address(document, name, findings):
    address = parse_address(document.get(name))
    if address is None:
        findings.append(f"{name}: {document.get(name)!r} is no host:port")
    return address


def _metrics_address(document, findings):
    if document.get("metrics_address") is None:
        return None
    return _address(document, "metrics_address", findings)


def _seeds(document, findings):
    listed = document.get("seeds")
    if not isinstance(listed, list):
        findings.append("seeds: a list of host:port is missing")
        return ()
    seeds = []
    for index, text in enumerate(listed):
        address = parse_address(text)
        if address is None:
            findings.append(f"seeds[{index}]: {text!r} is no host:port")
        seeds.append(address)
    return tuple(seeds)


def _number(document, name, findings):
    value = document.get(name)
    if isinstance(value, bool) or not isinstance(value, int | float) or value <= 0:
        findings.append(f"{name}: a number above 0 is missing")
        return None
    return value
