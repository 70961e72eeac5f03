"""A token node: forwards packets, follows the store, answers readiness probes, handles signals.

A node is ready once it has all backends, a configuration and the fleet's key. After SIGTERM it
waits for its turn to stop, then reports that it is not ready and keeps forwarding until the routers
have stopped using it. A node that was never ready has nothing to forward and stops at once.
"""

from __future__ import annotations

import asyncio
import os
import random
import signal
import socket
import time
from collections import Counter
from collections.abc import Callable
from functools import partial

from beamloom.node.token_core import TokenCore
from beamloom.platform import packet_layout, store_objects
from beamloom.replication.reader_role import reader_id_of
from beamloom.replication.store_call_times import (
    StoreCallTimes,
    evacuation_store_call_times,
    store_call_times,
)
from beamloom.routing.tokens.placement import placement_settings
from beamloom.runtime.backend_check import BackendChecker
from beamloom.runtime.connection_limits import ConnectionKind
from beamloom.runtime.decision_log import DecisionLog
from beamloom.runtime.http_client import HttpResponse
from beamloom.runtime.http_responder import HttpResponder
from beamloom.runtime.limit_watch import LimitWatch
from beamloom.runtime.packet_socket import PacketSocket
from beamloom.runtime.planned_stop import PlannedStop
from beamloom.runtime.signal_mask import block_signals, unblock_signals
from beamloom.runtime.start_timeline import StartLog, StartTimeline
from beamloom.runtime.store_follower import StoreFollower
from beamloom.settings.mechanisms import ALL_MECHANISMS, Mechanisms
from beamloom.settings.token_node import RESTART_FIELDS, TokenNodeSettings, changed_fields
from beamloom.telemetry.event_log import EventLog, non_blocking_stdout
from beamloom.telemetry.histogram import LatencyHistogram

METRICS_PATH = "/metrics"
TICK_SECONDS = 0.25
"""The delay before the first tick is random, so that nodes that start together do not all call the
store at once: the first one passes its answer on to the others.
"""
READER_ID_BYTES = 4
MAXIMUM_QUEUE_SECONDS = 1.0
"""How long a starting node leaves packets in its socket's buffer until it is ready. Clients
retransmit after 0.2 to 1.6 s, so older packets are useless: a node that is not ready by then reads
them, and drops those that it cannot forward.
"""
MAXIMUM_OPENING_WAIT_SECONDS = 0.15
"""After a longer start, opening packets in the buffer are dropped: clients send copies after 0.2 s,
which another node may have forwarded.
"""


class TokenNode:
    """One node; `run` returns when a planned stop is complete.

    `read_settings` is called at each reload and raises ValueError for a faulty file. `packets` is
    the bound socket for clients' packets. `timeline` holds the events of the start so far.
    """

    def __init__(
        self,
        settings: TokenNodeSettings,
        read_settings: Callable[[], TokenNodeSettings],
        packets: socket.socket,
        mechanisms: Mechanisms = ALL_MECHANISMS,
        timeline: StartTimeline | None = None,
    ) -> None:
        self.settings = settings
        self._mechanisms = mechanisms
        self._read_settings = read_settings
        rng = self._rng = random.Random()
        self.log = EventLog(settings.node, non_blocking_stdout())
        self.decisions = DecisionLog(self.log, packet_layout.describe_flow, self._view_age)
        self.start = StartLog(timeline or StartTimeline(time.monotonic()), self.decisions.lifecycle)
        start = os.urandom(READER_ID_BYTES).hex()
        capacity = settings.capacity
        reader_id = reader_id_of(capacity.cores, capacity.link_megabits, start)
        self.core = TokenCore(
            settings.zone,
            reader_id,
            store_objects.CONFIGURATION_NAME,
            self.decisions,
            rng=rng,
            times=store_call_times(
                min(settings.apply_seconds, settings.drain_seconds),
                settings.contact_seconds,
                mechanisms,
            ),
            placement=placement_settings(settings.drain_seconds, mechanisms),
            mechanisms=mechanisms,
            evacuation_times=_evacuation_times(settings, mechanisms),
            known_zones=settings.zones,
            cold_starts=settings.cold_starts,
            capacity=capacity,
            heartbeat_seconds=settings.heartbeat_seconds,
            is_seed=settings.host in settings.seeds,
        )
        self.core.on_view_changed = self._record_progress
        self.follower = StoreFollower(settings, self.core, self.decisions, rng, mechanisms)
        self.limit_watch = LimitWatch(
            self.core, settings, self._peer_traffic, self._log_limit_watch_fault
        )
        self._packets = PacketSocket(
            packets,
            self.core.router,
            self._log_packet_fault,
            self._before_packets,
            self._after_packets,
            on_first=self.start.record,
        )
        self.follower.on_message = self._packets.send_late_commands
        self._checker = BackendChecker(self.core.checks, settings.host, self._send_pending)
        self._deadline_timer: asyncio.TimerHandle | None = None
        self._responder = HttpResponder(
            {store_objects.READINESS_PATH: self._answer_readiness}, ConnectionKind.READINESS
        )
        self.loop_lag = LatencyHistogram()
        self._metrics_responder = HttpResponder(
            {METRICS_PATH: self._answer_metrics}, ConnectionKind.METRICS
        )
        self.responders = (self._responder, self._metrics_responder)
        self._started_at = time.monotonic()
        self._stop = PlannedStop(
            settings.stop_seconds,
            self._is_stop_turn,
            self._announce_away,
            forwards=mechanisms.forwarding_after_stop,
        )
        self._was_ready = False

    @property
    def ready(self) -> bool:
        """Whether packets may be sent to this node."""
        return self.core.complete and not self._stop.away

    def request_stop(self) -> None:
        """Begin a planned stop."""
        self.decisions.lifecycle("StopRequested", flows=len(self.core.router.flows))
        self.start.stop()
        self._stop.request(in_use=self._was_ready)
        self.core.request_stop(time.monotonic())
        self.follower.send()

    def _is_stop_turn(self) -> bool:
        return self.core.may_stop(time.monotonic())

    def _announce_away(self) -> None:
        self.core.announce_away(time.monotonic())
        self.follower.send()
        self.decisions.lifecycle("Away", flows=len(self.core.router.flows))

    def reload(self) -> None:
        """Read the settings again; a faulty file is logged and changes nothing."""
        try:
            settings = self._read_settings()
        except ValueError as error:
            self.decisions.lifecycle("SettingsRefused", reason=str(error))
            return
        changed = changed_fields(self.settings, settings)
        self.settings = settings
        self.follower.use_settings(settings)
        deferred = [name for name in changed if name in RESTART_FIELDS]
        self.decisions.lifecycle(
            "SettingsReloaded",
            changed=", ".join(changed) or None,
            takes_effect_at_next_start=", ".join(deferred) or None,
        )

    async def run(self) -> None:
        """Serve and handle signals until a requested stop is complete."""
        self._handle_signals()
        try:
            await self._serve()
        finally:
            block_signals()

    async def _serve(self) -> None:
        await self._responder.start(*self.settings.readiness.pair)
        self.start.record("listening")
        await self._start_metrics()
        self.decisions.lifecycle("Started", zone=self.settings.zone)
        self._log_unusable_limits()
        jobs = (
            self.follower.run(),
            self._tick(),
            self._read_packets_when_unready(),
            self.limit_watch.run(),
        )
        tasks = [asyncio.create_task(job) for job in jobs]
        stop = asyncio.create_task(self._stop.wait())
        done, _ = await asyncio.wait({*tasks, stop}, return_when=asyncio.FIRST_COMPLETED)
        for task in (*tasks, stop):
            task.cancel()
        await asyncio.gather(*tasks, stop, return_exceptions=True)
        self._close()
        for task in done:
            task.result()

    def _peer_traffic(self) -> Counter[str]:
        return Counter() if self.follower.link is None else self.follower.link.counters

    def _log_unusable_limits(self) -> None:
        """Log limits that are missing or implausible in the settings; the least value applies."""
        if self.settings.unusable_limits:
            names = ", ".join(self.settings.unusable_limits)
            self.decisions.lifecycle("LimitsUnusable", taken_as_least=names)

    async def _start_metrics(self) -> None:
        """Serve metrics if an address is configured; failure to bind it is only logged."""
        endpoint = self.settings.metrics
        if endpoint is None:
            return
        try:
            await self._metrics_responder.start(*endpoint.pair)
        except OSError as error:
            self.decisions.dependency_lost("metrics address", str(error), 1)

    async def _read_packets_when_unready(self) -> None:
        """Start reading packets after MAXIMUM_QUEUE_SECONDS even if the node is not ready."""
        await asyncio.sleep(MAXIMUM_QUEUE_SECONDS if self._mechanisms.waiting_packets else 0.0)
        self._packets.start()
        await asyncio.Event().wait()

    async def _tick(self) -> None:
        loop = asyncio.get_running_loop()
        await asyncio.sleep(first_tick_seconds(self._rng, self._mechanisms))
        while True:
            due = loop.time() + TICK_SECONDS
            await asyncio.sleep(TICK_SECONDS)
            now = loop.time()
            self.loop_lag.observe(now - due)
            self.core.advance(now)
            self.follower.advance(now)
            self._packets.send_late_commands()
            self._packets.send_resets()
            self.start.advance(now)
            self.log.flush()

    def _send_pending(self) -> None:
        """Send the resets and the messages to other nodes that follow from a backend check."""
        self._packets.send_resets()
        self.follower.send()

    def _after_packets(self) -> None:
        if self.core.ask_about_openings():
            self.follower.send()
        self._schedule_deadline()

    def _schedule_deadline(self) -> None:
        """Set a timer for the next flow or held copy that the router has to process."""
        due = self.core.router.next_deadline()
        timer = self._deadline_timer
        if due is None or (timer is not None and timer.when() <= due):
            return
        if timer is not None:
            timer.cancel()
        self._deadline_timer = asyncio.get_running_loop().call_at(due, self._handle_deadline)

    def _handle_deadline(self) -> None:
        self._deadline_timer = None
        self.core.router.advance(asyncio.get_running_loop().time())
        self._packets.send_late_commands()
        self._schedule_deadline()

    def _handle_signals(self) -> None:
        """Handle signals in the event loop.

        `loop.add_signal_handler` would import `inspect`, which a start does not need otherwise.
        """
        loop = asyncio.get_running_loop()
        for number, handler in (
            (signal.SIGTERM, self.request_stop),
            (signal.SIGINT, self.request_stop),
            (signal.SIGHUP, self.reload),
        ):
            signal.signal(number, partial(_call_in_loop, loop, handler))
        unblock_signals()

    def _close(self) -> None:
        self.core.announce_end(time.monotonic())
        self.follower.send()
        if self._deadline_timer is not None:
            self._deadline_timer.cancel()
        self._checker.close()
        self._packets.close()
        self._responder.close()
        self._metrics_responder.close()
        self.follower.close()
        self.decisions.lifecycle("Stopped")
        self.log.flush()

    def _record_progress(self) -> None:
        """Record the progress of the start; log readiness once and start reading packets."""
        self.start.record_progress(self.core)
        if self.ready and not self._was_ready:
            self._was_ready = True
            self.start.record("ready")
            if time.monotonic() - self._started_at > MAXIMUM_OPENING_WAIT_SECONDS:
                self._packets.start_dropping_queued_openings()
            else:
                self._packets.start()
            version = self.core.router.routes.version
            self.decisions.lifecycle(
                "Ready", version=version, backends=len(self.core.router.backends)
            )

    def _before_packets(self, now: float) -> None:
        """After a stall, drop the opening packets that are queued in the socket's buffer."""
        if self._mechanisms.discard_after_stall and self.core.consume_stall(now):
            self._packets.drop_queued_openings()

    def _log_packet_fault(self, error: Exception) -> None:
        self.decisions.lifecycle("PacketFault", error=repr(error), where=_origin(error))

    def _log_limit_watch_fault(self, error: Exception) -> None:
        self.decisions.lifecycle("LimitWatchFault", error=repr(error), where=_origin(error))

    def _view_age(self) -> float | None:
        return self.core.backends.age(asyncio.get_running_loop().time())

    def _answer_metrics(self) -> HttpResponse:
        from beamloom.runtime.token_metrics import read_metrics
        from beamloom.telemetry.counters import make_registry, render

        return HttpResponse(200, render(make_registry(partial(read_metrics, self))))

    def _answer_readiness(self) -> HttpResponse:
        self.start.record("readiness_asked")
        if self.ready:
            self.start.record("readiness_answered")
            return HttpResponse(200, b"ready\n")
        self._stop.record_miss(asyncio.get_running_loop().time())
        return HttpResponse(503, b"not ready\n")


def _evacuation_times(settings: TokenNodeSettings, mechanisms: Mechanisms) -> StoreCallTimes | None:
    """Return the times for evacuations; None if the settings do not provide for them."""
    if settings.evacuate_seconds is None:
        return None
    return evacuation_store_call_times(
        settings.evacuate_seconds, settings.contact_seconds, mechanisms
    )


def first_tick_seconds(rng: random.Random, mechanisms: Mechanisms) -> float:
    """Return the delay before a node's ticks begin."""
    return rng.uniform(0.0, TICK_SECONDS) if mechanisms.spread_ticks else 0.0


def _call_in_loop(
    loop: asyncio.AbstractEventLoop, handler: Callable[[], None], _number: int, _frame: object
) -> None:
    """Schedule `handler` in the event loop, as the handler of a signal."""
    loop.call_soon_threadsafe(handler)


def _origin(error: BaseException) -> str:
    """Return the file and line that raised an error."""
    trace = error.__traceback__
    while trace is not None and trace.tb_next is not None:
        trace = trace.tb_next
    if trace is None:
        return "unknown"
    return f"{trace.tb_frame.f_code.co_filename}:{trace.tb_lineno}"
