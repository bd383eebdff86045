"""The template in force, and its distribution between balancers."""

from lagoontally_model import (
    Findings,
    digest,
    document_digest,
    join_sections,
    parse_template,
    split_sections,
)

from ._actions import AskIdentity, ReadTemplate, SendPeer, ServeEntries
from ._events import IdentityReply, TemplateRead, TemplateRejected
from ._exchanges import host_name
from ._health import record_receipt, schedule_health_check
from ._lines import move_lines_of_leaving
from ._peer_messages import (
    MemberRecord,
    TemplateDigest,
    TemplateSections,
    TemplateWant,
)
from ._state import Identity, Phase, TargetState

DIGEST_FANOUT = 3
IDENTITY_RETRY_MS = 1_000


def on_template_read(event: TemplateRead, context):
    """Put a template in force if it is newer than the one in force."""
    state = context.state
    if event.template.version >= state.template_version:
        state.refreshed = True
    adopt(event.template, event.document, context)


def on_outdated_template(event: TemplateRead, context):
    """Put a template that was read before a pause in force, if it is newer.

    It doesn't refresh the view, since another may have been published meanwhile.
    """
    adopt(event.template, event.document, context)


def on_template_rejected(event: TemplateRejected, context):
    """Log an error for a published template that was rejected."""
    context.count("template.rejected")
    context.log(
        "ERROR", "template rejected", version=event.version, reason=event.reason
    )


def adopt(template, document, context):
    """Put a template in force, unless its version isn't newer.

    Returns:
        True when it was put in force.
    """
    state = context.state
    if template.version <= state.template_version:
        _ignore_not_newer(template, document, context)
        return False
    before = state.template_version
    state.template = template
    state.sections = split_sections(document)
    state.digest = document_digest(document)
    _rebuild_targets(context)
    workspace = template.workspaces.get(state.info.workspace)
    if state.phase is not Phase.JOINING:
        serve_entries(context)
    move_lines_of_leaving(context)
    context.count("template.adopted")
    services = sorted(workspace.services) if workspace else []
    context.log(
        "INFO",
        "template in force",
        version=template.version,
        before=before,
        services=services,
    )
    _announce_version(context)
    return True


def _ignore_not_newer(template, document, context):
    state = context.state
    if template.version < state.template_version:
        context.count("template.older_ignored")
        return
    if document_digest(document) != state.digest:
        _report_conflict(template.version, context)


def _report_conflict(version, context, **fields):
    context.count("template.conflict")
    context.log(
        "ERROR",
        "another document carries the version in force",
        version=version,
        **fields,
    )


def serve_entries(context):
    """Open the entry ports of the template in force to callers."""
    state = context.state
    workspace = state.template.workspaces.get(state.info.workspace)
    services = workspace.services if workspace else {}
    ports = {name: service.entry_port for name, service in services.items()}
    context.act(ServeEntries(ports))


def _rebuild_targets(context):
    state = context.state
    workspace = state.template.workspaces.get(state.info.workspace)
    services = workspace.services if workspace else {}
    previous = state.targets
    state.targets = {}
    state.service_targets = {}
    for service in services.values():
        state.service_targets[service.name] = [item.address for item in service.targets]
        for published in service.targets:
            _update_target(published, service.name, previous, context)


def _update_target(published, service, previous, context):
    state = context.state
    target = previous.get(published.address)
    if target is None or target.service != service:
        target = TargetState(
            address=published.address,
            name=published.name,
            service=service,
            data_centre=published.data_centre,
            slots=published.slots,
            leaving=published.leaving,
        )
        state.targets[target.address] = target
        query_identity(target, context)
        schedule_health_check(target.address, context)
        return
    target.name = published.name
    target.slots = published.slots
    target.leaving = published.leaving
    state.targets[target.address] = target


def query_identity(target, context):
    """Query which service a target serves, before it gets any work."""
    host = host_name(context.state, target.service)
    context.act(AskIdentity(target.address, host))
    due_ms = context.now_ms + IDENTITY_RETRY_MS
    context.state.timers.add(due_ms, IdentityTimer(target.address))


class IdentityTimer:
    """Timer: an identity query to a target should have been answered by now.

    Attributes:
        address: ``IP:port`` of the target.
    """

    __slots__ = ("address",)

    def __init__(self, address):
        self.address = address


def on_identity_timer(timer: IdentityTimer, context):
    """Query again while a target hasn't confirmed its service."""
    target = context.state.targets.get(timer.address)
    if target is not None and target.identity is not Identity.CONFIRMED:
        query_identity(target, context)


def on_identity_reply(event: IdentityReply, context):
    """Use a target only if it serves the service that the template lists it for."""
    target = context.state.targets.get(event.target)
    if target is None:
        return
    record_receipt(target, context)
    named = (event.workspace, event.service)
    matches = named == (context.state.info.workspace, target.service)
    identity = Identity.CONFIRMED if matches else Identity.FOREIGN
    if identity is target.identity:
        return
    target.identity = identity
    if matches:
        return
    context.count("target.foreign")
    context.log(
        "ERROR",
        "target serves another service and isn't used",
        target=target.name,
        address=event.target,
        says=f"{event.workspace}/{event.service}",
    )


def _announce_version(context):
    """Announce the version to a few members; probes carry it to the others."""
    state = context.state
    alive = state.membership.alive()
    chosen = context.random.sample(alive, min(DIGEST_FANOUT, len(alive)))
    message = TemplateDigest(state.template_version, state.digest)
    for record in chosen:
        context.act(SendPeer(record.peer_address, message))


def request_newer_template(record: MemberRecord, context):
    """Request a newer template from a member whose record names one."""
    if record.template_version > context.state.template_version:
        _request_sections(record.peer_address, context)


def read_newer_template(version, context):
    """Read the template when a caller's Echo names a newer version.

    The Echo isn't verified, so this must stay cheap: the platform edge limits
    its reads.
    """
    if version > context.state.template_version:
        context.act(ReadTemplate("an Echo names a newer version"))


def _request_sections(address, context):
    state = context.state
    held = {name: digest(section) for name, section in state.sections.items()}
    context.act(SendPeer(address, TemplateWant(state.template_version, held)))


def _address_of(sender, state):
    record = state.membership.records.get(sender)
    return record.peer_address if record else None


def on_template_digest(message: TemplateDigest, sender, context):
    """Request a member's template if it is newer; report one that conflicts."""
    state = context.state
    record = state.membership.records.get(sender)
    if record is None:
        return
    if message.version > state.template_version:
        _request_sections(record.peer_address, context)
    elif message.version == state.template_version and message.digest != state.digest:
        _report_conflict(message.version, context, member=record.name)


def on_template_want(message: TemplateWant, sender, context):
    """Send a member the sections that it lacks."""
    state = context.state
    address = _address_of(sender, state)
    if address is None or message.version >= state.template_version:
        return
    missing = {
        name: section
        for name, section in state.sections.items()
        if message.sections.get(name) != digest(section)
    }
    reply = TemplateSections(
        state.template_version, state.digest, list(state.sections), missing
    )
    context.act(SendPeer(address, reply))


def on_template_sections(message: TemplateSections, _sender, context):
    """Put a template received from a member in force if it is complete and valid."""
    state = context.state
    if message.version <= state.template_version:
        return
    sections = {
        name: message.sections.get(name, state.sections.get(name))
        for name in message.order
    }
    if None in sections.values():
        context.count("template.sections_missing")
        return
    document = join_sections(sections)
    if isinstance(document, Findings) or document_digest(document) != message.digest:
        context.count("template.sections_corrupt")
        return
    template = parse_template(document)
    if isinstance(template, Findings):
        context.count("template.rejected")
        return
    context.count("template.from_peer")
    if adopt(template, document, context):
        state.refreshed = True
