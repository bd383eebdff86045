"""Reconstructs the state of balancers at a given time from their logs."""

from typing import NamedTuple

MS_PER_S = 1_000
MAX_INSTANCES_SHOWN = 3
# The state that a balancer enters with each event.
STATE_AFTER_EVENT = {
    "start": "starting",
    "serving": "serving",
    "ready": "serving",
    "unready": "out of the rotation",
    "stopping": "stopping",
    "stop": "ended",
}


class State(NamedTuple):
    """The state of a balancer.

    Attributes:
        name: A value of ``STATE_AFTER_EVENT``, ``lost`` if its next line is the
            ``start`` of a new process, or ``standing still`` if it logged later
            that it had been paused.
        since: Unix time of the line that shows the state; for ``standing still``
            the time at which the pause began.
    """

    name: str
    since: float


def states_at(lines, moment):
    """Return the ``State`` of each instance at a Unix time.

    Args:
        lines: Lines of the logs, in the order of time.
        moment: The Unix time.

    Returns:
        States by instance, without instances that hadn't logged anything.
    """
    states, finished = {}, set()
    for line in lines:
        instance, event = line["instance"], line["event"]
        if line["time"] <= moment:
            name = STATE_AFTER_EVENT.get(event)
            if name is not None:
                states[instance] = State(name, line["time"])
            continue
        if instance in finished or instance not in states:
            continue
        finished.add(instance)
        if event == "resumed":
            since = line["time"] - line["stood_still_ms"] / MS_PER_S
            if since <= moment:
                states[instance] = State("standing still", since)
        if event == "start" and states[instance].name != "ended":
            states[instance] = State("lost", line["time"])
    return states


def summary(states):
    """Return as text how many balancers were serving, and the others' states."""
    if not states:
        return "no balancer had written a line by then"
    serving = [state for state in states.values() if state.name == "serving"]
    text = f"{len(serving)} of {len(states)} balancers were serving then"
    for name in sorted({state.name for state in states.values()} - {"serving"}):
        instances = sorted(
            balancer for balancer, state in states.items() if state.name == name
        )
        shown = ", ".join(instances[:MAX_INSTANCES_SHOWN])
        more = len(instances) - MAX_INSTANCES_SHOWN
        rest = f" and {more} more" if more > 0 else ""
        text += f"; {name}: {shown}{rest}"
        if name == "lost":
            back = min(states[instance].since for instance in instances)
            text += f" (the first started again at {back:.3f})"
    return text
