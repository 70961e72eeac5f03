"""Who owns which partition, as one node knows it.

The owner of a partition alone decides its new flows. Ownership passes by a HANDOVER mark from the
owner, or by a crash. The view's home that does not own a partition *awaits* the node that does and
relays to it. An owner that has sent the mark is *frozen* until it is acknowledged: it decides
nothing, so that there is one decider at any time. See docs/design/flows.md.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, field
from enum import Enum

from beamloom.model.machines import Machine, Member, MemberState, NodeId
from beamloom.routing.hashing import PARTITION_COUNT
from beamloom.routing.partitions import PartitionMap

FIRST_REQUEST_SECONDS = 1.0
LAST_REQUEST_SECONDS = 4.0
AWAIT_SECONDS = 60.0
GRACE_SECONDS = 15.0
HANDED_SECONDS = 25.0
DETOUR_SECONDS = 10.0
NEWCOMER_SECONDS = 30.0
MAXIMUM_ASKED = 8
ROUNDS_OF_ASKING = 3
KEPT_AFTER_TRANSFER_SECONDS = 5.0
ALONE_SECONDS = 2.0


class Acquisition(Enum):
    """How a partition came to this node."""

    FRESH = "fresh"
    TRANSFER = "transfer"
    CRASH = "crash"
    RESUMED = "resumed"


@dataclass(slots=True)
class OwnedPartition:
    """A partition that this node decides; `base` is a revision of the configuration.

    While `grace_until` has not come, `predecessor` is asked about opening packets: it may have
    placed the flow just before it handed the partition over.
    """

    base: int
    since: float
    acquisition: Acquisition
    predecessor: NodeId | None = None
    grace_until: float = 0.0


@dataclass(slots=True)
class Awaited:
    """A partition that this node is to own: who owns it, and when that was last confirmed.

    `disclaimed` holds the nodes that were asked in this round and do not own it; `confirmed` says
    that the owner has said so itself; `newcomers_only` that nobody asked could know of an owner;
    `named` that one asked in this round named a member.
    """

    owner: NodeId
    confirmed_at: float
    ask_at: float
    disclaimed: set[NodeId] = field(default_factory=set)
    confirmed: bool = False
    wait: float = FIRST_REQUEST_SECONDS
    newcomers_only: bool = True
    named: bool = False
    rounds_left: int = ROUNDS_OF_ASKING - 1


@dataclass(frozen=True, slots=True)
class Acquired:
    """A partition that this node has just come to own, and from whom."""

    partition: int
    acquisition: Acquisition
    predecessor: NodeId | None


class Ownership:
    """The ownership state of every partition at one node.

    `deciders` names, for each partition, the node that packets of unknown flows go to.
    """

    def __init__(self, node_id: NodeId) -> None:
        self.node_id = node_id
        self.members: dict[NodeId, Member] = {}
        self.map = PartitionMap(())
        self.previous_map = self.map
        self.homes: list[NodeId | None] = self.map.homes_by_partition()
        self.deciders: list[NodeId | None] = list(self.homes)
        self.owned: dict[int, OwnedPartition] = {}
        self.awaited: dict[int, Awaited] = {}
        self.frozen: dict[int, NodeId] = {}
        self.handed: dict[int, float] = {}
        self.former: dict[int, NodeId] = {}
        self.detours: dict[int, float] = {}
        self.leaving = False
        self._started_at: float | None = None
        self._listed_at: float | None = None
        self._settled = False
        self._left: set[NodeId] = set()

    def answers(self, node_id: NodeId | None) -> bool:
        """Whether a node is a member that takes packets and messages."""
        member = self.members.get(node_id) if node_id is not None else None
        return member is not None and member.answers

    def update(self, members: Sequence[Member], now: float) -> list[Acquired]:
        """Take over a member list; returns the partitions that fall to this node at once."""
        leaving = {key for key, item in self.members.items() if item.state is MemberState.LEAVING}
        self.members = {member.machine.node_id: member for member in members}
        self._left = {key for key in leaving | self._left if not self.answers(key)}
        self._listed_at = now if self._listed_at is None else self._listed_at
        return self.reassign(now)

    def settles(self, now: float) -> bool:
        """Whether this node has been alone for so long that it is to reassign and own."""
        alone_since = None if self._settled else self._listed_at
        return alone_since is not None and now - alone_since >= ALONE_SECONDS

    def _settle(self, now: float) -> bool:
        """Whether this node may be home: it knows of another that is, or there is none.

        A node that joins may be configured before it has heard of any member. If it owned at once,
        it would decide beside the owners that it does not know of yet.
        """
        others = (item for key, item in self.members.items() if key != self.node_id)
        self._settled = (
            self._settled
            or self.settles(now)
            or any(item.may_be_home or item.state is MemberState.LEAVING for item in others)
        )
        return self._settled

    def reassign(self, now: float) -> list[Acquired]:
        """Reckon the homes anew from the members, this node left out while it leaves."""
        machines = self._home_machines(now)
        before = self.homes
        self.previous_map = self.map
        self.map = PartitionMap(machines, self.map)
        self.homes = self.map.homes_by_partition()
        without_self = None
        if self._started_at is None and any(item.node_id == self.node_id for item in machines):
            others = [item for item in machines if item.node_id != self.node_id]
            without_self = PartitionMap(others).homes_by_partition()
        if self._started_at is None and machines:
            self._started_at = now
        acquired: list[Acquired] = []
        for partition in range(PARTITION_COUNT):
            if self.homes[partition] != before[partition]:
                former = without_self[partition] if without_self else before[partition]
                self._note_former(partition, before[partition])
                acquired.extend(self._home_changed(partition, former, now))
        acquired.extend(self._replace_dead_owners(now))
        return acquired

    def _note_former(self, partition: int, home: NodeId | None) -> None:
        """Remember the home before, whom the next one may have to ask."""
        if home is not None:
            self.former[partition] = home

    def _home_machines(self, now: float) -> list[Machine]:
        self_excluded = self.leaving or not self._settle(now)
        return [
            member.machine
            for node_id, member in self.members.items()
            if member.may_be_home and not (self_excluded and node_id == self.node_id)
        ]

    def _home_changed(self, partition: int, former: NodeId | None, now: float) -> list[Acquired]:
        home = self.homes[partition]
        if partition in self.owned or partition in self.frozen:
            return []
        if home != self.node_id:
            self._follow(partition, home, now)
            return []
        if partition in self.awaited:
            return []
        knows_better = partition in self.detours or partition in self.handed
        owner = self.deciders[partition] if knows_better else former
        self.detours.pop(partition, None)
        return self._await_or_acquire(partition, owner, now)

    def _follow(self, partition: int, home: NodeId | None, now: float) -> None:
        """Send packets to the home, or for a while to the owner that this node awaited."""
        awaited = self.awaited.pop(partition, None)
        if awaited is not None and self.answers(awaited.owner):
            self.detours[partition] = now + DETOUR_SECONDS
            return
        self.detours.pop(partition, None)
        if partition in self.handed and self.answers(self.deciders[partition]):
            return
        self.deciders[partition] = home

    def _await_or_acquire(self, partition: int, owner: NodeId | None, now: float) -> list[Acquired]:
        if owner is None or owner == self.node_id:
            return [Acquired(partition, Acquisition.FRESH, None)]
        if not self.answers(owner):
            return [Acquired(partition, Acquisition.CRASH, owner)]
        self.await_owner(partition, owner, now)
        return []

    def await_owner(self, partition: int, owner: NodeId, now: float) -> None:
        """Note who owns a partition that this node is to own."""
        previous = self.awaited.get(partition)
        awaited = Awaited(owner, now, now)
        if previous is not None:
            awaited.confirmed_at = previous.confirmed_at
            awaited.disclaimed = previous.disclaimed
            awaited.newcomers_only = previous.newcomers_only
            awaited.named = previous.named
            awaited.rounds_left = previous.rounds_left
        self.awaited[partition] = awaited
        self.deciders[partition] = owner

    def is_newcomer(self, now: float) -> bool:
        """Whether this node has too short a memory to say that nobody owns a partition."""
        return self._started_at is None or now - self._started_at < NEWCOMER_SECONDS

    def await_next(self, partition: int, now: float) -> bool:
        """Ask the next node in order that has not disclaimed; returns False when none is left.

        Where some node asked named a member, all are asked again: the partition may have been on
        its way to that one.
        """
        awaited = self.awaited[partition]
        candidate = self._next_candidate(partition, awaited)
        if candidate is not None:
            self.await_owner(partition, candidate, now)
            return True
        if not awaited.named or not awaited.rounds_left:
            return False
        awaited.rounds_left -= 1
        awaited.disclaimed = set()
        awaited.named = False
        candidate = self._next_candidate(partition, awaited)
        if candidate is None:
            return False
        self.await_owner(partition, candidate, now)
        self.awaited[partition].ask_at = now + FIRST_REQUEST_SECONDS
        return True

    def _next_candidate(self, partition: int, awaited: Awaited) -> NodeId | None:
        excluded = awaited.disclaimed | {self.node_id}
        candidate = self._leaving_member(excluded)
        if candidate is None and len(awaited.disclaimed) < MAXIMUM_ASKED:
            candidate = self.map.best_except(partition, excluded)
        return candidate

    def _leaving_member(self, excluded: set[NodeId]) -> NodeId | None:
        """Return a member that is in no map any more and may still own partitions."""
        for node_id, member in self.members.items():
            if member.state is MemberState.LEAVING and node_id not in excluded:
                return node_id
        return None

    def _replace_dead_owners(self, now: float) -> list[Acquired]:
        """Take over from awaited owners that died; one that never confirmed may not have owned."""
        acquired: list[Acquired] = []
        dead = [item for item, found in self.awaited.items() if not self.answers(found.owner)]
        for partition in dead:
            awaited = self.awaited[partition]
            awaited.disclaimed.add(awaited.owner)
            crashed = awaited.confirmed and awaited.owner not in self._left
            if crashed or not self.await_next(partition, now):
                acquired.append(Acquired(partition, Acquisition.CRASH, awaited.owner))
        acquired.extend(
            Acquired(partition, Acquisition.RESUMED, successor)
            for partition, successor in self.frozen.items()
            if not self.answers(successor)
        )
        self._leave_dead_deciders()
        return acquired

    def _leave_dead_deciders(self) -> None:
        """Send packets to the home where the node they went to for a while answers no more."""
        for remembered in (self.detours, self.handed):
            for partition in list(remembered):
                if partition in self.awaited or self.answers(self.deciders[partition]):
                    continue
                del remembered[partition]
                self.deciders[partition] = self.homes[partition]

    def own(self, acquired: Acquired, base: int, now: float) -> None:
        """Make this node the decider of a partition."""
        partition = acquired.partition
        self.awaited.pop(partition, None)
        self.frozen.pop(partition, None)
        self.handed.pop(partition, None)
        self.detours.pop(partition, None)
        grace = now + GRACE_SECONDS if acquired.acquisition is Acquisition.TRANSFER else 0.0
        owned = OwnedPartition(base, now, acquired.acquisition, acquired.predecessor, grace)
        self.owned[partition] = owned
        self.deciders[partition] = self.node_id

    def freeze(self, partition: int, successor: NodeId) -> None:
        """Stop deciding a partition whose HANDOVER mark is on its way."""
        self.owned.pop(partition, None)
        self.frozen[partition] = successor
        self.deciders[partition] = successor

    def release(self, partition: int, successor: NodeId, now: float) -> bool:
        """Take the acknowledgement of a HANDOVER; returns whether it was awaited."""
        if self.frozen.get(partition) != successor:
            return False
        del self.frozen[partition]
        self.handed[partition] = now + HANDED_SECONDS
        return True

    def misplaced(self, now: float) -> dict[int, NodeId]:
        """Return the owned partitions that belong to another live home, and to which.

        A node that has just handed a partition over, or refused it, knows better than this node's
        list whether it is home: it is not offered the partition again at once.
        """
        moves: dict[int, NodeId] = {}
        for partition, owned in self.owned.items():
            home = self.homes[partition]
            if home is None or home == self.node_id or not self.answers(home):
                continue
            returned = home == owned.predecessor and owned.acquisition is not Acquisition.CRASH
            if not returned or now - owned.since >= KEPT_AFTER_TRANSFER_SECONDS:
                moves[partition] = home
        return moves

    def requests_due(self, now: float) -> dict[NodeId, list[int]]:
        """Return which partitions to ask which owners for."""
        due: dict[NodeId, list[int]] = {}
        for partition, awaited in self.awaited.items():
            if awaited.ask_at <= now:
                awaited.ask_at = now + awaited.wait
                awaited.wait = min(2 * awaited.wait, LAST_REQUEST_SECONDS)
                due.setdefault(awaited.owner, []).append(partition)
        return due

    def confirm(self, owner: NodeId) -> None:
        """Note that a node hands over: what is awaited from it is its own until it dies."""
        for awaited in self.awaited.values():
            if awaited.owner == owner:
                awaited.confirmed = True

    def unconfirmed(self, now: float) -> list[Acquired]:
        """Return awaited partitions for which no node has said in a minute that it owns them.

        An owner that has said so once is waited for until membership calls it dead.
        """
        return [
            Acquired(partition, Acquisition.CRASH, awaited.owner)
            for partition, awaited in self.awaited.items()
            if not awaited.confirmed and now - awaited.confirmed_at >= AWAIT_SECONDS
        ]

    def expire(self, now: float) -> None:
        """Forget detours and hand-overs that are long past."""
        for partition in [item for item, until in self.handed.items() if until <= now]:
            del self.handed[partition]
            if partition not in self.awaited:
                self.deciders[partition] = self.homes[partition]
        for partition in [item for item, until in self.detours.items() if until <= now]:
            del self.detours[partition]
            self.deciders[partition] = self.homes[partition]
