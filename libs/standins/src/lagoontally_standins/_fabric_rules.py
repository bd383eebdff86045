"""Decisions of the fabric about one datagram, without sockets or clocks."""

from random import Random
from typing import NamedTuple

# A reordered datagram is held back for a random time of up to this long.
REORDER_MS = 30.0
SETS = ("blocked", "muted")


class FabricRules(NamedTuple):
    """What the fabric does to datagrams.

    Attributes:
        balancers: IP addresses of the live balancers by workspace.
        loss: Share of datagrams that are lost, each way.
        duplicate: Share of datagrams that are delivered twice.
        reorder: Share of datagrams that are overtaken by later ones.
        delay_ms: Time that every datagram takes.
        blocked: Balancer addresses that nothing passes to or from.
        muted: Callers, as ``IP:port``, that nothing passes to or from.
    """

    balancers: dict[str, tuple[str, ...]] = {}
    loss: float = 0.0
    duplicate: float = 0.0
    reorder: float = 0.0
    delay_ms: float = 0.0
    blocked: frozenset[str] = frozenset()
    muted: frozenset[str] = frozenset()


class Delivery(NamedTuple):
    """One copy of a datagram to deliver.

    Attributes:
        balancer: IP address of the balancer that it goes to or comes from.
        delay_ms: How long it is held back.
    """

    balancer: str
    delay_ms: float


def changed_rules(rules: FabricRules, change: dict) -> FabricRules:
    """Return the rules with the named ones replaced.

    Args:
        rules: The rules in force.
        change: New values by name, as JSON carries them.

    Returns:
        The new rules.

    Raises:
        ValueError: A name or a value isn't known.
    """
    unknown = set(change) - set(FabricRules._fields)
    if unknown:
        raise ValueError(f"unknown rules: {sorted(unknown)}")
    values = {name: float(value) for name, value in change.items() if _is_number(name)}
    if "balancers" in change:
        given = change["balancers"]
        values["balancers"] = {name: tuple(ips) for name, ips in given.items()}
    for name in SETS:
        if name in change:
            values[name] = frozenset(change[name])
    return rules._replace(**values)


def to_balancers(
    rules: FabricRules, workspace: str, random: Random
) -> tuple[Delivery, ...]:
    """Decide which balancers get a caller's datagram.

    Each copy goes to a balancer of its own choice, so that a doubled datagram
    may reach two balancers.

    Args:
        rules: The rules in force.
        workspace: Workspace of the entry address.
        random: Source of the choices.

    Returns:
        The copies to deliver, none for a lost datagram.
    """
    live = rules.balancers.get(workspace, ())
    if not live:
        return ()
    chosen = [random.choice(live) for _ in range(_copies(rules, random))]
    return _deliveries(rules, chosen, random)


def to_caller(rules: FabricRules, source: str, random: Random) -> tuple[Delivery, ...]:
    """Decide what becomes of a datagram that a balancer sends to a caller.

    Args:
        rules: The rules in force.
        source: IP address of the balancer.
        random: Source of the choices.

    Returns:
        The copies to deliver, none for a lost datagram.
    """
    return _deliveries(rules, [source] * _copies(rules, random), random)


def _is_number(name):
    return name != "balancers" and name not in SETS


def _copies(rules, random):
    if random.random() < rules.loss:
        return 0
    return 2 if random.random() < rules.duplicate else 1


def _deliveries(rules, balancers, random):
    return tuple(
        Delivery(balancer, _delay_ms(rules, random))
        for balancer in balancers
        if balancer not in rules.blocked
    )


def _delay_ms(rules, random):
    held = random.random() < rules.reorder
    return rules.delay_ms + (random.uniform(0, REORDER_MS) if held else 0.0)
