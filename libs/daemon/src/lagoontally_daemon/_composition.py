"""The composition root: creates the parts of a balancer and connects them."""

import secrets
import signal
from concurrent.futures import FIRST_EXCEPTION, ThreadPoolExecutor, wait
from random import Random
from threading import Event
from typing import NamedTuple

from lagoontally_core import SelfInfo, State
from lagoontally_edges import (
    CallerEdge,
    Metrics,
    OperatorEdge,
    PeerEdge,
    PlatformEdge,
    UpstreamEdge,
    configure_logging,
)

from ._action_executor import ActionExecutor
from ._core_task import CoreTask, wall_offset_ms
from ._task_guard import TaskGuard

INCARNATION_BITS = 64
ECHO_KEY_BYTES = 32
METRICS_PREFIX = "lagoontally"
SIGNAL_POLL_S = 0.2


class Edges(NamedTuple):
    """The edges of one balancer."""

    callers: CallerEdge
    upstreams: UpstreamEdge
    peers: PeerEdge
    platform: PlatformEdge
    operators: OperatorEdge
    metrics: Metrics


class Balancer:
    """One balancer: its core, its edges and the tasks that run them.

    Attributes:
        settings: The ``Settings`` of the balancer.
        stop: Event that is set once the balancer has left or a task has failed.
        core: The ``CoreTask`` that runs the core.
        edges: The ``Edges`` of the balancer.
        executor: Executes the core's actions.
        guards: The ``TaskGuard`` of each task.
    """

    def __init__(self, settings):
        self.settings = settings
        self.stop = Event()
        random = Random(secrets.randbits(INCARNATION_BITS))
        info = _self_info(settings)
        self.core = CoreTask(
            state=State(info, settings.timing), random=random, execute=self._execute
        )
        self.edges = _make_edges(settings, info, self.core.post, random)
        self.executor = ActionExecutor(
            edges=self.edges, stop=self.stop, post=self.core.post
        )
        self.guards = self._make_guards()
        self.core.on_error = self.guards["core"].report

    def _execute(self, action, decided_ms):
        self.executor.execute(action, decided_ms)

    def request_leave(self):
        """Request the balancer to leave; ``run`` returns once it has left."""
        self.core.request_leave()

    def install_signal_handlers(self):
        """Leave on SIGTERM and SIGINT; must be called in the main thread."""
        for number in (signal.SIGTERM, signal.SIGINT):
            signal.signal(number, lambda *_: self.request_leave())

    def run(self):
        """Run every task until the balancer has left.

        Raises:
            Exception: The exception that a task kept failing with.
        """
        guards = self.guards.values()
        with ThreadPoolExecutor(len(guards)) as pool:
            futures = [pool.submit(guard.run, self.stop) for guard in guards]
            try:
                done = _wait_for_end(futures)
            finally:
                self.stop.set()
        for edge in self.edges:
            edge.close()
        for future in done:
            future.result()

    def _make_guards(self):
        edges = self.edges
        tasks = {
            "core": self.core.run,
            "callers": edges.callers.run,
            "upstreams": edges.upstreams.run,
            "peers": edges.peers.run,
            "template": edges.platform.run_template_watch,
            "instances": edges.platform.run_instances_poll,
            "operators": edges.operators.run,
            "metrics": edges.metrics.run,
        }
        count = edges.metrics.count
        return {
            part: TaskGuard(part, task, count=count) for part, task in tasks.items()
        }


def _wait_for_end(futures):
    """Wait until a task fails or all have ended; return those that have ended.

    Waits with a short timeout, because Python runs signal handlers only in the
    main thread, even if another thread received the signal.
    """
    while True:
        done, _ = wait(futures, SIGNAL_POLL_S, return_when=FIRST_EXCEPTION)
        failed = any(future.exception() for future in done)
        if failed or len(done) == len(futures):
            return done


def _self_info(settings):
    return SelfInfo(
        incarnation=secrets.randbits(INCARNATION_BITS),
        name=settings.instance,
        workspace=settings.workspace,
        data_centre=settings.data_centre,
        peer_address=settings.peer_address,
        echo_key=secrets.token_bytes(ECHO_KEY_BYTES),
        wall_offset_ms=wall_offset_ms(),
        seeds=settings.seeds,
    )


def _make_edges(settings, info, post, random):
    prefix = f"{METRICS_PREFIX}.{settings.tenant}.{settings.instance}"
    metrics = Metrics(address=settings.statsd_address, prefix=prefix)
    return Edges(
        callers=CallerEdge(address=settings.address, post=post, count=metrics.count),
        upstreams=UpstreamEdge(
            address=settings.address, post=post, count=metrics.count
        ),
        peers=PeerEdge(
            incarnation=info.incarnation,
            listen_address=settings.peer_address,
            post=post,
            count=metrics.count,
        ),
        platform=PlatformEdge(
            url=settings.platform_url,
            workspace=settings.workspace,
            post=post,
            random=Random(random.getrandbits(INCARNATION_BITS)),
            count=metrics.count,
        ),
        operators=OperatorEdge(
            address=settings.operator_address, post=post, count=metrics.count
        ),
        metrics=metrics,
    )


def compose(settings):
    """Create a balancer from its settings.

    Args:
        settings: The ``Settings`` of one balancer.

    Returns:
        The ``Balancer``, with its sockets bound and its tasks not yet running.
    """
    configure_logging(settings.log.level, settings.log.format)
    return Balancer(settings)
