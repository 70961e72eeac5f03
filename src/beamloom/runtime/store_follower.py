"""Drives the part of a token node's core that follows the store: calls, timers, peers' datagrams.

Peers are joined once the fleet's secret is known; what that takes is imported only then, as a node
is ready to serve before it.
"""

from __future__ import annotations

import asyncio
import functools
import random
from _blake2 import blake2b
from collections.abc import Callable
from typing import TYPE_CHECKING, TypeVar

from beamloom.node.token_core import TokenCore
from beamloom.platform import store_objects
from beamloom.replication.object_watch import ObjectWatch
from beamloom.replication.reader_duty import ReadingTurn
from beamloom.replication.shared_secret import SharedSecret
from beamloom.replication.store_view import ObjectChange
from beamloom.runtime.decision_log import DecisionLog
from beamloom.runtime.http_client import HttpConnection
from beamloom.runtime.shared_secret import SecretFormat, fetch_shared_secret
from beamloom.runtime.store_reader import KindFormat, StoreReader
from beamloom.settings.token_node import TokenNodeSettings

if TYPE_CHECKING:
    from beamloom.protocol.messages import Message
    from beamloom.runtime.peer_link import PeerLink

Record = TypeVar("Record")

JOIN_PEERS_AFTER_SECONDS = 0.5
PEER_KEY_PERSON = b"beamloom-peers"

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
    store_objects.secret_path(stale=False),
    store_objects.secret_path(stale=True),
    store_objects.new_secret_path(),
    store_objects.encode_secret,
    store_objects.read_secret,
)


class StoreFollower:
    """Reads the store for a core, and carries messages between it and other nodes' cores."""

    def __init__(
        self,
        settings: TokenNodeSettings,
        core: TokenCore,
        decisions: DecisionLog,
        chance: random.Random,
    ) -> None:
        self.link: PeerLink | None = None
        self._settings = settings
        self._core = core
        self._decisions = decisions
        self._chance = chance
        self._connections: list[HttpConnection] = []
        self._has_peers = False
        self._was_alone = False
        self.readers = (
            self._make_reader(_BACKENDS, core.backend_watch, core.backend_turn, core.take_backends),
            self._make_reader(
                _CONFIGURATION,
                core.configuration_watch,
                core.configuration_turn,
                core.take_configuration,
            ),
        )

    def use_settings(self, settings: TokenNodeSettings) -> None:
        """Call the store at the address that these settings name, and their seeds."""
        if settings.store != self._settings.store:
            for connection in self._connections:
                connection.use(*settings.store.pair)
        self._settings = settings
        if self._core.exchange is not None:
            self._core.exchange.peers.use_seeds(settings.seeds)

    async def run(self) -> None:
        """Follow the store until cancelled."""
        async with asyncio.TaskGroup() as group:
            for reader in self.readers:
                group.create_task(reader.run())
            group.create_task(self._fetch_key())

    def advance(self, now: float) -> None:
        """Let time pass; to be called a few times a second, after the core's own."""
        for reader in self.readers:
            reader.advance(now)
        self._send()
        self._note_peers()

    def _note_peers(self) -> None:
        """Tell when this node is alone after it had peers, and when it is so no longer."""
        if self._core.exchange is None:
            return
        has_peers = len(self._core.exchange.peers) > 0
        if has_peers == self._has_peers:
            return
        if has_peers and self._was_alone:
            self._decisions.dependency_regained("peers", 1)
        elif not has_peers:
            self._was_alone = True
            self._decisions.dependency_lost("peers", "none was heard for long", 1)
        self._has_peers = has_peers

    def close(self) -> None:
        """Leave the peers."""
        if self.link is not None:
            self.link.close()
            self.link = None

    async def _fetch_key(self) -> None:
        connection = self._connect()
        try:
            secret = await fetch_shared_secret(SharedSecret(self._chance), connection, _SECRET)
        finally:
            connection.close()
        self._core.use_key(secret)
        await asyncio.sleep(JOIN_PEERS_AFTER_SECONDS)
        self._join_peers(secret)

    def _join_peers(self, secret: bytes) -> None:
        from beamloom.runtime.peer_link import PeerLink

        settings = self._settings
        key = blake2b(key=secret, person=PEER_KEY_PERSON).digest()
        sender = self._core.duty.reader_id
        try:
            self.link = PeerLink(settings.host, settings.peer_port, sender, key, self._take_message)
        except OSError as error:
            self._decisions.dependency_lost("peers", str(error), 1)
            return
        self._core.join_peers(settings.host, settings.seeds)

    def _take_message(self, host: str, message: Message) -> None:
        try:
            self._core.handle_message(host, message, _now())
        except (TypeError, ValueError) as error:
            self._decisions.life("PeerMessageRefused", host=host, reason=repr(error))
        self._send()

    def _send(self) -> None:
        if self.link is None:
            return
        for send in self._core.take_sends():
            self.link.send(send.host, send.message)

    def _make_reader(
        self,
        kind: KindFormat[Record],
        watch: ObjectWatch[Record],
        turn: ReadingTurn,
        take: Callable[[tuple[ObjectChange[Record], ...], float], None],
    ) -> StoreReader[Record]:
        reader = StoreReader(watch, kind, self._connect(), turn)
        dependency = f"store {kind.label}"
        reader.on_failure = functools.partial(self._decisions.dependency_lost, dependency)
        reader.on_unreadable = functools.partial(self._decisions.object_unreadable, kind.label)
        reader.on_recovery = functools.partial(self._decisions.dependency_regained, dependency)

        def take_answer(changes: tuple[ObjectChange[Record], ...]) -> None:
            take(changes, _now())
            self._send()

        reader.on_answer = take_answer
        return reader

    def _connect(self) -> HttpConnection:
        settings = self._settings
        connection = HttpConnection(*settings.store.pair, local_host=settings.host)
        self._connections.append(connection)
        return connection


def _now() -> float:
    return asyncio.get_running_loop().time()
