"""Partition transfers: requests, handovers, and replicas pushed to the new home after a crash."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass

from beamloom.model.machines import NodeId
from beamloom.protocol.commands import Command, SendMessage
from beamloom.protocol.flow_messages import (
    OwnershipStatus,
    PartitionMark,
    ReplicaAcknowledged,
    ReplicaRecords,
    SynchronizationBatch,
    TransferAcknowledged,
    TransferAnswer,
    TransferRecords,
    TransferRequest,
    unpack_records,
)
from beamloom.protocol.partition_sets import pack_partitions, split_partitions, unpack_partitions
from beamloom.routing.hashing import PARTITION_COUNT, partition_of
from beamloom.routing.home import Home
from beamloom.routing.ownership import Acquired, Acquisition, Ownership
from beamloom.routing.replica_sender import HOLDERS_PER_PARTITION, ReplicaSender
from beamloom.routing.replicas import HeldPartition, ReplicaStore
from beamloom.routing.selection import PlacementReason
from beamloom.routing.streams import PartitionMarkEntry, StreamSet, parse_partition_marks

MAXIMUM_BATCHES_IN_FLIGHT = 4
PLAN_INTERVAL_SECONDS = 0.5
BASE_INTERVAL_SECONDS = 5.0
SWEEP_INTERVAL_SECONDS = 10.0
BASES_PER_PASS = 64
LEAVE_GRACE_SECONDS = 4.0
NO_OWNER = NodeId("")


@dataclass(frozen=True, slots=True)
class _FrozenPartition:
    """Base and exceptions of a frozen partition, to resume it if the handover fails."""

    base: int
    records: dict[int, int]


class Transfers:
    """Moves partitions between nodes; calls `on_acquired` for each one that this node acquires."""

    def __init__(
        self,
        ownership: Ownership,
        home: Home,
        replicas: ReplicaStore,
        sender: ReplicaSender,
        on_acquired: Callable[[Acquired, float], None],
    ) -> None:
        self.streams = StreamSet(TransferRecords, MAXIMUM_BATCHES_IN_FLIGHT, self._freeze)
        self._pushed_by: dict[int, set[NodeId]] = {}
        self._expected_pushers: dict[int, frozenset[NodeId]] = {}
        self._ownership = ownership
        self._home = home
        self._replicas = replicas
        self._sender = sender
        self._on_acquired = on_acquired
        self._planned_handovers: dict[int, NodeId] = {}
        self._frozen_state: dict[int, _FrozenPartition] = {}
        self._last_batch_numbers: dict[tuple[type[SynchronizationBatch], NodeId], int] = {}
        self._now = 0.0
        self._plan_due = 0.0
        self._base_due = 0.0
        self._sweep_due = 0.0
        self._base_cursor = 0
        self._idle_since: float | None = None

    # -- members ---------------------------------------------------------------------------------

    def members_changed(self, acquired: Iterable[Acquired], now: float) -> None:
        """Acquire the given partitions, and push the replicas of dead homes to the new homes."""
        self._now = now
        for peer in {*self._planned_handovers.values(), *self._ownership.frozen.values()}:
            if not self._ownership.is_reachable(peer):
                self.streams.forget(peer)
        for item in acquired:
            self.acquire(item, now)
        self._push_replicas()
        self._sender.members_changed()
        self._plan_due = now

    def acquire(self, item: Acquired, now: float, base: int | None = None) -> None:
        """Become the owner of a partition and restore its flows from frozen state or replicas."""
        partition = item.partition
        held = self._replicas.take(partition)
        frozen = self._frozen_state.pop(partition, None)
        if held is not None and item.acquisition is Acquisition.FRESH:
            item = Acquired(partition, Acquisition.CRASH, held.home)
        revision = self._base_revision(base, frozen, held)
        self._ownership.own(item, revision, now)
        self._planned_handovers.pop(partition, None)
        self._expect_pushes(item, held is not None and held.complete)
        handed_over = item.acquisition is Acquisition.TRANSFER
        reason = PlacementReason.TRANSFERRED if handed_over else PlacementReason.REPLICA
        for source in (frozen, held):
            if source is not None:
                self._home.add_records(source.records, reason, now)
        self._sender.synchronize(partition, resend_all=True)
        self._on_acquired(item, now)

    def _base_revision(
        self, received: int | None, frozen: _FrozenPartition | None, held: HeldPartition | None
    ) -> int:
        """Return the base that was received, frozen or replicated, or the current revision."""
        if received is not None:
            return received
        if frozen is not None:
            return frozen.base
        if held is not None and held.base is not None:
            return held.base
        return self._home.routes.revision

    def _is_needed(self, partition: int, held: HeldPartition) -> bool:
        """Whether this node is a partition's home or a replica holder, or `held.home` is down."""
        ownership = self._ownership
        placed = ownership.map.holders(partition)
        nodes = (placed.home, placed.first_replica, placed.second_replica)
        return ownership.node_id in nodes or not ownership.is_reachable(held.home)

    def _expect_pushes(self, item: Acquired, complete: bool) -> None:
        """Record which nodes may push replicas of a partition; `complete` if this one had all."""
        ownership = self._ownership
        placed = ownership.previous_map.holders(item.partition)
        nodes = (placed.home, placed.first_replica, placed.second_replica)
        others = [node for node in nodes if node is not None and node != item.predecessor]
        self._expected_pushers[item.partition] = frozenset(others[:HOLDERS_PER_PARTITION])
        self._pushed_by[item.partition] = {ownership.node_id} if complete else set()

    def has_all_bindings(self, partition: int) -> bool:
        """Whether every node that may hold bindings of an owned partition has pushed them."""
        if self._ownership.owned[partition].acquisition is not Acquisition.CRASH:
            return True
        expected = self._expected_pushers.get(partition, frozenset())
        return bool(expected) and expected <= self._pushed_by[partition]

    def _push_replicas(self) -> None:
        """Send the replicas held for dead homes to the new homes."""
        for partition, held in self._replicas.items():
            home = self._ownership.homes[partition]
            if self._ownership.is_reachable(held.home) or home is None:
                continue
            if home == self._ownership.node_id or not self._ownership.is_reachable(home):
                continue
            held.home = home
            stream = self.streams.stream(home)
            for key, number in held.records.items():
                stream.records.setdefault(key, number)
            if held.complete and held.base is not None:
                note = PartitionMarkEntry(PartitionMark.PUSHED, held.base)
                stream.closings.setdefault(partition, note)
            held.complete = False

    # -- the owner's side ------------------------------------------------------------------------

    def exception_added(self, key: int, backend_number: int, now: float) -> None:
        """Queue a new exception for the successor if a handover is planned."""
        successor = self._planned_handovers.get(partition_of(key))
        if successor is not None:
            self.streams.put(successor, key, backend_number)

    def exception_removed(self, key: int, replicated: bool) -> None:
        """Queue the end of an exception for the successor if a handover is planned."""
        self.exception_added(key, 0, self._now)

    def _plan_handovers(self, now: float) -> None:
        moves = self._ownership.handovers_due(now)
        for partition in [
            item for item, peer in self._planned_handovers.items() if moves.get(item) != peer
        ]:
            self._cancel_handover(partition)
        new = {item: peer for item, peer in moves.items() if item not in self._planned_handovers}
        for partition, dropped in self._home.advance_bases(new, now).items():
            self._sender.base_advanced(partition, dropped)
        for partition, peer in new.items():
            self._planned_handovers[partition] = peer
            stream = self.streams.stream(peer)
            stream.records.update(self._home.records_of(partition))
            base = self._ownership.owned[partition].base
            stream.closings[partition] = PartitionMarkEntry(PartitionMark.HANDOVER, base)

    def _cancel_handover(self, partition: int) -> None:
        peer = self._planned_handovers.pop(partition)
        self.streams.stream(peer).closings.pop(partition, None)

    def _freeze(self, peer: NodeId, closed: dict[int, PartitionMarkEntry]) -> None:
        """Freeze the partitions whose HANDOVER mark is in the batch about to be sent."""
        handed = [item for item, note in closed.items() if note.mark is PartitionMark.HANDOVER]
        for partition in handed:
            base = self._ownership.owned[partition].base
            self._frozen_state[partition] = _FrozenPartition(base, self._home.records_of(partition))
            self._planned_handovers.pop(partition, None)
            self._ownership.freeze(partition, peer)
        if handed:
            self._home.demote(handed, self._now)

    def _handle_acknowledgement(
        self, peer: NodeId, message: TransferAcknowledged, now: float
    ) -> None:
        closed = self.streams.acknowledge(peer, message.number)
        for partition, note in closed.items():
            if note.mark is not PartitionMark.HANDOVER:
                continue
            if message.accepted and self._ownership.release(partition, peer, now):
                self._frozen_state.pop(partition, None)
            elif not message.accepted and self._ownership.frozen.get(partition) == peer:
                self.acquire(Acquired(partition, Acquisition.RESUMED, peer), now)
        if not message.accepted:
            self._plan_due = now + PLAN_INTERVAL_SECONDS

    # -- the receiver's side ---------------------------------------------------------------------

    def handle_batch(
        self, sender: NodeId, message: SynchronizationBatch, now: float
    ) -> list[Command]:
        """Apply a batch unless it was applied before; raises MalformedDatagramError.

        Every valid batch is acknowledged; a leaving node refuses transfers.
        """
        self._now = now
        openings, closings = (
            parse_partition_marks(message.openings),
            parse_partition_marks(message.closings),
        )
        records = unpack_records(message.packed_records)
        refused = self._ownership.leaving and isinstance(message, TransferRecords)
        stream = (type(message), sender)
        if isinstance(message, TransferRecords):
            self._ownership.confirm_owner(sender)
        if not refused and message.number > self._last_batch_numbers.get(stream, 0):
            self._last_batch_numbers[stream] = message.number
            for partition, note in openings:
                self._apply_note(sender, partition, note, now)
            for record in records:
                self._apply_record(sender, record.key, record.backend_number, message, now)
            for partition, note in closings:
                self._apply_note(sender, partition, note, now)
        if isinstance(message, ReplicaRecords):
            return [SendMessage(sender, ReplicaAcknowledged(message.number))]
        return [SendMessage(sender, TransferAcknowledged(message.number, not refused))]

    def _apply_record(
        self, sender: NodeId, key: int, number: int, message: SynchronizationBatch, now: float
    ) -> None:
        partition = partition_of(key)
        if partition not in self._ownership.owned:
            self._replicas.put(sender, partition, key, number)
        elif number and isinstance(message, TransferRecords):
            self._home.add_records({key: number}, PlacementReason.TRANSFERRED, now)

    def _apply_note(
        self, sender: NodeId, partition: int, note: PartitionMarkEntry, now: float
    ) -> None:
        """Apply the mark of a partition.

        A HANDOVER of a partition that this node owns follows a false suspicion of this node: the
        sender had acquired the partition and consumed its replicas, so all holders are sent them
        again.
        """
        owned = partition in self._ownership.owned
        if note.mark is PartitionMark.HANDOVER:
            if not owned:
                item = Acquired(partition, Acquisition.TRANSFER, sender)
                self.acquire(item, now, note.base)
            else:
                self._sender.synchronize(partition, resend_all=True)
        elif owned:
            if note.mark is PartitionMark.PUSHED:
                self._pushed_by.setdefault(partition, set()).add(sender)
        else:
            self._replicas.apply_note(sender, partition, note)

    # -- requests --------------------------------------------------------------------------------

    def _answer_request(
        self, sender: NodeId, message: TransferRequest, now: float
    ) -> list[Command]:
        groups: dict[tuple[OwnershipStatus, NodeId], list[int]] = {}
        for partition in unpack_partitions(message.packed_partitions, PARTITION_COUNT):
            groups.setdefault(self._ownership_status(sender, partition, now), []).append(partition)
        return [
            SendMessage(sender, TransferAnswer(int(status), pack_partitions(partitions), owner))
            for (status, owner), partitions in groups.items()
        ]

    def _ownership_status(
        self, asking: NodeId, partition: int, now: float
    ) -> tuple[OwnershipStatus, NodeId]:
        ownership = self._ownership
        if partition in ownership.owned or partition in ownership.frozen:
            return OwnershipStatus.OWNER, NO_OWNER
        for candidate in (
            ownership.forward_targets[partition],
            ownership.previous_homes.get(partition),
        ):
            if candidate in {asking, ownership.node_id} or not ownership.is_reachable(candidate):
                continue
            return OwnershipStatus.ELSEWHERE, candidate or NO_OWNER
        if ownership.is_newcomer(now):
            return OwnershipStatus.NEWCOMER, NO_OWNER
        return OwnershipStatus.NOBODY, NO_OWNER

    def _handle_answer(self, sender: NodeId, message: TransferAnswer, now: float) -> None:
        """Keep awaiting a confirmed owner, or await the named node or the next candidate.

        When no candidate is left, this node acquires the partition. A named owner that this node
        does not know has just joined: the node that named it relays to it, and is asked again.
        """
        for partition in unpack_partitions(message.packed_partitions, PARTITION_COUNT):
            awaited = self._ownership.awaited.get(partition)
            if awaited is None or awaited.owner != sender:
                continue
            if message.status == OwnershipStatus.OWNER:
                awaited.confirmed = True
                awaited.confirmed_at = now
                continue
            if message.owner and message.owner not in self._ownership.members:
                awaited.only_newcomers_answered = False
                awaited.confirmed_at = now
                continue
            awaited.disclaimed.add(sender)
            awaited.only_newcomers_answered &= message.status == OwnershipStatus.NEWCOMER
            awaited.member_named |= bool(message.owner)
            known = {*awaited.disclaimed, self._ownership.node_id}
            if message.owner not in known and self._ownership.is_reachable(message.owner):
                self._ownership.await_owner(partition, message.owner, now)
            elif not self._ownership.await_next_candidate(partition, now):
                acquisition = (
                    Acquisition.FRESH if awaited.only_newcomers_answered else Acquisition.CRASH
                )
                self.acquire(Acquired(partition, acquisition, None), now)

    # -- messages and timers ---------------------------------------------------------------------

    def handle(self, sender: NodeId, message: object, now: float) -> list[Command]:
        """Handle one message about partitions; other messages are ignored."""
        self._now = now
        match message:
            case SynchronizationBatch():
                return self.handle_batch(sender, message, now)
            case ReplicaAcknowledged(number):
                return self._sender.acknowledged(sender, number, now)
            case TransferAcknowledged():
                self._handle_acknowledgement(sender, message, now)
                return self.streams.flush(now)
            case TransferRequest():
                return self._answer_request(sender, message, now)
            case TransferAnswer():
                self._handle_answer(sender, message, now)
        return []

    def poll(self, now: float) -> list[Command]:
        """Run the periodic tasks that are due, and send due batches and requests."""
        self._now = now
        if self._ownership.join_wait_over(now):
            self.members_changed(self._ownership.reassign(now), now)
        for item in self._ownership.confirmation_timeouts(now):
            self.acquire(item, now)
        if self._plan_due <= now:
            self._plan_due = now + PLAN_INTERVAL_SECONDS
            self._plan_handovers(now)
            self._ownership.expire(now)
        if self._base_due <= now:
            self._base_due = now + BASE_INTERVAL_SECONDS
            self._advance_some_bases(now)
        if self._sweep_due <= now:
            self._sweep_due = now + SWEEP_INTERVAL_SECONDS
            self._replicas.sweep(self._is_needed)
        commands = self.streams.flush(now)
        for owner, partitions in self._ownership.requests_due(now).items():
            for part in split_partitions(partitions):
                commands.append(SendMessage(owner, TransferRequest(pack_partitions(part))))
        return commands

    def _advance_some_bases(self, now: float) -> None:
        owned = [item for item in self._ownership.owned if item not in self._planned_handovers]
        self._base_cursor %= max(len(owned), 1)
        some = owned[self._base_cursor : self._base_cursor + BASES_PER_PASS]
        self._base_cursor += BASES_PER_PASS
        for partition, dropped in self._home.advance_bases(some, now).items():
            self._sender.base_advanced(partition, dropped)

    def handover_complete(self, now: float) -> bool:
        """Whether a leaving node owns nothing more and has relayed for LEAVE_GRACE_SECONDS since.

        Without any node to hand over to, there is nothing to wait for.
        """
        ownership = self._ownership
        successors = any(home is not None for home in ownership.homes)
        busy = ownership.owned or ownership.frozen or not self.streams.idle
        if busy and successors:
            self._idle_since = None
            return False
        if not successors:
            return True
        self._idle_since = now if self._idle_since is None else self._idle_since
        return now - self._idle_since >= LEAVE_GRACE_SECONDS
