"""Two targets answer a SYN, and routers rehash flows."""

import asyncio
import random
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lab"))

from world import run_case  # noqa: E402

BALANCERS = 4
TARGETS = 6
FLOWS = 300
OPEN_INTERVAL_S = 0.02
LOST_EACH = 25  # of so many flows, the first answer to one SYN is lost
GAP_S = 2.0  # between two SIGTERMs, as in the days of the site files
DEADLINE_S = 3.006
PAUSE_S = (0.4, 1.2)
LENGTH_S = 20.0


async def use_flow(world, flow, number, end):
    """Send requests with pauses until the flow or the case ends."""
    count = 0
    while world.now < end and flow.ended_at is None:
        await asyncio.sleep(random.uniform(*PAUSE_S))
        busy = flow.requests and flow.requests[-1].outcome is None
        if flow.is_open and not busy and world.now < end:
            count += 1
            flow.request(f"q{number}-{count}", DEADLINE_S)


async def roll(world):
    """Stop and start the balancers in turn."""
    stops = []
    for balancer in world.balancers:
        stops.append(asyncio.create_task(balancer.terminate()))
        await asyncio.sleep(GAP_S)
    await asyncio.gather(*stops)


async def play(world, trouble):
    """Play the case."""
    await world.start(balancers=BALANCERS, targets=TARGETS)
    await asyncio.sleep(4)  # until all machines are in touch
    lost = set()

    def loses(flow):
        if flow in lost:
            lost.discard(flow)
            return True
        return False

    for target in world.targets:
        target.loses = loses
    begun, users = world.now, []
    rolling = None
    for number in range(FLOWS):
        flow = world.clients.open(world.route_address)
        if number % LOST_EACH == LOST_EACH // 2:
            lost.add(flow.flow)
        users.append(
            asyncio.create_task(use_flow(world, flow, number, begun + LENGTH_S))
        )
        if trouble and rolling is None and number * OPEN_INTERVAL_S >= 2:
            rolling = asyncio.create_task(roll(world))
        await asyncio.sleep(OPEN_INTERVAL_S)
    await asyncio.gather(*users)
    await asyncio.sleep(DEADLINE_S + 0.2)
    if rolling is not None:
        await rolling
    return world.broken_flows()


if __name__ == "__main__":
    sys.exit(run_case(play, FOLDER))
