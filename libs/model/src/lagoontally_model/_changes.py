"""Comparison of two successive accepted templates.

The findings are advice to operators and don't decide whether a template is accepted,
as a balancer may have missed the previous version.
"""

from collections.abc import Iterator
from enum import StrEnum
from typing import NamedTuple

from ._addresses import parse_time
from ._findings import Finding, Findings
from ._quarantine import remaining_s
from ._template import RetiredAddress, Service, Target, Template


class VersionOrder(StrEnum):
    """How the following template's version compares to the previous one."""

    RISES = "rises"
    SAME = "same"
    FALLS = "falls"


class ServiceChanges(NamedTuple):
    """Changes of one service, whose targets are identified by address.

    Attributes:
        service: ``workspace/service``.
        added: Targets that only the following template has.
        removed: Targets that only the previous template has.
        leaving: Targets whose state changed to ``leaving``.
    """

    service: str
    added: tuple[Target, ...]
    removed: tuple[Target, ...]
    leaving: tuple[Target, ...]


class MovedAddress(NamedTuple):
    """An address that changed workspace."""

    address: str
    previous_workspace: str
    following_workspace: str


class QuarantinedAddress(NamedTuple):
    """An address that only ``workspace`` may use until its quarantine ends."""

    address: str
    workspace: str
    remaining_s: float


class Changes(NamedTuple):
    """Everything that differs between two templates.

    Attributes:
        previous_version: Version of the previous template.
        following_version: Version of the following one.
        version_order: Whether the version rises, falls or stays the same.
        services: Services whose targets changed, sorted by name.
        moved: Addresses that changed workspace.
        quarantine: Addresses in quarantine under the following template.
    """

    previous_version: int
    following_version: int
    version_order: VersionOrder
    services: tuple[ServiceChanges, ...]
    moved: tuple[MovedAddress, ...]
    quarantine: tuple[QuarantinedAddress, ...]


class LocatedTarget(NamedTuple):
    """A target of a template with its workspace and path."""

    workspace: str
    place: str
    target: Target


def compare_templates(previous: Template, following: Template) -> Changes:
    """Compare two accepted templates.

    Args:
        previous: The template in force.
        following: The template that would follow it.

    Returns:
        The ``Changes``.
    """
    before, after = services_of(previous), services_of(following)
    changes = [service_changes(name, before, after) for name in sorted(before | after)]
    return Changes(
        previous_version=previous.version,
        following_version=following.version,
        version_order=version_order(previous.version, following.version),
        services=tuple(item for item in changes if any(item[1:])),
        moved=tuple(moved_addresses(previous, following)),
        quarantine=tuple(quarantined_addresses(following)),
    )


def transition_findings(previous: Template, following: Template) -> Findings | None:
    """Find faults in the transition from one template to the next.

    Args:
        previous: The template in force.
        following: The template that would follow it.

    Returns:
        ``Findings``, or None if there are no faults.
    """
    findings = [
        *version_findings(previous, following),
        *move_findings(previous, following),
        *retirement_findings(previous, following),
        *quarantine_findings(previous, following),
        *removal_findings(previous, following),
    ]
    return Findings("transition", tuple(findings)) if findings else None


def version_order(previous: int, following: int) -> VersionOrder:
    """Compare two versions."""
    if following == previous:
        return VersionOrder.SAME
    return VersionOrder.RISES if following > previous else VersionOrder.FALLS


def services_of(template: Template) -> dict[str, Service]:
    """Return all services of a template by ``workspace/service``."""
    return {
        f"{workspace.name}/{service.name}": service
        for workspace in template.workspaces.values()
        for service in workspace.services.values()
    }


def service_changes(
    name: str, before: dict[str, Service], after: dict[str, Service]
) -> ServiceChanges:
    """Compare the targets of one service, which may be missing on one side."""
    old, new = targets_of(before.get(name)), targets_of(after.get(name))
    return ServiceChanges(
        service=name,
        added=tuple(item for key, item in new.items() if key not in old),
        removed=tuple(item for key, item in old.items() if key not in new),
        leaving=tuple(
            item
            for key, item in new.items()
            if item.leaving and key in old and not old[key].leaving
        ),
    )


def targets_of(service: Service | None) -> dict[str, Target]:
    """Return the targets of a service by address."""
    return {target.address: target for target in service.targets} if service else {}


def locate_targets(template: Template) -> dict[str, LocatedTarget]:
    """Return the located targets of a template by address."""
    return {
        located.target.address: located for located in iter_located_targets(template)
    }


def iter_located_targets(template: Template) -> Iterator[LocatedTarget]:
    """Yield every target of a template with its workspace and path."""
    for workspace in template.workspaces.values():
        for service in workspace.services.values():
            path = f"workspaces.{workspace.name}.services.{service.name}.targets"
            for index, target in enumerate(service.targets):
                yield LocatedTarget(workspace.name, f"{path}[{index}]", target)


def moved_addresses(previous: Template, following: Template) -> Iterator[MovedAddress]:
    """Yield the addresses that changed workspace."""
    before = locate_targets(previous)
    for address, located in locate_targets(following).items():
        if address in before and before[address].workspace != located.workspace:
            yield MovedAddress(address, before[address].workspace, located.workspace)


def quarantined_addresses(template: Template) -> Iterator[QuarantinedAddress]:
    """Yield the addresses in quarantine."""
    for entry in template.retired:
        left_s = quarantine_left_s(entry, template, template.quarantine_s)
        if left_s > 0:
            yield QuarantinedAddress(entry.address, entry.workspace, left_s)


def quarantine_left_s(
    entry: RetiredAddress, template: Template, quarantine_s: int
) -> float:
    """Return the remaining quarantine of an entry when a template is published."""
    published = parse_time(template.published_at)
    retired = parse_time(entry.retired_at)
    return remaining_s(published, retired, quarantine_s)


def version_findings(previous: Template, following: Template) -> Iterator[Finding]:
    """Yield a finding if the version doesn't rise."""
    if following.version <= previous.version:
        reason = f"{following.version} doesn't rise above {previous.version}"
        yield Finding("version", reason)


def move_findings(previous: Template, following: Template) -> Iterator[Finding]:
    """Yield a finding for each address that changed workspace without an entry."""
    retired = retired_pairs(following)
    located_targets = locate_targets(following)
    for moved in moved_addresses(previous, following):
        if (moved.address, moved.previous_workspace) not in retired:
            reason = (
                f"{moved.address} moves from {moved.previous_workspace} without"
                " an entry in retired"
            )
            yield Finding(f"{located_targets[moved.address].place}.address", reason)


def retirement_findings(previous: Template, following: Template) -> Iterator[Finding]:
    """Yield a finding for each address that was removed but not retired.

    Without an entry, a later version could assign it to another workspace at once.
    """
    retired, after = retired_pairs(following), locate_targets(following)
    for address, located in locate_targets(previous).items():
        if address not in after and (address, located.workspace) not in retired:
            reason = f"{address} left {located.workspace} and has no entry here"
            yield Finding("retired", reason)


def retired_pairs(template: Template) -> set[tuple[str, str]]:
    """Return the (address, workspace) pairs of the retired entries."""
    return {(entry.address, entry.workspace) for entry in template.retired}


def quarantine_findings(previous: Template, following: Template) -> Iterator[Finding]:
    """Yield a finding for each entry that was removed during its quarantine."""
    located_targets = locate_targets(following)
    for entry in previous.retired:
        located = located_targets.get(entry.address)
        returned = located is not None and located.workspace == entry.workspace
        left_s = quarantine_left_s(entry, following, previous.quarantine_s)
        if left_s > 0 and not returned and not is_still_retired(entry, following):
            reason = (
                f"{entry.address} of {entry.workspace} is dropped"
                f" {left_s:.0f} s before its quarantine ends"
            )
            yield Finding("retired", reason)


def is_still_retired(entry: RetiredAddress, template: Template) -> bool:
    """Return whether a template retires the entry's address as late or later."""
    retired_at = parse_time(entry.retired_at)
    return any(
        (item.address, item.workspace) == (entry.address, entry.workspace)
        and parse_time(item.retired_at) >= retired_at
        for item in template.retired
    )


def removal_findings(previous: Template, following: Template) -> Iterator[Finding]:
    """Yield a finding for each target removed without having been leaving."""
    before, after = services_of(previous), services_of(following)
    for name in sorted(before):
        workspace, service = name.split("/")
        for target in service_changes(name, before, after).removed:
            if not target.leaving:
                place = f"workspaces.{workspace}.services.{service}.targets"
                reason = f"{target.name} is removed without having been leaving"
                yield Finding(place, reason)
