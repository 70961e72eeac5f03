"""Keeps a node's view of the store current: from the store itself, and from other nodes.

Peers are joined once the fleet's secret is known; what that takes is imported only then, as a node
is ready to serve before it.
"""

from __future__ import annotations

import asyncio
import functools
import os
import random
from _blake2 import blake2b
from collections.abc import Callable
from typing import TYPE_CHECKING, TypeVar

from beamloom.platform import store_objects
from beamloom.replication.object_watch import ObjectWatch
from beamloom.replication.reader_duty import ReaderDuty
from beamloom.replication.shared_secret import SharedSecret
from beamloom.replication.store_view import ObjectChange, StoreView
from beamloom.routing.tokens.records import BackendRecord, RoutingConfiguration
from beamloom.routing.tokens.router import TokenRouter
from beamloom.routing.tokens.token import TokenCodec
from beamloom.runtime.decision_log import DecisionLog
from beamloom.runtime.http_client import HttpConnection
from beamloom.runtime.shared_secret import SecretFormat, fetch_shared_secret
from beamloom.runtime.store_reader import KindFormat, StoreReader
from beamloom.settings.token_node import TokenNodeSettings

if TYPE_CHECKING:
    from beamloom.replication.view_exchange import ViewExchange
    from beamloom.runtime.peer_link import PeerLink

Record = TypeVar("Record")

READER_ID_BYTES = 4
JOIN_PEERS_AFTER_SECONDS = 0.5
PEER_KEY_PERSON = b"beamloom-peers"
LONGEST_STALL_SECONDS = 1.0
"""A process that stood still for so long cannot tell how old what it reads now is."""

_BACKENDS = KindFormat(
    "backends",
    functools.partial(store_objects.list_path, store_objects.BACKENDS_KIND),
    functools.partial(store_objects.watch_path, store_objects.BACKENDS_KIND),
    functools.partial(store_objects.read_page, translate=store_objects.translate_backend),
    functools.partial(store_objects.read_changes, translate=store_objects.translate_backend),
)
_CONFIGURATION = KindFormat(
    "configuration",
    functools.partial(store_objects.list_path, store_objects.CONFIGURATION_KIND),
    functools.partial(store_objects.watch_path, store_objects.CONFIGURATION_KIND),
    functools.partial(store_objects.read_page, translate=store_objects.translate_configuration),
    functools.partial(store_objects.read_changes, translate=store_objects.translate_configuration),
)
_SECRET = SecretFormat(
    store_objects.secret_path(),
    store_objects.new_secret_path(),
    store_objects.encode_secret,
    store_objects.read_secret,
)


class StoreFollower:
    """Feeds a router with backends, configuration and key; `on_progress` is called after each."""

    def __init__(
        self,
        settings: TokenNodeSettings,
        router: TokenRouter,
        decisions: DecisionLog,
        chance: random.Random,
        on_progress: Callable[[], None],
    ) -> None:
        self.backends: StoreView[BackendRecord] = StoreView()
        self.configuration: StoreView[RoutingConfiguration] = StoreView()
        self.reader_id = os.urandom(READER_ID_BYTES).hex()
        self.duty = ReaderDuty(self.reader_id, chance)
        self.exchange: ViewExchange | None = None
        self.link: PeerLink | None = None
        self._settings = settings
        self._router = router
        self._decisions = decisions
        self._chance = chance
        self._on_progress = on_progress
        self._connections: list[HttpConnection] = []
        self._advanced_at = _now()
        self.readers = (
            self._make_reader(_BACKENDS, self.backends, self._take_backends),
            self._make_reader(_CONFIGURATION, self.configuration, self._take_configuration),
        )

    @property
    def complete(self) -> bool:
        """Whether all that is needed to serve has been read."""
        return (
            self.backends.revision is not None
            and self._router.routes.version >= 0
            and self._router.codec is not None
        )

    def use_settings(self, settings: TokenNodeSettings) -> None:
        """Call the store at the address that these settings name."""
        if settings.store != self._settings.store:
            for connection in self._connections:
                connection.use(*settings.store.pair)
        self._settings = settings
        if self.exchange is not None:
            self.exchange.peers.seeds = [seed for seed in settings.seeds if seed != settings.host]

    async def run(self) -> None:
        """Follow the store until cancelled."""
        async with asyncio.TaskGroup() as group:
            for reader in self.readers:
                group.create_task(reader.run())
            group.create_task(self._fetch_key())

    def advance(self) -> None:
        """Let time pass; to be called a few times a second."""
        now = _now()
        if now - self._advanced_at > LONGEST_STALL_SECONDS:
            self._forget_confirmations()
        self._advanced_at = now
        if self.duty.advance(now):
            self._decisions.life("ReaderDuty", reading=self.duty.reading, reader=self.reader_id)
        for reader in self.readers:
            reader.advance(now)
        if self.exchange is not None:
            self.exchange.advance(now)
            self._send()

    def close(self) -> None:
        """Leave the peers."""
        if self.link is not None:
            self.link.close()
            self.link = None

    def _forget_confirmations(self) -> None:
        """After a stall, ask the store itself: what peers sent meanwhile looks newer than it is."""
        self.backends.confirmed_at = None
        self.configuration.confirmed_at = None

    async def _fetch_key(self) -> None:
        connection = self._connect()
        try:
            secret = await fetch_shared_secret(SharedSecret(self._chance), connection, _SECRET)
        finally:
            connection.close()
        self._router.codec = TokenCodec(secret)
        self._on_progress()
        await asyncio.sleep(JOIN_PEERS_AFTER_SECONDS)
        self._join_peers(secret)

    def _join_peers(self, secret: bytes) -> None:
        from beamloom.replication.peer_table import PeerTable
        from beamloom.replication.view_exchange import SharedView, ViewExchange
        from beamloom.runtime.peer_link import PeerLink
        from beamloom.runtime.view_codecs import BACKEND_CODEC, CONFIGURATION_CODEC

        settings = self._settings
        key = blake2b(key=secret, person=PEER_KEY_PERSON).digest()
        peers = PeerTable(settings.host, settings.seeds, self._chance)
        views = (
            SharedView(self.backends, BACKEND_CODEC, self._take_backends_of_peers),
            SharedView(self.configuration, CONFIGURATION_CODEC, self._take_configuration_of_peers),
        )
        try:
            self.link = PeerLink(
                settings.host, settings.peer_port, self.reader_id, key, self._take_message
            )
        except OSError as error:
            self._decisions.dependency_lost("peers", str(error), 1)
            return
        self.exchange = ViewExchange(views, peers, self.duty, self._chance)

    def _take_message(self, host: str, message: object) -> None:
        if self.exchange is None:
            return
        try:
            self.exchange.handle(host, message, _now())  # type: ignore[arg-type]
        except (TypeError, ValueError) as error:
            self.exchange.counters["unreadable"] += 1
            self._decisions.life("PeerMessageRefused", host=host, reason=repr(error))
        self._send()

    def _send(self) -> None:
        if self.exchange is None or self.link is None:
            return
        for send in self.exchange.take_sends():
            self.link.send(send.host, send.message)

    def _make_reader(
        self,
        kind: KindFormat[Record],
        view: StoreView[Record],
        take: Callable[[tuple[ObjectChange[Record], ...], str], None],
    ) -> StoreReader[Record]:
        watch = ObjectWatch(view, self._chance)
        reader = StoreReader(watch, kind, self._connect(), self.duty, self._chance)
        dependency = f"store {kind.label}"
        reader.on_failure = functools.partial(self._decisions.dependency_lost, dependency)
        reader.on_recovery = functools.partial(self._decisions.dependency_regained, dependency)

        def take_answer(changes: tuple[ObjectChange[Record], ...]) -> None:
            take(changes, "store")
            self._tell_peers()

        reader.on_answer = take_answer
        return reader

    def _tell_peers(self) -> None:
        now = _now()
        self.duty.note_answer(now)
        if self.exchange is not None:
            self.exchange.announce(now)
            self._send()

    def _connect(self) -> HttpConnection:
        connection = HttpConnection(*self._settings.store.pair)
        self._connections.append(connection)
        return connection

    def _take_backends_of_peers(self, changes: tuple[ObjectChange[BackendRecord], ...]) -> None:
        self._take_backends(changes, "peer")

    def _take_configuration_of_peers(
        self, changes: tuple[ObjectChange[RoutingConfiguration], ...]
    ) -> None:
        self._take_configuration(changes, "peer")

    def _take_backends(self, changes: tuple[ObjectChange[BackendRecord], ...], source: str) -> None:
        now = _now()
        for change in changes:
            if change.record is None:
                self._router.backends.remove(change.name, now)
                self._decisions.backend_gone(change.name, change.revision, source)
            elif self._router.backends.update(change.record, now):
                self._decisions.backend_changed(change.record, change.revision, source)
        self._on_progress()

    def _take_configuration(
        self, changes: tuple[ObjectChange[RoutingConfiguration], ...], source: str
    ) -> None:
        for change in changes:
            if change.record is None or change.name != store_objects.CONFIGURATION_NAME:
                continue
            before = self._router.routes.version
            if self._router.put_in_force(change.record):
                self._decisions.configuration(
                    change.record.version, before, len(change.record.routes), source
                )
        self._on_progress()


def _now() -> float:
    return asyncio.get_running_loop().time()
