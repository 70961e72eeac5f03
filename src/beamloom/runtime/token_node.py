"""A token node: packets in and out, the store followed, readiness told, signals obeyed.

Ready means: a whole list of backends and a configuration have been read since the start, and no
stop was asked for. After SIGTERM the node is unready at once and forwards on until the routers have
turned to others.
"""

from __future__ import annotations

import asyncio
import random
import signal
import socket
from collections.abc import Callable
from typing import TypeVar

from beamloom.platform import packet_layout, store_objects
from beamloom.replication.object_watch import ObjectChange, ObjectWatch, WholeList
from beamloom.routing.tokens.packets import DropPacket, DropReason, ForwardPacket, RouterCommand
from beamloom.routing.tokens.placement import Placement, PlacementSettings
from beamloom.routing.tokens.records import BackendRecord, RoutingConfiguration
from beamloom.routing.tokens.router import TokenRouter
from beamloom.runtime.http_client import HttpAnswer, HttpConnection
from beamloom.runtime.http_responder import HttpResponder
from beamloom.runtime.store_reader import KindFormat, StoreReader
from beamloom.settings.token_node import TokenNodeSettings

Record = TypeVar("Record")

BATCH_SIZE = 64
LARGEST_DATAGRAM = 2048
RECEIVE_BUFFER_BYTES = 4 << 20
TICK_SECONDS = 0.25
FORWARD_AFTER_STOP_SECONDS = 2.5
"""The routers ask twice a second and turn away after two misses; the rest is for late packets."""


class TokenNode:
    """One node; `run` returns when it has stopped as planned."""

    def __init__(self, settings: TokenNodeSettings) -> None:
        self.settings = settings
        chance = random.Random()
        self.router = TokenRouter(Placement(settings.zone, PlacementSettings(), chance))
        self._chance = chance
        self._stop_asked = asyncio.Event()
        self._socket = _bind(settings)
        self._responder = HttpResponder({store_objects.READINESS_PATH: self._answer_readiness})
        self._backend_reader = self._make_backend_reader()
        self._configuration_reader = self._make_configuration_reader()

    @property
    def ready(self) -> bool:
        """Whether packets may be sent to this node."""
        listed = self._backend_reader.watch.listed and self._configuration_reader.watch.listed
        return listed and self.router.routes.version >= 0 and not self._stop_asked.is_set()

    def request_stop(self) -> None:
        """Ask for a planned stop."""
        self._stop_asked.set()

    async def run(self) -> None:
        """Serve until a stop is asked for, then until it is complete."""
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, self.request_stop)
        loop.add_signal_handler(signal.SIGINT, self.request_stop)
        loop.add_reader(self._socket, self._read_batch)
        await self._responder.start(*self.settings.readiness.pair)
        jobs = (self._backend_reader.run(), self._configuration_reader.run(), self._tick())
        tasks = [asyncio.create_task(job) for job in jobs]
        stop = asyncio.create_task(self._stop_asked.wait())
        done, _ = await asyncio.wait([*tasks, stop], return_when=asyncio.FIRST_COMPLETED)
        for task in done:
            task.result()
        await asyncio.sleep(min(FORWARD_AFTER_STOP_SECONDS, self.settings.stop_seconds / 2))
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        loop.remove_reader(self._socket)
        self._socket.close()
        self._responder.close()

    async def _tick(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(TICK_SECONDS)
            self.router.advance(loop.time())

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
            packet = packet_layout.parse_packet(data)
            if packet is None:
                self.router.counters[f"dropped_{DropReason.MALFORMED.value}"] += 1
                continue
            self._execute(self.router.handle(packet, now))

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
        connection = HttpConnection(*self.settings.store.pair)
        return StoreReader(ObjectWatch(self._chance), kind, connection, on_list, on_changes)

    def _now(self) -> float:
        return asyncio.get_running_loop().time()

    def _take_backends(self, whole: WholeList[BackendRecord]) -> None:
        records = [named.record for named in whole.records]
        self.router.backends.replace_all(records, self._now())

    def _take_backend_changes(self, changes: tuple[ObjectChange[BackendRecord], ...]) -> None:
        for change in changes:
            if change.record is None:
                self.router.backends.remove(change.name, self._now())
            else:
                self.router.backends.update(change.record, self._now())

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
        if name == store_objects.CONFIGURATION_NAME:
            self.router.put_in_force(configuration, self._now())


def _bind(settings: TokenNodeSettings) -> socket.socket:
    datagrams = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    datagrams.setblocking(False)
    datagrams.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
    datagrams.bind(settings.packets.pair)
    return datagrams
