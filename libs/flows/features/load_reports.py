"""Reports on load by the members of a data centre, and their reader's advice."""

from lagoontally_flows import LoadReport

USUAL_MS = 20
REPORT_MS = 250
HOSTS = ("10.1.0.1", "10.1.0.2", "10.1.0.3")


def report(context, answers, arrivals=(), hosts=HOSTS, flows=()):
    """Let members report and the reader advise, then pass half a second."""
    world = context.world
    sharing = world.balancer.load_sharing
    sharing.advise(world.now_ms - REPORT_MS, reader=True)
    for host in hosts:
        sharing.on_report(
            LoadReport(list(arrivals), list(answers), list(flows)), host, world.now_ms
        )
    advice, digest, events = sharing.advise(world.now_ms, reader=True)
    context.sent = [*getattr(context, "sent", ()), advice, digest]
    context.events = [*getattr(context, "events", ()), *events]
    world.wait(REPORT_MS)
    return sharing.speeds.shares


def report_for(context, seconds, waits, **fields):
    """Report answer times by target, two answers a member, for some seconds."""
    answers = [(cookie, wait_ms) for cookie, wait_ms in waits.items() for _ in range(2)]
    return [
        dict(report(context, answers, **fields))
        for _ in range(seconds * 1_000 // REPORT_MS)
    ]


def waits_of(context, slow, factor):
    """Return answer times by cookie of all targets."""
    listed = context.targets + context.remote
    return {
        target.cookie: USUAL_MS * (factor if target in slow else 1) for target in listed
    }
