"""The balancer process: its components and its main loop."""

from _random import Random  # ``random`` takes 3 ms more at startup
from _signal import SIGHUP, SIGTERM
from binascii import crc32
from posix import stat  # ``os`` adds 1 ms to startup

from lagoontally_flows import (
    SLOW_LINK_MBPS,
    STALE_SYN_MS,
    THIS_BALANCER,
    Balancer,
    Beacon,
    ConfigurationDelta,
    DealtAnew,
    Delta,
    FlowReset,
    InForce,
    Lifecycle,
    LogEvent,
    Probe,
    StoreSync,
    Verdict,
    VersionCheck,
)
from lagoontally_platform import READINESS_PATH

from ._admission_metrics import admission_gauges
from ._clock import now_ms, unix_ms
from ._guard import Guard
from ._holder_messenger import HOLDER_MESSAGES, HolderMessenger
from ._http_server import HttpServer
from ._load_messenger import LoadMessenger
from ._log import Log
from ._loop import PROBING_TICK_MS, TICK_MS, Loop
from ._metrics import Metrics
from ._packet_port import PacketPort
from ._peers import Peers
from ._prober import Prober
from ._rereads import Rereads
from ._settings import InvalidSettings, parse_settings
from ._signals import Signals
from ._store_reader import CONFIGURATION_PATH, StoreReader
from ._targets_exchange import TargetsServer
from ._traffic import FETCHES, READINESS, Traffic
from ._verdict_log import log_verdict
from ._view_document import encode_configuration

SETTINGS_CHECK_INTERVAL_MS = 2_000  # the file may change without a signal
WEAK_PRIORITY_OFFSET = 1 << 32  # sorts after every instance with a fast link
PAUSE_THRESHOLD_MS = 1_000  # between ticks; a longer gap is a pause of the process
CONFIGURATION_WAIT_MS = 2_000  # a large one takes 1 s on a slow link
METRICS_PATH = b"/metrics"


class Process:
    """One balancer with its sockets and timers.

    Args:
        settings: The ``Settings``.
        path: Path of the settings file, which is reloaded when it changes.
    """

    def __init__(self, settings, path):
        self.settings = settings
        self.path = path
        self.started_ms = now_ms()
        self.loop = Loop(now_ms)
        self.log = Log(settings.instance, now_ms)
        self.metrics = Metrics()
        self.loop.guard = Guard(clock=now_ms, log=self.log, metrics=self.metrics)
        random = Random()
        priority = crc32(settings.host.encode())
        slow_link = settings.link_mbps < SLOW_LINK_MBPS
        self.store_sync = StoreSync(
            priority=priority + (WEAK_PRIORITY_OFFSET if slow_link else 0),
            slow_link=slow_link,
            random=random,
        )
        self.balancer = Balancer(
            data_centre=settings.data_centre,
            random=random,
            evacuations=self.store_sync.evacuations,
        )
        self._take_bounds(settings)
        self.lifecycle = Lifecycle(grace_ms=settings.grace_s * 1_000)
        self.port = PacketPort(
            self.loop,
            settings.packet_address,
            balancer=self.balancer,
            log=self.log,
            metrics=self.metrics,
        )
        self.version_check = VersionCheck(random=random)
        self.peers = Peers(
            self.loop,
            settings,
            random=random,
            metrics=self.metrics,
            evacuations=self.store_sync.evacuations,
            on_message=self._on_message,
        )
        self.holder_messenger = HolderMessenger(self.balancer.holders, peers=self.peers)
        self.rereads = Rereads(
            store_sync=self.store_sync,
            version_check=self.version_check,
            peers=self.peers,
            log=self.log,
            metrics=self.metrics,
        )
        self.store_reader = StoreReader(
            self.loop,
            settings,
            store_sync=self.store_sync,
            balancer=self.balancer,
            peers=self.peers,
            log=self.log,
            metrics=self.metrics,
        )
        self.load_messenger = LoadMessenger(
            self.balancer, peers=self.peers, log=self.log
        )
        self.targets_server = TargetsServer(self.balancer.view, self.balancer.warm_ups)
        self.prober = Prober(self.loop, self._on_probe_result)
        traffic = Traffic(self.metrics)
        readiness, fetches = traffic.of(READINESS), traffic.of(FETCHES)
        ready = (settings.ready_address, self._serve_readiness, readiness)
        addresses = [ready, (settings.peer_address, self._serve_view, fetches)]
        if settings.metrics_address is not None:
            metrics = (settings.metrics_address, self._serve_view, fetches)
            addresses.append(metrics)
        self.servers = [
            HttpServer(self.loop, address, handler, count=count)
            for address, handler, count in addresses
        ]
        self._settings_mtime = stat(path).st_mtime_ns
        self._next_settings_check_ms = self.started_ms + SETTINGS_CHECK_INTERVAL_MS
        self._last_tick_ms = self.started_ms
        self._was_ready = False
        self._encoded_configuration = (None, b"")
        handlers = {SIGTERM: self._on_sigterm, SIGHUP: self._on_sighup}
        self._signals = Signals(self.loop, handlers)

    def run(self):
        """Run until a signal stops the process and return the exit status."""
        self.log.line("start", data_centre=self.settings.data_centre)
        while True:
            self.loop.guard.run_essential("tick", self._tick, now_ms())
            if self.lifecycle.may_end(now_ms()):
                self.log.line("stop", **self.balancer.state_summary(now_ms()))
                return 0
            self.loop.run_once(PROBING_TICK_MS if self.prober.running else TICK_MS)
            self.loop.guard.run("effects", self._execute_effects)

    def _tick(self, time_ms):
        if time_ms - self._last_tick_ms > PAUSE_THRESHOLD_MS:
            self.log.line("resumed", stood_still_ms=time_ms - self._last_tick_ms)
            self.metrics.add("resumed", "late_tick")
        if time_ms - self._last_tick_ms >= STALE_SYN_MS[0]:
            self.peers.read_pending()  # members may tell which flows are open by now
            self.port.read_pending()
        self._last_tick_ms = time_ms
        self.store_sync.members = len(self.peers.members) + 1
        self.store_reader.on_tick(time_ms)
        self.rereads.on_tick(time_ms)
        self.peers.on_tick(time_ms)
        self.load_messenger.on_tick(time_ms, reader=self.store_sync.reader)
        self.prober.on_tick(time_ms)
        self._update_warm_ups(time_ms)
        self.balancer.on_tick(time_ms)
        members = self.store_sync.members
        self.balancer.admission.members = self.balancer.holders.members = members
        self.balancer.view_confirmed_ms = self.store_sync.confirmed_ms
        self.balancer.platform_heard_ms = self.store_sync.heard_ms
        self.balancer.configuration_confirmed_ms = self._configuration_confirmed_ms()
        self.balancer.view.store_recovered_ms = self.store_sync.recovered_ms
        digest = self.balancer.view.digest
        beacon = self.store_sync.beacon(time_ms, digest=digest)
        if beacon is not None:
            self.peers.broadcast(beacon)
            self.peers.announce_evacuations(time_ms)
        if time_ms >= self._next_settings_check_ms:
            self._check_settings(time_ms)
        self._execute_effects()
        self._update_readiness(time_ms)

    def _configuration_confirmed_ms(self):
        """Return when the configuration was last known to be the newest, or None.

        Another balancer may have a newer one that the store doesn't list.
        """
        if self.version_check.heard is not None:
            return None
        return self.store_sync.configuration_confirmed_ms

    def _take_bounds(self, settings):
        """Take over what the settings state of warm-ups, regions and admission."""
        self.balancer.warm_up_budgets.set_bounds(
            settings.host,
            excess=settings.warm_up_excess,
            slack=settings.warm_up_slack,
        )
        self.balancer.target_selector.regions = settings.regions
        self.balancer.admission.enabled = settings.admission
        self.balancer.holders.set_link(settings.link_mbps)

    def _update_warm_ups(self, time_ms):
        self.balancer.warm_ups.unix_offset_ms = unix_ms() - time_ms
        self.balancer.warm_up_budgets.on_members(
            self.peers.members, settled=self.peers.membership.is_settled(time_ms)
        )

    def _execute_effects(self):
        """Execute the effects of the balancer's decisions other than on packets."""
        for effect in self.balancer.take_effects():
            if isinstance(effect, FlowReset):
                self.port.reset(
                    effect.flow,
                    effect.sequence,
                    effect.reason,
                    effect.cookie,
                    **self.balancer.state_summary(now_ms()),
                )
            elif isinstance(effect, Probe):
                self._start_probe(effect.cookie)
            elif isinstance(effect, Verdict):
                log_verdict(self.log, self.balancer, effect, THIS_BALANCER)
                self.peers.broadcast(effect)
            elif isinstance(effect, DealtAnew):
                self.peers.broadcast(effect)
            elif isinstance(effect, HOLDER_MESSAGES):
                self.holder_messenger.send(effect)
            elif isinstance(effect, LogEvent):
                self.log.line(effect.event, **dict(effect.fields))

    def _start_probe(self, cookie):
        target = self.balancer.view.by_cookie.get(cookie)
        if target is None:
            self.balancer.health.forget(cookie)
        else:
            self.prober.start(
                target, self.balancer.target_selector.control_target(cookie)
            )

    def _on_probe_result(self, cookie, evidence):
        self.metrics.add("trials", evidence)
        self.log.line("trial", target=self.balancer.target_id(cookie), outcome=evidence)
        self.balancer.on_probe_result(cookie, evidence, now_ms())

    def _on_message(self, message, host):
        time_ms = now_ms()
        if isinstance(message, Beacon):
            self._on_beacon(message, host, time_ms)
        elif isinstance(message, InForce):
            self.store_sync.on_informed(host)
            self.version_check.on_version(message.version, host, time_ms)
        elif isinstance(message, Delta):
            self.store_reader.on_delta(message, time_ms)
        elif isinstance(message, ConfigurationDelta):
            self.store_reader.configuration_updates.on_delta(message)
        elif isinstance(message, HOLDER_MESSAGES):
            self.holder_messenger.on_message(message, host, time_ms)
        elif isinstance(message, DealtAnew):
            self.balancer.on_flows_rehashed(time_ms)
        elif isinstance(message, Verdict):
            log_verdict(self.log, self.balancer, message, host)
            self.balancer.on_verdict(message, host, time_ms)

    def _on_beacon(self, beacon, host, time_ms):
        """Handle a reader's beacon, and tell it of a newer version."""
        self.load_messenger.reader_host = host
        digest = self.balancer.view.digest
        self.store_sync.on_beacon(beacon, host, time_ms, digest=digest)
        notice = self.version_check.notice(
            beacon.configuration_version, time_ms, members=self.store_sync.members
        )
        if notice is not None:
            self.peers.send(notice, host)
        contradiction = self.store_sync.evacuations.check.notice(time_ms)
        if contradiction is not None:
            self.peers.send_evacuated(contradiction, host)

    def _update_readiness(self, time_ms):
        has_view = self.store_sync.has_targets
        if has_view and not self.port.is_open:
            self.port.open()
            self.metrics.observe_ms("start", time_ms - self.started_ms)
            self.log.line(
                "serving",
                after_ms=time_ms - self.started_ms,
                targets=len(self.balancer.view.targets),
                version=self.store_sync.configuration_version,
            )
        if self.balancer.configuration is not None:
            self.port.release_held()
        else:
            waited_ms = time_ms - self.started_ms
            has_view = has_view and waited_ms < CONFIGURATION_WAIT_MS
        self.lifecycle.packet_ms = self.port.last_packet_ms
        isolated = self.balancer.health.isolated(time_ms)
        cut_off = self.balancer.cut_off
        ready = self.lifecycle.ready(
            has_view=has_view, isolated=isolated, cut_off=cut_off
        )
        if ready != self._was_ready:
            self._was_ready = self.balancer.in_rotation = ready
            if not ready:
                self.balancer.holders.on_leaving(time_ms)
            self.log.line(
                "ready" if ready else "unready",
                isolated=isolated,
                cut_off=cut_off,
                stopping=self.lifecycle.stopping_ms is not None,
                **self.balancer.state_summary(time_ms),
            )

    def _serve_readiness(self, path):
        if path != READINESS_PATH:
            return 404, b""
        return (200 if self._was_ready else 503), b""

    def _serve_view(self, path):
        if path == METRICS_PATH:
            return 200, self.metrics.render(self._gauges()).encode()
        configuration = self.balancer.configuration
        history = self.store_sync.history
        if self.store_sync.has_targets:
            document = self.targets_server.document(
                path.decode("latin-1"), history.announced_view, now_ms()
            )
            if document is not None:
                return 200, document
        if path == CONFIGURATION_PATH.encode() and configuration is not None:
            return 200, self._configuration_document(configuration)
        return 404, b""

    def _configuration_document(self, configuration):
        """Return a configuration's document, encoded once for all peers."""
        version, document = self._encoded_configuration
        if version != configuration.version:
            document = encode_configuration(configuration)
            self._encoded_configuration = (configuration.version, document)
        return document

    def _gauges(self):
        gauges = self.balancer.state_summary(now_ms()) | self.load_messenger.gauges()
        gauges |= admission_gauges(self.balancer.admission, now_ms())
        position = self.store_sync.history.position
        alive = [
            target
            for target in self.balancer.view.usable.values()
            if not self.balancer.health.is_dead(target.cookie)
        ]
        return gauges | {
            "flows": len(self.balancer.flows.flows),
            "warming_up": self.balancer.warm_up_budgets.warming_up(alive, now_ms()),
            "held_back": self.balancer.warm_up_budgets.held_back,
            "members": self.store_sync.members,
            "reader": self.store_sync.reader,
            "era": self.store_sync.history.era,
            "revision": position.revision if position else None,
            "loop_lag_most_ms": self.loop.max_lag_ms,
        }

    def _on_sigterm(self, _number, _frame):
        self.lifecycle.stop(now_ms())
        self.log.line("stopping", grace_s=self.settings.grace_s)

    def _on_sighup(self, _number, _frame):
        self._settings_mtime = None
        self._next_settings_check_ms = 0

    def _check_settings(self, time_ms):
        self._next_settings_check_ms = time_ms + SETTINGS_CHECK_INTERVAL_MS
        try:
            mtime = stat(self.path).st_mtime_ns
            if mtime == self._settings_mtime:
                return
            with open(self.path) as file:
                settings = parse_settings(file.read())
        except OSError as error:
            self.log.line("reload", outcome="unreadable", error=str(error))
            return
        self._settings_mtime = mtime
        if isinstance(settings, InvalidSettings):
            self.log.line("reload", outcome="refused", findings=settings.findings)
            return
        changed = [
            name
            for name in settings._fields
            if getattr(settings, name) != getattr(self.settings, name)
        ]
        # The platform changes this process's own addresses only at startup.
        self.settings = settings
        self.peers.settings = settings
        self.store_reader.use_store(settings.store_address)
        self._take_bounds(settings)
        self.lifecycle.grace_ms = settings.grace_s * 1_000
        self.log.line("reload", outcome="taken", changed=changed)
