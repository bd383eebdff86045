"""A balancer that stood still sends old SYNs on after routers rehashed flows."""

import asyncio
import random
import signal
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lab"))

from world import run_case  # noqa: E402

BALANCERS = 6
TARGETS = 6
OPEN_INTERVAL_S = 0.0125
ROUNDS = 8
ROUND_S = 5.0
FREEZE_S = 0.4
OUT_AFTER_S = 0.6  # routers see two misses 0.5 to 1 s after a SIGTERM
DEADLINE_S = 3.006
PAUSE_S = (0.5, 1.0)
REQUESTS = 3


async def open_flows(world, users):
    """Open flows, each for a few requests."""
    number = 0
    while True:
        flow = world.clients.open(world.route_address)
        users.append(asyncio.create_task(use_flow(flow, number)))
        number += 1
        await asyncio.sleep(OPEN_INTERVAL_S)


async def use_flow(flow, number):
    """Send requests with pauses."""
    for count in range(REQUESTS):
        await asyncio.sleep(random.uniform(*PAUSE_S))
        if not flow.is_open:
            return
        flow.request(f"q{number}-{count}", DEADLINE_S)
        while flow.requests[-1].outcome is None:
            await asyncio.sleep(0.05)
    flow.close()


async def freeze(world, balancer):
    """Let a process stand still for a moment."""
    world.note(f"{balancer.name} stands still for {FREEZE_S} s")
    balancer.process.send_signal(signal.SIGSTOP)
    await asyncio.sleep(FREEZE_S)
    balancer.process.send_signal(signal.SIGCONT)


async def disturb(world):
    """Restart the first balancer, and freeze the second as the rotation changes."""
    restarted, frozen = world.balancers[:2]
    for _ in range(ROUNDS):
        ends_at = world.now + ROUND_S
        starts = restarted.starts
        stop = asyncio.create_task(restarted.terminate())
        await asyncio.sleep(OUT_AFTER_S)
        await freeze(world, frozen)
        while restarted.starts == starts:
            await asyncio.sleep(0.01)
        await freeze(world, frozen)
        await stop
        await asyncio.sleep(max(0.0, ends_at - world.now))


async def play(world, trouble):
    """Play the case."""
    await world.start(balancers=BALANCERS, targets=TARGETS)
    await asyncio.sleep(4)  # until all machines are in touch
    for target in world.targets:
        target.repeats_syn_acks = False
    users = []
    opening = asyncio.create_task(open_flows(world, users))
    await asyncio.sleep(1)
    if trouble:
        await disturb(world)
    else:
        await asyncio.sleep(ROUNDS * ROUND_S)
    opening.cancel()
    await asyncio.gather(*users)
    calm = {balancer.host for balancer in world.balancers[2:]}
    return world.broken_flows(in_touch=calm)


if __name__ == "__main__":
    sys.exit(run_case(play, FOLDER))
