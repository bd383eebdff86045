"""The settings file of a balancer and its validation."""

from lagoontally_lean import Record, loads
from lagoontally_platform import parse_address


class Settings(
    Record,
    fields="instance data_centre host packet_address ready_address "
    "peer_address metrics_address seeds store_address link_mbps grace_s regions "
    "warm_up_excess warm_up_slack admission",
):
    """The settings of one balancer; addresses are pairs of a host and a port.

    Attributes:
        instance: Name of the machine.
        data_centre: Data centre of the machine.
        host: IP address of the machine.
        packet_address: Where routers send callers' packets.
        ready_address: Where routers check whether the balancer accepts packets.
        peer_address: Where other balancers reach this one.
        metrics_address: An extra address that serves metrics, None for none.
        seeds: Peer addresses of some balancers, which may be stale.
        store_address: Address of the platform's store.
        link_mbps: Speed of the machine's network link.
        grace_s: Seconds from SIGTERM to SIGKILL.
        regions: Region by data centre, empty if none is stated.
        warm_up_excess: Factor by which the requests of a target that warms up may
            exceed what its service states, None for no bound.
        warm_up_slack: Requests within any second that it may get besides.
        admission: Whether callers may be refused for lack of room, and full targets
            left out.
    """

    __slots__ = ()


class InvalidSettings(Record, fields="findings"):
    """All errors in the settings, as a list of texts."""

    __slots__ = ()


_ADDRESSES = ("packet_address", "ready_address", "peer_address", "store_address")
_STRINGS = ("instance", "data_centre", "host")
MAX_NUMBER = 1_000_000_000  # products with rates and times are finite


def parse_settings(text):
    """Parse the content of a settings file, ignoring unknown fields.

    Returns:
        A ``Settings``, or an ``InvalidSettings`` with all errors.
    """
    try:
        document = loads(text)
    except ValueError as error:
        return InvalidSettings([f"the settings are not valid JSON: {error}"])
    if not isinstance(document, dict):
        return InvalidSettings(["the settings are not a JSON object"])
    findings = []
    values = {name: _string(document, name, findings) for name in _STRINGS}
    for name in _ADDRESSES:
        values[name] = _address(document, name, findings)
    values["metrics_address"] = _metrics_address(document, findings)
    values["seeds"] = _seeds(document, findings)
    for name in ("link_mbps", "grace_s"):
        values[name] = _number(document, name, findings)
    values["regions"] = _regions(document, findings)
    for name in ("warm_up_excess", "warm_up_slack"):
        values[name] = _bound(document, name, findings)
    values["admission"] = _switch(document, "admission", findings)
    return InvalidSettings(findings) if findings else Settings(**values)


def _string(document, name, findings):
    value = document.get(name)
    if isinstance(value, str) and value:
        return value
    findings.append(f"{name}: must be a non-empty string")
    return None


def _address(document, name, findings):
    address = parse_address(document.get(name))
    if address is None:
        findings.append(f"{name}: {document.get(name)!r} is not host:port")
    return address


def _metrics_address(document, findings):
    if document.get("metrics_address") is None:
        return None
    return _address(document, "metrics_address", findings)


def _seeds(document, findings):
    listed = document.get("seeds")
    if not isinstance(listed, list):
        findings.append("seeds: must be a list of host:port")
        return ()
    seeds = []
    for index, text in enumerate(listed):
        address = parse_address(text)
        if address is None:
            findings.append(f"seeds[{index}]: {text!r} is not host:port")
        seeds.append(address)
    return tuple(seeds)


def _bound(document, name, findings):
    value = document.get(name)
    if value is None:
        return None
    if _is_number(value) and 0 <= value <= MAX_NUMBER:
        return value
    findings.append(f"{name}: must be a number from 0 to {MAX_NUMBER:,}")
    return None


def _switch(document, name, findings):
    value = document.get(name, "on")
    if value not in ("on", "off"):
        findings.append(f'{name}: must be "on" or "off"')
    return value == "on"


def _regions(document, findings):
    listed = document.get("regions")
    if listed is None:
        return {}
    if isinstance(listed, dict) and all(
        isinstance(name, str) for name in listed.values()
    ):
        return listed
    findings.append("regions: must be an object with the region of each data centre")
    return {}


def _number(document, name, findings):
    value = document.get(name)
    if _is_number(value) and 0 < value <= MAX_NUMBER:
        return value
    findings.append(f"{name}: must be a number above 0, {MAX_NUMBER:,} at most")
    return None


def _is_number(value):
    return isinstance(value, int | float) and not isinstance(value, bool)
