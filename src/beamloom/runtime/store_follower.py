"""Does the I/O by which a token node's core follows the store: calls, timers, peer datagrams.

A node joins its peers once it has the fleet's secret. The modules for that are imported only then,
since a node can serve before. If the store does not answer a starting node, the seeds provide the
secret, and peers then provide everything else.
"""

from __future__ import annotations

import asyncio
import functools
import random
from _blake2 import blake2b
from collections import Counter
from collections.abc import Callable
from typing import TYPE_CHECKING, Any, TypeVar

from beamloom.model.store_revision import era_of
from beamloom.node.token_core import TokenCore
from beamloom.platform import store_objects
from beamloom.replication.object_watch import ObjectWatch
from beamloom.replication.store_call_schedule import StoreCallSchedule
from beamloom.replication.store_view import ObjectChange
from beamloom.runtime.connection_limits import ConnectionKind
from beamloom.runtime.decision_log import DecisionLog
from beamloom.runtime.fleet_secret import FleetSecret
from beamloom.runtime.gradual_import import import_gradually
from beamloom.runtime.http_client import CallFailure, HttpConnection
from beamloom.runtime.store_reader import KindFormat, StoreReader
from beamloom.settings.mechanisms import ALL_MECHANISMS, Mechanisms
from beamloom.settings.token_node import TokenNodeSettings

if TYPE_CHECKING:
    from beamloom.protocol.messages import Message
    from beamloom.runtime.peer_link import PeerLink

Record = TypeVar("Record")

JOIN_PEERS_AFTER_SECONDS = 0.3
"""Leaves a node that has just become ready time for the packets in its socket's buffer."""
PEER_KEY_PERSON = b"beamloom-peers"


def _kind_format(
    label: str, kind: str, translate: store_objects.Translate[Record]
) -> KindFormat[Record]:
    """Return the paths and decoders for a kind of object."""
    return KindFormat(
        label,
        functools.partial(store_objects.list_path, kind),
        functools.partial(store_objects.watch_path, kind),
        functools.partial(store_objects.read_page, translate=translate),
        functools.partial(store_objects.read_changes, translate=translate),
        store_objects.read_era,
    )


_BACKENDS = _kind_format("backends", store_objects.BACKENDS_KIND, store_objects.translate_backend)
_CONFIGURATION = _kind_format(
    "configuration", store_objects.CONFIGURATION_KIND, store_objects.translate_configuration
)
_EVACUATIONS = _kind_format(
    "evacuations", store_objects.EVACUATIONS_KIND, store_objects.translate_evacuation
)


class StoreFollower:
    """Reads the store for a core, and exchanges the core's messages with other nodes.

    `on_message` is called after each message that the core has handled.
    """

    def __init__(
        self,
        settings: TokenNodeSettings,
        core: TokenCore,
        decisions: DecisionLog,
        rng: random.Random,
        mechanisms: Mechanisms = ALL_MECHANISMS,
    ) -> None:
        self._mechanisms = mechanisms
        self.link: PeerLink | None = None
        self.on_message: Callable[[], None] = lambda: None
        self._settings = settings
        self._core = core
        self._decisions = decisions
        self._rng = rng
        self._connections: list[HttpConnection] = []
        self.silent_connections: Counter[str] = Counter()
        self._has_peers = False
        self._lost_peers = False
        self.secret = FleetSecret(
            settings,
            core.role,
            rng,
            self._connect(ConnectionKind.SECRET),
            self._open_link,
            decisions=decisions,
            requests_from_peers=mechanisms.key_from_peers,
        )
        self.secret.on_change = self._apply_secrets
        self.readers: list[StoreReader[Any]] = [
            self._make_reader(
                _BACKENDS, core.backend_watch, core.backend_schedule, core.apply_backends
            ),
            self._make_reader(
                _CONFIGURATION,
                core.configuration_watch,
                core.configuration_schedule,
                core.apply_configuration,
            ),
        ]
        evacuations = core.evacuations
        if evacuations is not None:
            self.readers.append(
                self._make_reader(
                    _EVACUATIONS, evacuations.watch, evacuations.schedule, core.apply_evacuations
                )
            )

    def use_settings(self, settings: TokenNodeSettings) -> None:
        """Apply new settings: the address of the store, and the seeds."""
        if settings.store != self._settings.store:
            for connection in self._connections:
                connection.use(*settings.store.pair)
        self._settings = self.secret.settings = settings
        if self._core.exchange is not None:
            self._core.exchange.peers.set_seeds(settings.seeds)

    async def run(self) -> None:
        """Follow the store until cancelled."""
        async with asyncio.TaskGroup() as group:
            for reader in self.readers:
                group.create_task(reader.run())
            group.create_task(self._follow_secret())

    def advance(self, now: float) -> None:
        """Run whatever is due; to be called a few times a second, after the core's `advance`."""
        for reader in self.readers:
            reader.advance(now)
        self._check_era()
        self.send()
        self._log_peer_changes()

    def _check_era(self) -> None:
        """Pass on the newest era of the views: a store in a new era may have lost the secret.

        The views may come from the store or from peers. Without a complete view there is no era.
        """
        views = (reader.watch.view for reader in self.readers)
        revisions = [view.revision for view in views if view.revision is not None]
        if revisions:
            self.secret.record_era(era_of(max(revisions)))

    def _log_peer_changes(self) -> None:
        """Log when the last peer is lost, and when there are peers again."""
        if self._core.exchange is None:
            return
        has_peers = len(self._core.exchange.peers) > 0
        if has_peers == self._has_peers:
            return
        if has_peers and self._lost_peers:
            self._decisions.dependency_regained("peers", 1)
        elif not has_peers:
            self._lost_peers = True
            self._decisions.dependency_lost("peers", "no message from any peer for too long", 1)
        self._has_peers = has_peers

    def close(self) -> None:
        """Close the socket for peers."""
        if self.link is not None:
            self.link.close()
            self.link = None

    async def _follow_secret(self) -> None:
        """Get the fleet's secret, join the peers, then keep the secret in the store."""
        is_from_store = await self.secret.fetch()
        self._core.set_secrets(*self.secret.known)
        if is_from_store:
            await asyncio.sleep(JOIN_PEERS_AFTER_SECONDS)
        await import_gradually()
        self._join_peers()
        await self.secret.keep()

    def _apply_secrets(self) -> None:
        """Use the current secrets for tokens, peer messages and requests for the secret."""
        self._core.set_secrets(*self.secret.known)
        if self.link is not None:
            self.link.set_keys(tuple(map(_peer_key, self.secret.known)))
        self.secret.start_answering()

    def _open_link(self) -> PeerLink | None:
        """Return the socket for peers and bind it if necessary; None if that fails."""
        if self.link is not None:
            return self.link
        from beamloom.runtime.peer_link import PeerLink

        settings = self._settings
        sender = self._core.role.reader_id
        try:
            self.link = PeerLink(
                settings.host,
                settings.peer_port,
                sender,
                self._handle_message,
                self._handle_unsigned,
            )
        except OSError as error:
            self._decisions.dependency_lost("peers", str(error), 1)
        return self.link

    def _join_peers(self) -> None:
        if self._open_link() is not None:
            self._core.join_peers(self._settings.host, self._settings.seeds)
        self._apply_secrets()

    def _handle_message(self, host: str, message: Message) -> None:
        self.secret.record_member(host, _now())
        try:
            self._core.handle_message(host, message, _now())
        except (TypeError, ValueError) as error:
            self._decisions.lifecycle("PeerMessageRefused", host=host, reason=repr(error))
        self.on_message()
        self.send()

    def _handle_unsigned(self, host: str, message: Message) -> None:
        self.secret.handle_unsigned(host, message, _now())

    def send(self) -> None:
        """Send the core's pending messages to other nodes."""
        if self.link is None:
            return
        for send in self._core.take_sends():
            self.link.send(send.host, send.message)

    def _make_reader(
        self,
        kind: KindFormat[Record],
        watch: ObjectWatch[Record],
        schedule: StoreCallSchedule,
        apply_changes: Callable[[tuple[ObjectChange[Record], ...], float, float], None],
    ) -> StoreReader[Record]:
        connection = self._connect(ConnectionKind(kind.label))
        reader = StoreReader(watch, kind, connection, schedule)
        dependency = f"store {kind.label}"
        reader.on_failure = functools.partial(self._decisions.dependency_lost, dependency)
        reader.on_unreadable = functools.partial(self._decisions.object_unreadable, kind.label)
        reader.on_era = functools.partial(self._decisions.store_era, kind.label)
        reader.on_older_list = functools.partial(self._decisions.older_list, kind.label)
        reader.on_recovery = functools.partial(self._decisions.dependency_regained, dependency)

        def apply_answer(changes: tuple[ObjectChange[Record], ...], given_at: float) -> None:
            apply_changes(changes, _now(), given_at)
            self.send()

        reader.on_answer = apply_answer
        return reader

    def _connect(self, kind: ConnectionKind) -> HttpConnection:
        settings = self._settings
        connection = HttpConnection(
            *settings.store.pair,
            local_host=settings.host,
            detects_silence=self._mechanisms.silence_probes,
        )
        connection.on_silence = functools.partial(self._record_silence, kind)
        self._connections.append(connection)
        return connection

    def _record_silence(self, kind: ConnectionKind, failure: CallFailure) -> None:
        """Count a call that failed on a possibly silent connection.

        A missed deadline is not logged: the store may just be slow.
        """
        self.silent_connections[f"{kind.value}_{failure.value}"] += 1
        if failure is not CallFailure.DEADLINE:
            self._decisions.connection_silent(kind.value, failure.value)


def _peer_key(secret: bytes) -> bytes:
    """Derive the key that signs peer messages from a secret of the fleet."""
    return blake2b(key=secret, person=PEER_KEY_PERSON).digest()


def _now() -> float:
    return asyncio.get_running_loop().time()
