"""Asks several balancers at the same time."""

from collections.abc import Iterable
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import Any, NamedTuple

import click

from lagoontally_model import Findings, parse_settings

from ._exit import ExitStatus
from ._operator import Declined, Unreachable, ask

ASKED_AT_ONCE = 16
GONE = ("dead", "left")


class Reply(NamedTuple):
    """What one balancer answered, or why it didn't."""

    address: str
    answer: dict[str, Any] | Declined | Unreachable

    @property
    def good(self) -> bool:
        """Whether the balancer answered the question."""
        return isinstance(self.answer, dict)


class AddressUnknown(NamedTuple):
    """A member whose operator address nothing names."""

    member: str


def ask_all(
    addresses: Iterable[str], query: str, *, argument: str = "", timeout_s: float
) -> list[Reply]:
    """Send one query to each balancer.

    Args:
        addresses: Their operator addresses; each is asked once.
        query: ``status``, ``explain`` or ``drain``.
        argument: What to explain.
        timeout_s: How long to wait for each answer.

    Returns:
        The replies in the order of the addresses.
    """
    unique = list(dict.fromkeys(addresses))

    def ask_one(address):
        answer = ask(address, query, argument=argument, timeout_s=timeout_s)
        return Reply(address, answer)

    with ThreadPoolExecutor(ASKED_AT_ONCE) as pool:
        return list(pool.map(ask_one, unique))


def with_fleet(
    addresses: Iterable[str], *, settings_dir: str | None, timeout_s: float
) -> list[str | AddressUnknown]:
    """Return the addresses of balancers and of every member that they know."""
    found: dict[str | AddressUnknown, None] = dict.fromkeys(addresses)
    named = operator_addresses(settings_dir) if settings_dir else {}
    for reply in ask_all(addresses, "status", timeout_s=timeout_s):
        members = reply.answer.get("members") if reply.good else None
        for member in members if isinstance(members, list) else []:
            if isinstance(member, dict) and member.get("status") not in GONE:
                found[member_address(member, named)] = None
    return list(found)


def member_address(
    member: dict[str, Any], named: dict[str, str]
) -> str | AddressUnknown:
    """Return the operator address of a member."""
    name = str(member.get("name"))
    address = member.get("operator_address") or named.get(name)
    return str(address) if address else AddressUnknown(name)


def operator_addresses(settings_dir: str) -> dict[str, str]:
    """Return the operator address of each instance with settings in a folder."""
    found = {}
    for file in sorted(Path(settings_dir).glob("*.json")):
        settings = parse_settings(file.read_bytes())
        if not isinstance(settings, Findings):
            found[settings.instance] = settings.operator_address
    return found


def asked_addresses(
    addresses: Iterable[str],
    *,
    whole_fleet: bool,
    settings_dir: str | None,
    timeout_s: float,
) -> list[str]:
    """Return the addresses to ask, and say on standard error which are unknown."""
    if not whole_fleet:
        return list(addresses)
    found = with_fleet(addresses, settings_dir=settings_dir, timeout_s=timeout_s)
    for item in found:
        if isinstance(item, AddressUnknown):
            text = f"the operator address of {item.member} isn't known"
            click.echo(f"Warning: {text}; see --settings-dir", err=True)
    return [item for item in found if isinstance(item, str)]


def show_failures(replies: list[Reply]) -> ExitStatus:
    """Say on standard error which balancers didn't answer, and why.

    Returns:
        The exit status that goes with it.
    """
    status = ExitStatus.FINE
    for reply in replies:
        if reply.good:
            continue
        click.echo(f"Error: {reply.answer.reason}", err=True)
        unreachable = isinstance(reply.answer, Unreachable)
        failed = ExitStatus.UNREACHABLE if unreachable else ExitStatus.FINDINGS
        status = max(status, failed)
    return status
