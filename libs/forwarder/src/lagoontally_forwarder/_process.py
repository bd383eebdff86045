"""A balancer as a process: its parts, wired, and its loop."""

from _random import Random  # ``random`` takes 3 ms more at the start
from _signal import SIGHUP, SIGTERM, set_wakeup_fd, signal
from _socket import socketpair
from binascii import crc32
from posix import environ, stat  # ``os`` adds a millisecond to the start

from lagoontally_flows import (
    ANSWERED,
    SLOW_LINK_MBPS,
    STALE_SYN_MS,
    STUCK,
    THIS_BALANCER,
    UNANSWERED,
    Balancer,
    Beacon,
    DealtAnew,
    Delta,
    FlowReset,
    Lifecycle,
    LogEvent,
    Probe,
    StoreSync,
    Verdict,
)
from lagoontally_platform import READINESS_PATH, SETTINGS_VARIABLE

from ._clock import now_ms
from ._counters import Counters
from ._http_server import HttpServer
from ._log import Log
from ._loop import BUSY_TICK_MS, TICK_MS, Loop
from ._packet_port import PacketPort
from ._peers import Peers
from ._settings import SettingsFaults, parse_settings
from ._store_reader import CONFIGURATION_PATH, TARGETS_PATH, StoreReader
from ._trials import Trials
from ._view_document import encode_configuration, encode_targets

SETTINGS_CHECK_MS = 2_000  # the file may change without a signal
WEAK_PRIORITY = 1 << 32  # behind every instance with a fast link
SUSPENDED_MS = 1_000  # a tick that late means that the machine stood still
CONFIGURATION_WAIT_MS = 2_000  # a large one takes a second on a slow link
METRICS_PATH = b"/metrics"
EXIT_SETTINGS = 2


class Process:
    """Everything that one balancer runs.

    Args:
        settings: The ``Settings``.
        path: Path of their file, which is looked at again.
    """

    def __init__(self, settings, path):
        self.settings = settings
        self.path = path
        self.started_ms = now_ms()
        self.loop = Loop(now_ms)
        self.log = Log(settings.instance, now_ms)
        self.counters = Counters()
        random = Random()
        self.balancer = Balancer(data_centre=settings.data_centre, random=random)
        self.lifecycle = Lifecycle(grace_ms=settings.grace_s * 1_000)
        self.port = PacketPort(
            self.loop,
            settings.packet_address,
            balancer=self.balancer,
            log=self.log,
            counters=self.counters,
        )
        priority = crc32(settings.host.encode())
        slow_link = settings.link_mbps < SLOW_LINK_MBPS
        self.store_sync = StoreSync(
            priority=priority + (WEAK_PRIORITY if slow_link else 0),
            slow_link=slow_link,
            random=random,
        )
        self.peers = Peers(
            self.loop, settings, counters=self.counters, on_message=self._on_message
        )
        self.reader = StoreReader(
            self.loop,
            settings,
            store_sync=self.store_sync,
            balancer=self.balancer,
            peers=self.peers,
            log=self.log,
            counters=self.counters,
        )
        self.trials = Trials(self.loop, self._on_trial)
        self.servers = [
            HttpServer(self.loop, settings.ready_address, self._serve_readiness),
            HttpServer(self.loop, settings.peer_address, self._serve_view),
        ]
        if settings.metrics_address is not None:
            server = HttpServer(self.loop, settings.metrics_address, self._serve_view)
            self.servers.append(server)
        self._settings_mtime = stat(path).st_mtime_ns
        self._settings_check_ms = self.started_ms + SETTINGS_CHECK_MS
        self._turned_ms = self.started_ms
        self._was_ready = False
        self._encoded_configuration = (None, b"")
        self._catch_signals()

    def run(self):
        """Serve until told to stop; returns the exit status."""
        self.log.line("start", data_centre=self.settings.data_centre)
        while True:
            self._tick(now_ms())
            if self.lifecycle.may_end(now_ms()):
                self.log.line("stop", **self.balancer.state_summary(now_ms()))
                return 0
            self.loop.turn(BUSY_TICK_MS if self.trials.running else TICK_MS)
            self._perform()

    def _tick(self, time_ms):
        if time_ms - self._turned_ms > SUSPENDED_MS:
            self.log.line("resumed", stood_still_ms=time_ms - self._turned_ms)
            self.counters.add("resumed", "late_tick")
        if time_ms - self._turned_ms >= STALE_SYN_MS:
            self.port.read()
        self._turned_ms = time_ms
        self.store_sync.members = len(self.peers.members) + 1
        self.reader.on_tick(time_ms)
        self.peers.on_tick(time_ms)
        self.trials.on_tick(time_ms)
        self.balancer.on_tick(time_ms)
        self.balancer.view_confirmed_ms = self.store_sync.confirmed_ms
        self.balancer.view.store_recovered_ms = self.store_sync.recovered_ms
        beacon = self.store_sync.beacon(time_ms)
        if beacon is not None:
            self.peers.broadcast(beacon)
        if time_ms >= self._settings_check_ms:
            self._check_settings(time_ms)
        self._perform()
        self._note_readiness(time_ms)

    def _perform(self):
        """Do what the balancer's decisions asked for beside packets."""
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
                self._start_trial(effect.cookie)
            elif isinstance(effect, Verdict):
                self._note_verdict(effect, THIS_BALANCER)
                self.peers.broadcast(effect)
            elif isinstance(effect, DealtAnew):
                self.peers.broadcast(effect)
            elif isinstance(effect, LogEvent):
                self.log.line(effect.event, **dict(effect.fields))

    def _start_trial(self, cookie):
        target = self.balancer.view.by_cookie.get(cookie)
        if target is None:
            self.balancer.health.forget(cookie)
        else:
            self.trials.start(
                target, self.balancer.target_selector.control_target(cookie)
            )

    def _on_trial(self, cookie, evidence):
        self.counters.add("trials", evidence)
        self.log.line("trial", target=self.balancer.target_id(cookie), outcome=evidence)
        self.balancer.on_probe_result(cookie, evidence, now_ms())

    def _on_message(self, message, host):
        time_ms = now_ms()
        if isinstance(message, Beacon):
            self.store_sync.on_beacon(message, host, time_ms)
        elif isinstance(message, Delta):
            self.reader.on_delta(message, time_ms)
        elif isinstance(message, DealtAnew):
            self.balancer.on_flows_rehashed(time_ms)
        elif isinstance(message, Verdict):
            self._note_verdict(message, host)
            self.balancer.on_verdict(message, host, time_ms)

    def _note_verdict(self, verdict, source):
        """Log a verdict that changes what is believed."""
        balancer = self.balancer
        if verdict.evidence in (STUCK, UNANSWERED):
            event = "target_stuck"
            known = balancer.stuck_targets.is_stuck(verdict.cookie)
        elif verdict.evidence == ANSWERED:
            event = "target_answers"
            known = not balancer.stuck_targets.has_overdue_reports(verdict.cookie)
        else:
            event = "target_dead" if verdict.dead else "target_alive"
            known = balancer.health.is_dead(verdict.cookie) == verdict.dead
        if source == THIS_BALANCER or not known:
            self.log.line(
                event,
                target=balancer.target_id(verdict.cookie),
                evidence=verdict.evidence,
                source=source,
            )

    def _note_readiness(self, time_ms):
        has_view = self.store_sync.revision is not None
        if has_view and not self.port.is_open:
            self.port.open()
            self.counters.time("start", time_ms - self.started_ms)
            self.log.line(
                "serving",
                after_ms=time_ms - self.started_ms,
                targets=len(self.balancer.view.targets),
                version=self.store_sync.configuration_version,
            )
        if self.balancer.configuration is not None:
            self.port.release()
        else:
            waited_ms = time_ms - self.started_ms
            has_view = has_view and waited_ms < CONFIGURATION_WAIT_MS
        self.lifecycle.packet_ms = self.port.packet_ms
        isolated = self.balancer.health.isolated(time_ms)
        cut_off = self.balancer.cut_off
        ready = self.lifecycle.ready(
            has_view=has_view, isolated=isolated, cut_off=cut_off
        )
        if ready != self._was_ready:
            self._was_ready = self.balancer.in_rotation = ready
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
            return 200, self.counters.text(self._gauges()).encode()
        configuration = self.balancer.configuration
        if path == TARGETS_PATH.encode() and self.store_sync.revision is not None:
            targets = self.balancer.view.targets
            return 200, encode_targets(self.store_sync.view_revision, targets)
        if path == CONFIGURATION_PATH.encode() and configuration is not None:
            return 200, self._encoded(configuration)
        return 404, b""

    def _encoded(self, configuration):
        """Return the document of a configuration, made once for all peers."""
        version, document = self._encoded_configuration
        if version != configuration.version:
            document = encode_configuration(configuration)
            self._encoded_configuration = (configuration.version, document)
        return document

    def _gauges(self):
        state_summary = self.balancer.state_summary(now_ms())
        return state_summary | {
            "flows": len(self.balancer.flows.flows),
            "members": self.store_sync.members,
            "reader": self.store_sync.reader,
            "revision": self.store_sync.revision,
            "loop_lag_most_ms": self.loop.lag_ms,
        }

    def _catch_signals(self):
        signal(SIGTERM, self._on_sigterm)
        signal(SIGHUP, self._on_sighup)
        self._wake_reader, self._wake_writer = socketpair()
        self._wake_reader.setblocking(False)
        self._wake_writer.setblocking(False)
        set_wakeup_fd(self._wake_writer.fileno())
        self.loop.watch(self._wake_reader, lambda _events: self._wake_reader.recv(64))

    def _on_sigterm(self, _number, _frame):
        self.lifecycle.stop(now_ms())
        self.log.line("stopping", grace_s=self.settings.grace_s)

    def _on_sighup(self, _number, _frame):
        self._settings_mtime = None
        self._settings_check_ms = 0

    def _check_settings(self, time_ms):
        self._settings_check_ms = time_ms + SETTINGS_CHECK_MS
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
        if isinstance(settings, SettingsFaults):
            self.log.line("reload", outcome="refused", findings=settings.findings)
            return
        changed = [
            name
            for name in settings._fields
            if getattr(settings, name) != getattr(self.settings, name)
        ]
        # Addresses of sockets stay: the platform changes them only at a start.
        self.settings = settings
        self.peers.settings = settings
        self.lifecycle.grace_ms = settings.grace_s * 1_000
        self.log.line("reload", outcome="taken", changed=changed)


def main():
    """Run a balancer with the settings that the platform names."""
    path = environ.get(SETTINGS_VARIABLE.encode(), b"").decode()
    if not path:
        print(f"{SETTINGS_VARIABLE} names no settings file", flush=True)
        return EXIT_SETTINGS
    try:
        with open(path) as file:
            settings = parse_settings(file.read())
    except OSError as error:
        settings = SettingsFaults([str(error)])
    if isinstance(settings, SettingsFaults):
        print("{}: {}".format(path, "; ".join(settings.findings)), flush=True)
        return EXIT_SETTINGS
    return Process(settings, path).run()
