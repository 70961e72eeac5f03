"""The node's replica of the configuration: gossip, anti-entropy and snapshots.

Push gossip with anti-entropy follows Demers et al., "Epidemic Algorithms for Replicated Database
Maintenance" (PODC 1987). Every change names the revision that it follows, so changes are applied in
the store's order whichever peer sends them, and the applied revision never decreases.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable, Mapping, Sequence
from dataclasses import dataclass, replace
from typing import Any

from beamloom.model.machines import Member, NodeId
from beamloom.protocol.commands import Command, SendMessage
from beamloom.protocol.configuration_messages import (
    ChangesPushed,
    ChangesRequested,
    ChangesUnavailable,
    DigestOffered,
    ReplicatedChange,
    SnapshotOffered,
    SnapshotPartSent,
    SnapshotPartsRequested,
    SnapshotRequested,
    change_from_list,
)
from beamloom.protocol.events import StoredObject
from beamloom.protocol.messages import Message
from beamloom.replication.applied_state import AppliedState
from beamloom.replication.backend_history import BackendHistory
from beamloom.replication.change_pull import ChangePull
from beamloom.replication.change_push import ChangePush
from beamloom.replication.configuration_state import is_replicated
from beamloom.replication.join_progress import JOIN_PEERS, JoinProgress
from beamloom.replication.peer_selection import PeerSelection
from beamloom.replication.peer_service import PeerService
from beamloom.replication.reader_directory import ReaderDirectory
from beamloom.replication.snapshot_fetch import SnapshotFetch

ANTI_ENTROPY_INTERVAL_SECONDS = 1.0
PENDING_LIMIT = 256
LISTING_DELAY_SECONDS = 2.0
"""How long peers have to supply the changes up to a listing before it is applied."""
SNAPSHOT_FETCH_TIMEOUT_SECONDS = 300.0
"""How much longer an empty node may postpone a listing to get a snapshot from ready peers."""
MAXIMUM_CORRUPT_SNAPSHOTS = 2

MessageHandler = Callable[[NodeId, Any, float], list[Command]]


@dataclass(frozen=True, slots=True)
class ReplicaSnapshot:
    """Counters and state of a replica."""

    applied_revision: int
    ready: bool
    object_count: int
    log_length: int
    pending_changes: int
    applied_changes: int
    duplicate_changes: int
    malformed_changes: int
    pulls: int
    snapshots_loaded: int
    corrupt_snapshots: int
    readers: tuple[NodeId, ...]


@dataclass(slots=True)
class _Counters:
    duplicate: int = 0
    malformed: int = 0
    corrupt: int = 0


@dataclass(frozen=True, slots=True)
class _Listing:
    """A listing held back because peers may hold the changes that led to it."""

    revision: int
    objects: tuple[StoredObject, ...]
    apply_at: float
    apply_by: float


class ConfigurationReplica:
    """Holds all replicated objects and keeps them synchronized with the other nodes."""

    def __init__(self, node_id: NodeId, rng: random.Random, now: float) -> None:
        self.directory = ReaderDirectory()
        self._rng = rng
        self._peers = PeerSelection(node_id, rng)
        self._applied = AppliedState()
        self._service = PeerService(self._applied)
        self._join = JoinProgress()
        self._push = ChangePush(self._peers, self._service, now)
        self._pull = ChangePull(self._peers)
        self._listing: _Listing | None = None
        self._pending: dict[int, ReplicatedChange] = {}
        self._digest_at = now + rng.random() * ANTI_ENTROPY_INTERVAL_SECONDS
        self._counters = _Counters()
        self._handlers: dict[type[Message], MessageHandler] = {
            ChangesPushed: self._changes_pushed,
            DigestOffered: self._digest_offered,
            ChangesRequested: self._changes_requested,
            ChangesUnavailable: self._changes_unavailable,
            SnapshotRequested: self._snapshot_requested,
            SnapshotOffered: self._snapshot_offered,
            SnapshotPartsRequested: self._service.parts_requested,
            SnapshotPartSent: self._snapshot_part,
        }

    @property
    def applied_revision(self) -> int:
        """The store revision that this node has applied; it never decreases."""
        return self._applied.revision

    @property
    def objects(self) -> Mapping[str, StoredObject]:
        """Every replicated object by key, as of `applied_revision`."""
        return self._applied.state.objects

    @property
    def backend_histories(self) -> Mapping[str, BackendHistory]:
        """The recent backend sets of each service `T/S`, oldest first."""
        return self._applied.state.backend_histories

    @property
    def ready(self) -> bool:
        """Whether this node has reached the highest revision of its peers, or listed the store."""
        return self._join.ready

    def take_applied_changes(self) -> list[StoredObject]:
        """Return the objects applied since the last call, in order; deleted ones have no value."""
        return self._applied.take_unseen()

    @property
    def awaits_listing(self) -> bool:
        """Whether a listing is pending, or nothing has been applied yet."""
        return self._listing is not None or self.applied_revision == 0

    def update_members(self, members: Sequence[Member], now: float) -> None:
        """Update the peers from the member list."""
        self._peers.update(members)

    def accept_change(self, stored: StoredObject, now: float) -> list[Command]:
        """Apply one change from a watch that began at or below `applied_revision`."""
        if not is_replicated(stored.key) or stored.revision <= self.applied_revision:
            return []
        step = ReplicatedChange(self.applied_revision, stored.revision, (stored,))
        self._push.include_every_zone()
        self._apply(step)
        self._apply_pending()
        return self.poll(now)

    def accept_listing(
        self, revision: int, objects: Iterable[StoredObject], now: float, lease_number: int = 0
    ) -> list[Command]:
        """Apply a listing of the store, unless peers supply the changes up to it in time.

        A change made from a listing applies only to nodes at exactly this node's revision, so
        changes or a snapshot from peers are preferred. Readers with higher lease numbers wait
        longer, so that usually a single listing is spread.
        """
        if revision <= self.applied_revision:
            self._join.store_listed()
            return []
        no_peers_known = not self._peers.all
        fleet_may_be_ready = self.applied_revision > 0 or self._peers.any_alive or no_peers_known
        delay = LISTING_DELAY_SECONDS * (lease_number + fleet_may_be_ready)
        self._listing = _Listing(
            revision, tuple(objects), now + delay, now + delay + SNAPSHOT_FETCH_TIMEOUT_SECONDS
        )
        request = ChangesRequested(self.applied_revision)
        peers = self._peers.sample(JOIN_PEERS) if self.applied_revision else []
        return [*(SendMessage(peer, request) for peer in peers), *self.poll(now)]

    def handle_message(self, sender: NodeId, message: Message, now: float) -> list[Command]:
        """Handle one message of this component; others are ignored."""
        handler = self._handlers.get(type(message))
        return [] if handler is None else handler(sender, message, now)

    def poll(self, now: float) -> list[Command]:
        """Run whatever is due."""
        commands = self._service.poll(now)
        if self._listing is not None and now >= self._listing.apply_at:
            self._apply_due_listing(self._listing, now)
        commands += self._push.poll(now)
        if now >= self._digest_at:
            commands += self._offer_digests(now)
        commands += self._pull.poll(self.applied_revision, now)
        if self._service.fetch is not None:
            commands += self._service.fetch.poll(self._peers.all, now)
            self._service.fetch = None if self._service.fetch.abandoned else self._service.fetch
        return commands

    def next_timer(self) -> float | None:
        """Return when `poll` is due next."""
        timers = [
            self._digest_at,
            self._service.next_timer(),
            self._push.next_timer(),
            self._pull.next_timer(),
        ]
        if self._service.fetch is not None:
            timers.append(self._service.fetch.next_timer())
        if self._listing is not None:
            timers.append(self._listing.apply_at)
        return min(timer for timer in timers if timer is not None)

    def snapshot(self) -> ReplicaSnapshot:
        """Return counters and state for status and explanations."""
        return ReplicaSnapshot(
            applied_revision=self.applied_revision,
            ready=self.ready,
            object_count=len(self.objects),
            log_length=len(self._applied.log),
            pending_changes=len(self._pending),
            applied_changes=self._applied.applied_steps,
            duplicate_changes=self._counters.duplicate,
            malformed_changes=self._counters.malformed,
            pulls=self._pull.count,
            snapshots_loaded=self._applied.loaded_snapshots,
            corrupt_snapshots=self._counters.corrupt,
            readers=self.directory.holders,
        )

    def _apply(self, step: ReplicatedChange) -> None:
        self._applied.apply(step)
        self._push.add(step)

    def _apply_pending(self) -> None:
        for revision in sorted(self._pending):
            step = self._pending[revision]
            if step.follows(self.applied_revision):
                self._apply(step)
            if revision <= self.applied_revision:
                del self._pending[revision]
        self._clear_satisfied()

    def _clear_satisfied(self) -> None:
        """End a pull, a fetch or a listing whose revision has been reached."""
        applied = self.applied_revision
        self._pull.revision_applied(applied)
        if self._listing is not None and applied >= self._listing.revision:
            self._listing = None
            self._join.store_listed()
        name = self._service.fetch.name if self._service.fetch is not None else None
        if name is not None and applied >= name[0]:
            self._service.fetch = None
        self._join.revision_applied(applied)

    def _apply_due_listing(self, listing: _Listing, now: float) -> None:
        """Apply a due listing, or postpone it while an empty node can get a snapshot instead."""
        fetching = self.applied_revision == 0 and self._join.target_revision > 0
        snapshots_usable = self._counters.corrupt < MAXIMUM_CORRUPT_SNAPSHOTS
        if fetching and snapshots_usable and now < listing.apply_by:
            self._listing = replace(listing, apply_at=now + LISTING_DELAY_SECONDS)
            return
        self._listing = None
        self._join.store_listed()
        step = self._applied.state.difference(listing.revision, listing.objects)
        useful = bool(step.objects) or self.applied_revision == 0
        if useful and listing.revision > self.applied_revision:
            self._push.include_every_zone()
            self._apply(step)
        self._apply_pending()

    def _changes_pushed(self, sender: NodeId, message: ChangesPushed, now: float) -> list[Command]:
        for parts in message.changes:
            try:
                self._accept_step(change_from_list(parts))
            except ValueError:
                self._counters.malformed += 1
        self._apply_pending()
        commands = self._pull_from(sender, message.applied_revision, now)
        return commands + self.poll(now)

    def _accept_step(self, step: ReplicatedChange) -> None:
        if step.revision <= self.applied_revision:
            self._counters.duplicate += 1
        elif step.follows(self.applied_revision):
            self._apply(step)
        elif len(self._pending) < PENDING_LIMIT:
            self._pending[step.revision] = step

    def _pull_from(self, peer: NodeId, revision: int, now: float) -> list[Command]:
        if revision <= self.applied_revision or self._service.fetch is not None:
            return []
        return self._pull.request(peer, revision, self.applied_revision, now)

    def _changes_requested(
        self, sender: NodeId, message: ChangesRequested, now: float
    ) -> list[Command]:
        return self._service.changes_after(sender, message.after_revision)

    def _changes_unavailable(
        self, sender: NodeId, message: ChangesUnavailable, now: float
    ) -> list[Command]:
        if message.applied_revision <= self.applied_revision or self._service.fetch is not None:
            return []
        self._pull.cancel()
        self._service.fetch = SnapshotFetch(self.applied_revision, self._rng, now)
        return self._service.fetch.request_offers(self._peers.all)

    def _snapshot_requested(
        self, sender: NodeId, message: SnapshotRequested, now: float
    ) -> list[Command]:
        return self._service.snapshot_requested(sender, message)

    def _snapshot_offered(
        self, sender: NodeId, message: SnapshotOffered, now: float
    ) -> list[Command]:
        return (
            [] if self._service.fetch is None else self._service.fetch.offered(sender, message, now)
        )

    def _snapshot_part(
        self, sender: NodeId, message: SnapshotPartSent, now: float
    ) -> list[Command]:
        fetch = self._service.fetch
        if fetch is None:
            return []
        corrupt_before = fetch.corrupt_snapshots
        state, commands = fetch.received(sender, message, now)
        self._counters.corrupt += fetch.corrupt_snapshots - corrupt_before
        if state is None:
            return commands
        self._service.keep_fetched(fetch)
        self._service.fetch = None
        if state.revision > self.applied_revision:
            self._applied.load(state)
        self._apply_pending()
        return commands + self._pull_from(sender, self._join.target_revision, now)

    def _offer_digests(self, now: float) -> list[Command]:
        self._digest_at = now + ANTI_ENTROPY_INTERVAL_SECONDS
        digest = self._digest(wants_answer=not self.ready)
        peers = self._peers.sample(1 if self.ready else JOIN_PEERS)
        return [SendMessage(peer, digest) for peer in peers]

    def _digest(self, wants_answer: bool) -> DigestOffered:
        leases = self.directory.to_lists()
        return DigestOffered(self.applied_revision, self.ready, wants_answer, leases)

    def _digest_offered(self, sender: NodeId, message: DigestOffered, now: float) -> list[Command]:
        leases_differ = self.directory.merge(message.leases)
        commands: list[Command] = []
        if message.ready and not self.ready:
            peer_count = len(self._peers.all)
            self._join.peer_answered(sender, message.applied_revision, peer_count, now)
            self._join.revision_applied(self.applied_revision)
        commands += self._pull_from(sender, message.applied_revision, now)
        if message.ready and message.applied_revision < self.applied_revision:
            commands += self._service.changes_after(sender, message.applied_revision)
        if message.wants_answer or leases_differ:
            commands.append(SendMessage(sender, self._digest(wants_answer=False)))
        return commands
