"""Queries several balancers concurrently."""

from collections.abc import Iterable
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import Any, NamedTuple

import click

from lagoontally_model import Findings, parse_settings

from ._exit import ExitStatus
from ._operator import Declined, Unreachable, send_query

MAX_CONCURRENT_QUERIES = 16
GONE_STATUSES = ("dead", "left")


class Reply(NamedTuple):
    """A balancer's answer, or why there is none."""

    address: str
    answer: dict[str, Any] | Declined | Unreachable

    @property
    def succeeded(self) -> bool:
        """Whether the balancer answered the query."""
        return isinstance(self.answer, dict)


class AddressUnknown(NamedTuple):
    """A member whose operator address isn't known."""

    member: str


def send_queries(
    addresses: Iterable[str], query: str, *, argument: str = "", timeout_s: float
) -> list[Reply]:
    """Send one query to each balancer.

    Args:
        addresses: Their operator addresses; each is queried once.
        query: ``status``, ``explain`` or ``drain``.
        argument: The subject of ``explain``, otherwise empty.
        timeout_s: How long to wait for each answer.

    Returns:
        The replies in the order of the addresses.
    """
    unique = list(dict.fromkeys(addresses))

    def query_one(address):
        answer = send_query(address, query, argument=argument, timeout_s=timeout_s)
        return Reply(address, answer)

    with ThreadPoolExecutor(MAX_CONCURRENT_QUERIES) as pool:
        return list(pool.map(query_one, unique))


def add_fleet_addresses(
    addresses: Iterable[str], *, settings_dir: str | None, timeout_s: float
) -> list[str | AddressUnknown]:
    """Return the given addresses and those of all members that they report."""
    found: dict[str | AddressUnknown, None] = dict.fromkeys(addresses)
    configured = operator_addresses(settings_dir) if settings_dir else {}
    for reply in send_queries(addresses, "status", timeout_s=timeout_s):
        members = reply.answer.get("members") if reply.succeeded else None
        for member in members if isinstance(members, list) else []:
            if isinstance(member, dict) and member.get("status") not in GONE_STATUSES:
                found[member_address(member, configured)] = None
    return list(found)


def member_address(
    member: dict[str, Any], configured: dict[str, str]
) -> str | AddressUnknown:
    """Return the operator address of a member."""
    name = str(member.get("name"))
    address = member.get("operator_address") or configured.get(name)
    return str(address) if address else AddressUnknown(name)


def operator_addresses(settings_dir: str) -> dict[str, str]:
    """Return the operator addresses in a folder of settings, by instance."""
    found = {}
    for file in sorted(Path(settings_dir).glob("*.json")):
        settings = parse_settings(file.read_bytes())
        if not isinstance(settings, Findings):
            found[settings.instance] = settings.operator_address
    return found


def resolve_addresses(
    addresses: Iterable[str],
    *,
    whole_fleet: bool,
    settings_dir: str | None,
    timeout_s: float,
) -> list[str]:
    """Return the addresses to query; print a warning for each unknown one."""
    if not whole_fleet:
        return list(addresses)
    found = add_fleet_addresses(
        addresses, settings_dir=settings_dir, timeout_s=timeout_s
    )
    for item in found:
        if isinstance(item, AddressUnknown):
            text = f"the operator address of {item.member} isn't known"
            click.echo(f"Warning: {text}; see --settings-dir", err=True)
    return [item for item in found if isinstance(item, str)]


def show_failures(replies: list[Reply]) -> ExitStatus:
    """Print an error for each balancer that didn't answer.

    Returns:
        The exit status for the most severe failure.
    """
    status = ExitStatus.SUCCESS
    for reply in replies:
        if reply.succeeded:
            continue
        click.echo(f"Error: {reply.answer.reason}", err=True)
        unreachable = isinstance(reply.answer, Unreachable)
        failed = ExitStatus.UNREACHABLE if unreachable else ExitStatus.FINDINGS
        status = max(status, failed)
    return status
