"""What changes from one accepted template to the next.

Nothing here decides whether a template is accepted: the findings are advice to
operators, as a balancer may have missed the previous version.
"""

from collections.abc import Iterator
from enum import StrEnum
from typing import NamedTuple

from ._addresses import parse_time
from ._findings import Finding, Findings
from ._quarantine import remaining_s
from ._template import RetiredAddress, Service, Target, Template


class VersionOrder(StrEnum):
    """How the version of the following template stands to the previous one."""

    RISES = "rises"
    SAME = "same"
    FALLS = "falls"


class ServiceChanges(NamedTuple):
    """Changes of one service; its targets are told apart by address.

    Attributes:
        service: ``workspace/service``.
        added: Targets that are new.
        removed: Targets that are gone.
        leaving: Targets that have started to leave.
    """

    service: str
    added: tuple[Target, ...]
    removed: tuple[Target, ...]
    leaving: tuple[Target, ...]


class MovedAddress(NamedTuple):
    """An address that served one workspace before and serves another now."""

    address: str
    previous_workspace: str
    following_workspace: str


class QuarantinedAddress(NamedTuple):
    """An address that other workspaces than ``workspace`` can't use yet."""

    address: str
    workspace: str
    remaining_s: float


class Changes(NamedTuple):
    """Everything that differs between two templates.

    Attributes:
        previous_version: Version of the previous template.
        following_version: Version of the following one.
        version_order: How the second stands to the first.
        services: Services whose targets changed, by name.
        moved: Addresses that changed workspace.
        quarantine: Addresses in quarantine under the following template.
    """

    previous_version: int
    following_version: int
    version_order: VersionOrder
    services: tuple[ServiceChanges, ...]
    moved: tuple[MovedAddress, ...]
    quarantine: tuple[QuarantinedAddress, ...]


class Use(NamedTuple):
    """A target of a template and where it stands."""

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
        quarantine=tuple(quarantined(following)),
    )


def transition_findings(previous: Template, following: Template) -> Findings | None:
    """Find faults in going from one template to the next.

    Args:
        previous: The template in force.
        following: The template that would follow it.

    Returns:
        ``Findings``, or None where there are no faults.
    """
    findings = [
        *version_findings(previous, following),
        *move_findings(previous, following),
        *retirement_findings(previous, following),
        *dropped_findings(previous, following),
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
    """Compare the targets of one service, which either side may lack."""
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


def uses_of(template: Template) -> dict[str, Use]:
    """Return where each address of a template is used."""
    return {use.target.address: use for use in each_use(template)}


def each_use(template: Template) -> Iterator[Use]:
    """Yield every target of a template with its place."""
    for workspace in template.workspaces.values():
        for service in workspace.services.values():
            path = f"workspaces.{workspace.name}.services.{service.name}.targets"
            for index, target in enumerate(service.targets):
                yield Use(workspace.name, f"{path}[{index}]", target)


def moved_addresses(previous: Template, following: Template) -> Iterator[MovedAddress]:
    """Yield the addresses that changed workspace."""
    before = uses_of(previous)
    for address, use in uses_of(following).items():
        if address in before and before[address].workspace != use.workspace:
            yield MovedAddress(address, before[address].workspace, use.workspace)


def quarantined(template: Template) -> Iterator[QuarantinedAddress]:
    """Yield the addresses in quarantine."""
    for entry in template.retired:
        left_s = quarantine_left_s(entry, template, template.quarantine_s)
        if left_s > 0:
            yield QuarantinedAddress(entry.address, entry.workspace, left_s)


def quarantine_left_s(
    entry: RetiredAddress, template: Template, quarantine_s: int
) -> float:
    """Return what is left of an entry's quarantine when a template is published."""
    published = parse_time(template.published_at)
    retired = parse_time(entry.retired_at)
    return remaining_s(published, retired, quarantine_s)


def version_findings(previous: Template, following: Template) -> Iterator[Finding]:
    """Yield a finding where the version doesn't rise."""
    if following.version <= previous.version:
        reason = f"{following.version} doesn't rise above {previous.version}"
        yield Finding("version", reason)


def move_findings(previous: Template, following: Template) -> Iterator[Finding]:
    """Yield a finding for each address that changed workspace unretired."""
    retired = retired_uses(following)
    uses = uses_of(following)
    for moved in moved_addresses(previous, following):
        if (moved.address, moved.previous_workspace) not in retired:
            reason = (
                f"{moved.address} moves from {moved.previous_workspace} without"
                " an entry in retired"
            )
            yield Finding(f"{uses[moved.address].place}.address", reason)


def retirement_findings(previous: Template, following: Template) -> Iterator[Finding]:
    """Yield a finding for each address that is gone but not retired.

    Without an entry, the version after the next could give it away at once.
    """
    retired, after = retired_uses(following), uses_of(following)
    for address, use in uses_of(previous).items():
        if address not in after and (address, use.workspace) not in retired:
            reason = f"{address} left {use.workspace} and has no entry here"
            yield Finding("retired", reason)


def retired_uses(template: Template) -> set[tuple[str, str]]:
    """Return address and workspace of each retired address."""
    return {(entry.address, entry.workspace) for entry in template.retired}


def dropped_findings(previous: Template, following: Template) -> Iterator[Finding]:
    """Yield a finding for each quarantine that was cut short."""
    uses = uses_of(following)
    for entry in previous.retired:
        use = uses.get(entry.address)
        returned = use is not None and use.workspace == entry.workspace
        left_s = quarantine_left_s(entry, following, previous.quarantine_s)
        if left_s > 0 and not returned and not still_held(entry, following):
            reason = (
                f"{entry.address} of {entry.workspace} is dropped"
                f" {left_s:.0f} s before its quarantine ends"
            )
            yield Finding("retired", reason)


def still_held(entry: RetiredAddress, template: Template) -> bool:
    """Tell whether a template retires an address at least as late."""
    since = parse_time(entry.retired_at)
    return any(
        (item.address, item.workspace) == (entry.address, entry.workspace)
        and parse_time(item.retired_at) >= since
        for item in template.retired
    )


def removal_findings(previous: Template, following: Template) -> Iterator[Finding]:
    """Yield a finding for each target removed before it was leaving."""
    before, after = services_of(previous), services_of(following)
    for name in sorted(before):
        workspace, service = name.split("/")
        for target in service_changes(name, before, after).removed:
            if not target.leaving:
                place = f"workspaces.{workspace}.services.{service}.targets"
                reason = f"{target.name} is removed without having been leaving"
                yield Finding(place, reason)
