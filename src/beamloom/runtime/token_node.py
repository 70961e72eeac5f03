"""A token node: packets in and out, the store followed, readiness told, signals obeyed.

Ready means: a whole list of backends and a configuration have been read since the start, and no
stop was asked for. After SIGTERM the node is unready at once and forwards on until the routers have
turned to others.
"""

from __future__ import annotations

import asyncio
import functools
import random
import signal
import socket
from collections.abc import Callable
from typing import Any, Literal, TypeVar

from beamloom.platform import packet_layout, store_objects
from beamloom.replication.object_watch import ObjectChange, ObjectWatch, WholeList
from beamloom.replication.shared_secret import SharedSecret
from beamloom.routing.tokens.packets import DropPacket, DropReason, ForwardPacket, RouterCommand
from beamloom.routing.tokens.placement import Placement, PlacementSettings
from beamloom.routing.tokens.records import BackendRecord, RoutingConfiguration
from beamloom.routing.tokens.router import TokenRouter
from beamloom.routing.tokens.token import TokenCodec
from beamloom.runtime.decision_log import DecisionLog
from beamloom.runtime.http_client import HttpAnswer, HttpConnection
from beamloom.runtime.http_responder import HttpResponder
from beamloom.runtime.shared_secret import SecretFormat, fetch_shared_secret
from beamloom.runtime.store_reader import KindFormat, StoreReader
from beamloom.settings.token_node import FIELDS_OF_A_START, TokenNodeSettings, changed_fields
from beamloom.telemetry.event_log import EventLog, standard_output

Record = TypeVar("Record")

BATCH_SIZE = 64
LARGEST_DATAGRAM = 2048
RECEIVE_BUFFER_BYTES = 4 << 20
TICK_SECONDS = 0.25
FORWARD_AFTER_STOP_SECONDS = 2.5
"""The routers ask twice a second and turn away after two misses; the rest is for late packets."""


_SECRET_FORMAT = SecretFormat(
    store_objects.secret_path(),
    store_objects.new_secret_path(),
    store_objects.encode_secret,
    store_objects.read_secret,
)


class TokenNode:
    """One node; `run` returns when it has stopped as planned.

    `read_settings` is called at the start and at each reload; it raises ValueError.
    """

    def __init__(self, read_settings: Callable[[], TokenNodeSettings]) -> None:
        self._read_settings = read_settings
        self._connections: list[HttpConnection] = []
        settings = self.settings = read_settings()
        chance = random.Random()
        self.log = EventLog(settings.node, standard_output())
        self.decisions = DecisionLog(self.log, packet_layout.describe_flow, self._view_age)
        placement = Placement(settings.zone, PlacementSettings(), chance)
        self.router = TokenRouter(placement, self.decisions.decision)
        self._chance = chance
        self._stop_asked = asyncio.Event()
        self._was_ready = False
        self._socket = _bind(settings)
        self._responder = HttpResponder({store_objects.READINESS_PATH: self._answer_readiness})
        self._backend_reader = self._make_backend_reader()
        self._configuration_reader = self._make_configuration_reader()

    @property
    def ready(self) -> bool:
        """Whether packets may be sent to this node."""
        keyed = self.router.codec is not None
        listed = self._backend_reader.watch.listed and self._configuration_reader.watch.listed
        return (
            keyed and listed and self.router.routes.version >= 0 and not self._stop_asked.is_set()
        )

    def request_stop(self) -> None:
        """Ask for a planned stop."""
        self.decisions.life("StopRequested", flows=len(self.router.flows))
        self._stop_asked.set()

    def reload(self) -> None:
        """Read the settings again; a faulty file is told and changes nothing."""
        try:
            settings = self._read_settings()
        except ValueError as error:
            self.decisions.life("SettingsRefused", reason=str(error))
            return
        before, self.settings = self.settings, settings
        changed = changed_fields(before, settings)
        if settings.store != before.store:
            for connection in self._connections:
                connection.use(*settings.store.pair)
        waiting = [name for name in changed if name in FIELDS_OF_A_START]
        self.decisions.life(
            "SettingsReloaded",
            changed=", ".join(changed) or None,
            takes_effect_at_next_start=", ".join(waiting) or None,
        )

    async def run(self) -> None:
        """Serve until a stop is asked for, then until it is complete."""
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, self.request_stop)
        loop.add_signal_handler(signal.SIGINT, self.request_stop)
        loop.add_signal_handler(signal.SIGHUP, self.reload)
        loop.add_reader(self._socket, self._read_batch)
        await self._responder.start(*self.settings.readiness.pair)
        self.decisions.life("Started", zone=self.settings.zone)
        jobs = (
            self._backend_reader.run(),
            self._configuration_reader.run(),
            self._tick(),
            self._fetch_key(),
        )
        tasks = [asyncio.create_task(job) for job in jobs]
        stop = asyncio.create_task(self._stop_asked.wait())
        await self._wait_for_stop(tasks, stop)
        await asyncio.sleep(min(FORWARD_AFTER_STOP_SECONDS, self.settings.stop_seconds / 2))
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        loop.remove_reader(self._socket)
        self._socket.close()
        self.decisions.life("Stopped")
        self.log.flush()
        self._responder.close()

    async def _wait_for_stop(
        self, tasks: list[asyncio.Task[None]], stop: asyncio.Task[Literal[True]]
    ) -> None:
        """Return when a stop is asked for; raises what a task ended with."""
        waits: set[asyncio.Task[Any]] = {*tasks, stop}
        while not stop.done():
            done, waits = await asyncio.wait(waits, return_when=asyncio.FIRST_COMPLETED)
            for task in done:
                task.result()

    async def _fetch_key(self) -> None:
        connection = self._connect()
        try:
            key = await fetch_shared_secret(SharedSecret(self._chance), connection, _SECRET_FORMAT)
        finally:
            connection.close()
        self.router.codec = TokenCodec(key)
        self._note_ready()

    async def _tick(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(TICK_SECONDS)
            self.router.advance(loop.time())
            self.log.flush()

    def _note_ready(self) -> None:
        """Tell once that the node has become ready."""
        if self.ready and not self._was_ready:
            self._was_ready = True
            self.decisions.life(
                "Ready",
                version=self.router.routes.version,
                backends=len(self.router.backends),
            )

    def _view_age(self) -> float | None:
        confirmed = self._backend_reader.watch.confirmed_at
        return None if confirmed is None else self._now() - confirmed

    def _answer_readiness(self) -> HttpAnswer:
        return HttpAnswer(200, b"ready\n") if self.ready else HttpAnswer(503, b"not ready\n")

    def _read_batch(self) -> None:
        now = asyncio.get_running_loop().time()
        receive = self._socket.recv
        for _ in range(BATCH_SIZE):
            try:
                data = receive(LARGEST_DATAGRAM)
            except BlockingIOError:
                return
            except OSError:
                continue
            self._take_datagram(data, now)

    def _take_datagram(self, data: bytes, now: float) -> None:
        """Carry out the decision for one datagram; a fault of ours costs this datagram only."""
        packet = packet_layout.parse_packet(data)
        if packet is None:
            self.router.counters[f"dropped_{DropReason.MALFORMED.value}"] += 1
            return
        try:
            self._execute(self.router.handle(packet, now))
        except Exception as error:
            self.router.counters["faults"] += 1
            self.decisions.life("PacketFault", error=repr(error), where=_origin(error))

    def _execute(self, command: RouterCommand) -> None:
        if isinstance(command, ForwardPacket):
            self._send(packet_layout.encode_forward(command), command.address)
        elif not isinstance(command, DropPacket):
            host = packet_layout.client_host(command.packet)
            port = self.settings.packets.port
            self._send(packet_layout.encode_reset(command.packet), (host, port))

    def _send(self, data: bytes, address: tuple[str, int]) -> None:
        try:
            self._socket.sendto(data, address)
        except OSError:
            self.router.counters["unsent"] += 1

    def _make_backend_reader(self) -> StoreReader[BackendRecord]:
        kind = KindFormat(
            "backends",
            lambda request: store_objects.list_path(store_objects.BACKENDS_KIND, request),
            lambda request, wait: store_objects.watch_path(
                store_objects.BACKENDS_KIND, request, wait
            ),
            lambda body: store_objects.read_page(body, store_objects.translate_backend),
            lambda body: store_objects.read_changes(body, store_objects.translate_backend),
        )
        return self._make_reader(kind, self._take_backends, self._take_backend_changes)

    def _make_configuration_reader(self) -> StoreReader[RoutingConfiguration]:
        kind = KindFormat(
            "configuration",
            lambda request: store_objects.list_path(store_objects.CONFIGURATION_KIND, request),
            lambda request, wait: store_objects.watch_path(
                store_objects.CONFIGURATION_KIND, request, wait
            ),
            lambda body: store_objects.read_page(body, store_objects.translate_configuration),
            lambda body: store_objects.read_changes(body, store_objects.translate_configuration),
        )
        return self._make_reader(kind, self._take_configurations, self._take_configuration_changes)

    def _make_reader(
        self,
        kind: KindFormat[Record],
        on_list: Callable[[WholeList[Record]], None],
        on_changes: Callable[[tuple[ObjectChange[Record], ...]], None],
    ) -> StoreReader[Record]:
        connection = self._connect()
        reader = StoreReader(ObjectWatch(self._chance), kind, connection, on_list, on_changes)
        dependency = f"store {kind.label}"
        reader.on_failure = functools.partial(self.decisions.dependency_lost, dependency)
        reader.on_recovery = functools.partial(self.decisions.dependency_regained, dependency)
        return reader

    def _connect(self) -> HttpConnection:
        connection = HttpConnection(*self.settings.store.pair)
        self._connections.append(connection)
        return connection

    def _now(self) -> float:
        return asyncio.get_running_loop().time()

    def _take_backends(self, whole: WholeList[BackendRecord]) -> None:
        records = [named.record for named in whole.records]
        changed, gone = self.router.backends.replace_all(records, self._now())
        for record in changed:
            self.decisions.backend_changed(record, "list")
        for name in gone:
            self.decisions.backend_gone(name, "list")
        self._note_ready()

    def _take_backend_changes(self, changes: tuple[ObjectChange[BackendRecord], ...]) -> None:
        for change in changes:
            if change.record is None:
                self.router.backends.remove(change.name, self._now())
                self.decisions.backend_gone(change.name, "watch")
            elif self.router.backends.update(change.record, self._now()):
                self.decisions.backend_changed(change.record, "watch")

    def _take_configurations(self, whole: WholeList[RoutingConfiguration]) -> None:
        for named in whole.records:
            self._take_configuration(named.name, named.record)

    def _take_configuration_changes(
        self, changes: tuple[ObjectChange[RoutingConfiguration], ...]
    ) -> None:
        for change in changes:
            if change.record is not None:
                self._take_configuration(change.name, change.record)

    def _take_configuration(self, name: str, configuration: RoutingConfiguration) -> None:
        if name != store_objects.CONFIGURATION_NAME:
            return
        before = self.router.routes.version
        if self.router.put_in_force(configuration):
            routes = len(configuration.routes)
            self.decisions.configuration(configuration.version, before, routes, "store")
        self._note_ready()


def _origin(error: BaseException) -> str:
    """Return file and line at which an error was raised."""
    trace = error.__traceback__
    while trace is not None and trace.tb_next is not None:
        trace = trace.tb_next
    if trace is None:
        return "unknown"
    return f"{trace.tb_frame.f_code.co_filename}:{trace.tb_lineno}"


def _bind(settings: TokenNodeSettings) -> socket.socket:
    datagrams = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    datagrams.setblocking(False)
    datagrams.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
    datagrams.bind(settings.packets.pair)
    return datagrams
