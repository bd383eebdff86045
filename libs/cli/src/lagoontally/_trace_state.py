"""What balancers were doing at a moment, as their logs show it."""

from typing import NamedTuple

MS_PER_S = 1_000
NAMES_SHOWN = 3
# What a balancer does from each of these lines on.
STATES = {
    "start": "starting",
    "serving": "serving",
    "ready": "serving",
    "unready": "out of the rotation",
    "stopping": "stopping",
    "stop": "ended",
}


class State(NamedTuple):
    """What one balancer was doing.

    Attributes:
        name: One of the words in ``STATES``, ``lost`` where it ended without a
            word and started again later, or ``standing still`` where it says later
            that it was suspended.
        since: Unix time of the line that shows it.
    """

    name: str
    since: float


def states_at(lines, moment):
    """Return the ``State`` of each instance at a Unix time.

    Args:
        lines: Lines of the logs, in the order of time.
        moment: The time.

    Returns:
        States by instance; an instance that had written nothing is left out.
    """
    states, settled = {}, set()
    for line in lines:
        instance, event = line["instance"], line["event"]
        if line["time"] <= moment:
            name = STATES.get(event)
            if name is not None:
                states[instance] = State(name, line["time"])
            continue
        if instance in settled or instance not in states:
            continue
        settled.add(instance)
        if event == "resumed":
            since = line["time"] - line["stood_still_ms"] / MS_PER_S
            if since <= moment:
                states[instance] = State("standing still", since)
        if event == "start" and states[instance].name != "ended":
            states[instance] = State("lost", line["time"])
    return states


def summary(states):
    """Return in words how many balancers were serving, and why others weren't."""
    if not states:
        return "no balancer had written a line by then"
    serving = [one for one in states.values() if one.name == "serving"]
    text = f"{len(serving)} of {len(states)} balancers were serving then"
    for name in sorted({one.name for one in states.values()} - {"serving"}):
        instances = sorted(key for key, one in states.items() if one.name == name)
        shown = ", ".join(instances[:NAMES_SHOWN])
        more = len(instances) - NAMES_SHOWN
        rest = f" and {more} more" if more > 0 else ""
        text += f"; {name}: {shown}{rest}"
        if name == "lost":
            back = min(states[instance].since for instance in instances)
            text += f" (the first started again at {back:.3f})"
    return text
