"""Passing partitions from node to node: requests, hand-over, take-over, pushes after a crash."""

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
from beamloom.routing.replica_sender import HOLDERS, ReplicaSender
from beamloom.routing.replicas import HeldPartition, ReplicaStore
from beamloom.routing.selection import PlacementReason
from beamloom.routing.streams import PartitionNote, StreamSet, read_notes

MAXIMUM_BATCHES_IN_FLIGHT = 4
PLAN_SECONDS = 0.5
BASE_SECONDS = 5.0
SWEEP_SECONDS = 10.0
BASES_AT_ONCE = 64
LEAVE_GRACE_SECONDS = 4.0
NO_OWNER = NodeId("")


@dataclass(frozen=True, slots=True)
class _Frozen:
    """What is needed to resume a partition whose successor died: its base and exceptions."""

    base: int
    records: dict[int, int]


class Transfers:
    """Moves partitions; `acquired` is told of each partition that this node has come to own."""

    def __init__(
        self,
        ownership: Ownership,
        home: Home,
        replicas: ReplicaStore,
        sender: ReplicaSender,
        acquired: Callable[[Acquired, float], None],
    ) -> None:
        self.streams = StreamSet(TransferRecords, MAXIMUM_BATCHES_IN_FLIGHT, self._freeze)
        self._pushed_by: dict[int, set[NodeId]] = {}
        self._expected: dict[int, frozenset[NodeId]] = {}
        self._ownership = ownership
        self._home = home
        self._replicas = replicas
        self._sender = sender
        self._acquired = acquired
        self._plans: dict[int, NodeId] = {}
        self._frozen: dict[int, _Frozen] = {}
        self._taken: dict[tuple[type[SynchronizationBatch], NodeId], int] = {}
        self._now = 0.0
        self._plan_due = 0.0
        self._base_due = 0.0
        self._sweep_due = 0.0
        self._base_cursor = 0
        self._idle_since: float | None = None

    # -- members ---------------------------------------------------------------------------------

    def members_changed(self, acquired: Iterable[Acquired], now: float) -> None:
        """Own what falls to this node, and push the replicas of dead homes to the new ones."""
        self._now = now
        for peer in {*self._plans.values(), *self._ownership.frozen.values()}:
            if not self._ownership.answers(peer):
                self.streams.forget(peer)
        for item in acquired:
            self.acquire(item, now)
        self._push_replicas()
        self._sender.members_changed()
        self._plan_due = now

    def acquire(self, item: Acquired, now: float, base: int | None = None) -> None:
        """Own a partition with all that is known of it."""
        partition = item.partition
        held = self._replicas.take(partition)
        frozen = self._frozen.pop(partition, None)
        if held is not None and item.acquisition is Acquisition.FRESH:
            item = Acquired(partition, Acquisition.CRASH, held.home)
        revision = self._base_revision(base, frozen, held)
        self._ownership.own(item, revision, now)
        self._plans.pop(partition, None)
        self._expect_pushes(item, held is not None and held.complete)
        handed_over = item.acquisition is Acquisition.TRANSFER
        reason = PlacementReason.TRANSFERRED if handed_over else PlacementReason.REPLICA
        for source in (frozen, held):
            if source is not None:
                self._home.take_records(source.records, reason, now)
        self._sender.synchronize(partition, anew=True)
        self._acquired(item, now)

    def _base_revision(
        self, told: int | None, frozen: _Frozen | None, held: HeldPartition | None
    ) -> int:
        """Return the base of a partition: as told, as remembered, as held, or the current one."""
        if told is not None:
            return told
        if frozen is not None:
            return frozen.base
        if held is not None and held.base is not None:
            return held.base
        return self._home.routes.revision

    def _is_needed(self, partition: int, held: HeldPartition) -> bool:
        """Whether this node is among a partition's nodes, or its home is gone."""
        ownership = self._ownership
        placed = ownership.map.holders(partition)
        nodes = (placed.home, placed.first_replica, placed.second_replica)
        return ownership.node_id in nodes or not ownership.answers(held.home)

    def _expect_pushes(self, item: Acquired, complete: bool) -> None:
        """Note which nodes held the replicas of a home that died, and whether this one did."""
        ownership = self._ownership
        placed = ownership.previous_map.holders(item.partition)
        nodes = (placed.home, placed.first_replica, placed.second_replica)
        others = [node for node in nodes if node is not None and node != item.predecessor]
        self._expected[item.partition] = frozenset(others[:HOLDERS])
        self._pushed_by[item.partition] = {ownership.node_id} if complete else set()

    def bindings_known(self, partition: int) -> bool:
        """Whether all that could hold bindings of an owned partition have told of them."""
        if self._ownership.owned[partition].acquisition is not Acquisition.CRASH:
            return True
        expected = self._expected.get(partition, frozenset())
        return bool(expected) and expected <= self._pushed_by[partition]

    def _push_replicas(self) -> None:
        """Send what is held of a dead home to the new one."""
        for partition, held in self._replicas.items():
            home = self._ownership.homes[partition]
            if self._ownership.answers(held.home) or home is None:
                continue
            if home == self._ownership.node_id or not self._ownership.answers(home):
                continue
            held.home = home
            stream = self.streams.stream(home)
            for key, number in held.records.items():
                stream.records.setdefault(key, number)
            if held.complete and held.base is not None:
                note = PartitionNote(PartitionMark.PUSHED, held.base)
                stream.closings.setdefault(partition, note)
            held.complete = False

    # -- the owner's side ------------------------------------------------------------------------

    def exception_noted(self, key: int, backend_number: int, now: float) -> None:
        """Send a new exception along while its partition is being handed over."""
        successor = self._plans.get(partition_of(key))
        if successor is not None:
            self.streams.put(successor, key, backend_number)

    def exception_ended(self, key: int, replicated: bool) -> None:
        """Send the end of an exception along while its partition is being handed over."""
        self.exception_noted(key, 0, self._now)

    def _plan(self, now: float) -> None:
        moves = self._ownership.misplaced(now)
        for partition in [item for item, peer in self._plans.items() if moves.get(item) != peer]:
            self._unplan(partition)
        new = {item: peer for item, peer in moves.items() if item not in self._plans}
        for partition, dropped in self._home.move_bases(new, now).items():
            self._sender.base_moved(partition, dropped)
        for partition, peer in new.items():
            self._plans[partition] = peer
            stream = self.streams.stream(peer)
            stream.records.update(self._home.records_of(partition))
            base = self._ownership.owned[partition].base
            stream.closings[partition] = PartitionNote(PartitionMark.HANDOVER, base)

    def _unplan(self, partition: int) -> None:
        peer = self._plans.pop(partition)
        self.streams.stream(peer).closings.pop(partition, None)

    def _freeze(self, peer: NodeId, closed: dict[int, PartitionNote]) -> None:
        """Stop deciding the partitions whose HANDOVER is in the batch that is about to leave."""
        handed = [item for item, note in closed.items() if note.mark is PartitionMark.HANDOVER]
        for partition in handed:
            base = self._ownership.owned[partition].base
            self._frozen[partition] = _Frozen(base, self._home.records_of(partition))
            self._plans.pop(partition, None)
            self._ownership.freeze(partition, peer)
        if handed:
            self._home.demote(handed, self._now)

    def _acknowledged(self, peer: NodeId, message: TransferAcknowledged, now: float) -> None:
        closed = self.streams.acknowledge(peer, message.number)
        for partition, note in closed.items():
            if note.mark is not PartitionMark.HANDOVER:
                continue
            if message.accepted and self._ownership.release(partition, peer, now):
                self._frozen.pop(partition, None)
            elif not message.accepted and self._ownership.frozen.get(partition) == peer:
                self.acquire(Acquired(partition, Acquisition.RESUMED, peer), now)
        if not message.accepted:
            self._plan_due = now + PLAN_SECONDS

    # -- the receiver's side ---------------------------------------------------------------------

    def take_batch(
        self, sender: NodeId, message: SynchronizationBatch, now: float
    ) -> list[Command]:
        """Take a batch once and acknowledge it; raises MalformedDatagramError."""
        self._now = now
        openings, closings = read_notes(message.openings), read_notes(message.closings)
        records = unpack_records(message.packed_records)
        refused = self._ownership.leaving and isinstance(message, TransferRecords)
        stream = (type(message), sender)
        if isinstance(message, TransferRecords):
            self._ownership.confirm(sender)
        if not refused and message.number > self._taken.get(stream, 0):
            self._taken[stream] = message.number
            for partition, note in openings:
                self._take_note(sender, partition, note, now)
            for record in records:
                self._take_record(sender, record.key, record.backend_number, message, now)
            for partition, note in closings:
                self._take_note(sender, partition, note, now)
        if isinstance(message, ReplicaRecords):
            return [SendMessage(sender, ReplicaAcknowledged(message.number))]
        return [SendMessage(sender, TransferAcknowledged(message.number, not refused))]

    def _take_record(
        self, sender: NodeId, key: int, number: int, message: SynchronizationBatch, now: float
    ) -> None:
        partition = partition_of(key)
        if partition not in self._ownership.owned:
            self._replicas.put(sender, partition, key, number)
        elif number and isinstance(message, TransferRecords):
            self._home.take_records({key: number}, PlacementReason.TRANSFERRED, now)

    def _take_note(self, sender: NodeId, partition: int, note: PartitionNote, now: float) -> None:
        """Take a mark; a HANDOVER of what is owned here ends a false suspicion of this node.

        The other owner used up the replicas that it held, so all holders are sent them again.
        """
        owned = partition in self._ownership.owned
        if note.mark is PartitionMark.HANDOVER:
            if not owned:
                item = Acquired(partition, Acquisition.TRANSFER, sender)
                self.acquire(item, now, note.base)
            else:
                self._sender.synchronize(partition, anew=True)
        elif owned:
            if note.mark is PartitionMark.PUSHED:
                self._pushed_by.setdefault(partition, set()).add(sender)
        else:
            self._replicas.mark(sender, partition, note)

    # -- requests --------------------------------------------------------------------------------

    def _answer_request(
        self, sender: NodeId, message: TransferRequest, now: float
    ) -> list[Command]:
        groups: dict[tuple[OwnershipStatus, NodeId], list[int]] = {}
        for partition in unpack_partitions(message.packed_partitions, PARTITION_COUNT):
            groups.setdefault(self._standing(sender, partition, now), []).append(partition)
        return [
            SendMessage(sender, TransferAnswer(int(status), pack_partitions(partitions), owner))
            for (status, owner), partitions in groups.items()
        ]

    def _standing(
        self, asking: NodeId, partition: int, now: float
    ) -> tuple[OwnershipStatus, NodeId]:
        ownership = self._ownership
        if partition in ownership.owned or partition in ownership.frozen:
            return OwnershipStatus.OWNER, NO_OWNER
        for candidate in (ownership.deciders[partition], ownership.former.get(partition)):
            if candidate in {asking, ownership.node_id} or not ownership.answers(candidate):
                continue
            return OwnershipStatus.ELSEWHERE, candidate or NO_OWNER
        if ownership.is_newcomer(now):
            return OwnershipStatus.NEWCOMER, NO_OWNER
        return OwnershipStatus.NOBODY, NO_OWNER

    def _take_answer(self, sender: NodeId, message: TransferAnswer, now: float) -> None:
        """Wait for the owner, or ask the next node.

        An owner that is in no list here is one that joined meanwhile: the node that named it
        relays to it, and is asked again.
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
                awaited.newcomers_only = False
                awaited.confirmed_at = now
                continue
            awaited.disclaimed.add(sender)
            awaited.newcomers_only &= message.status == OwnershipStatus.NEWCOMER
            awaited.named |= bool(message.owner)
            known = {*awaited.disclaimed, self._ownership.node_id}
            if message.owner not in known and self._ownership.answers(message.owner):
                self._ownership.await_owner(partition, message.owner, now)
            elif not self._ownership.await_next(partition, now):
                how = Acquisition.FRESH if awaited.newcomers_only else Acquisition.CRASH
                self.acquire(Acquired(partition, how, None), now)

    # -- messages and timers ---------------------------------------------------------------------

    def handle(self, sender: NodeId, message: object, now: float) -> list[Command]:
        """Take one message about partitions; others are ignored."""
        self._now = now
        match message:
            case SynchronizationBatch():
                return self.take_batch(sender, message, now)
            case ReplicaAcknowledged(number):
                return self._sender.acknowledged(sender, number, now)
            case TransferAcknowledged():
                self._acknowledged(sender, message, now)
                return self.streams.flush(now)
            case TransferRequest():
                return self._answer_request(sender, message, now)
            case TransferAnswer():
                self._take_answer(sender, message, now)
        return []

    def poll(self, now: float) -> list[Command]:
        """Plan hand-overs, ask owners, move bases, send what is due."""
        self._now = now
        if self._ownership.settles(now):
            self.members_changed(self._ownership.reassign(now), now)
        for item in self._ownership.unconfirmed(now):
            self.acquire(item, now)
        if self._plan_due <= now:
            self._plan_due = now + PLAN_SECONDS
            self._plan(now)
            self._ownership.expire(now)
        if self._base_due <= now:
            self._base_due = now + BASE_SECONDS
            self._move_some_bases(now)
        if self._sweep_due <= now:
            self._sweep_due = now + SWEEP_SECONDS
            self._replicas.sweep(self._is_needed)
        commands = self.streams.flush(now)
        for owner, partitions in self._ownership.requests_due(now).items():
            for part in split_partitions(partitions):
                commands.append(SendMessage(owner, TransferRequest(pack_partitions(part))))
        return commands

    def _move_some_bases(self, now: float) -> None:
        owned = [item for item in self._ownership.owned if item not in self._plans]
        self._base_cursor %= max(len(owned), 1)
        some = owned[self._base_cursor : self._base_cursor + BASES_AT_ONCE]
        self._base_cursor += BASES_AT_ONCE
        for partition, dropped in self._home.move_bases(some, now).items():
            self._sender.base_moved(partition, dropped)

    def nothing_left(self, now: float) -> bool:
        """Whether a leaving node owns nothing more, and has relayed for the grace since then."""
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
