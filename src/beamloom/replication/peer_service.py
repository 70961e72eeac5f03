"""Serves missing changes and snapshots to peers that lag behind."""

from __future__ import annotations

from collections.abc import Sequence

from beamloom.model.machines import NodeId
from beamloom.protocol.commands import Command, SendMessage
from beamloom.protocol.configuration_messages import (
    ChangesPushed,
    ChangesUnavailable,
    ReplicatedChange,
    SnapshotPartsRequested,
    SnapshotRequested,
    change_to_list,
)
from beamloom.replication.applied_state import AppliedState
from beamloom.replication.change_log import fits_one_message, pack_changes
from beamloom.replication.snapshot_fetch import SnapshotFetch
from beamloom.replication.snapshot_sender import REUSE_REVISIONS, SnapshotSender

PULL_MESSAGES = 3


class PeerService:
    """Answers the requests of peers, and builds the messages of pushes."""

    def __init__(self, applied: AppliedState) -> None:
        self._applied = applied
        self._sender = SnapshotSender()
        self.fetch: SnapshotFetch | None = None

    def push(self, steps: Sequence[ReplicatedChange]) -> list[ChangesPushed]:
        """Return the messages that carry `steps`.

        A change too long for a message is omitted; receivers pull because the messages name the
        applied revision.
        """
        sendable = [step for step in steps if fits_one_message(step)]
        return [self._message(group) for group in pack_changes(sendable)] or [self._message(())]

    def changes_after(self, peer: NodeId, revision: int) -> list[Command]:
        """Return the first changes after `revision`, or ChangesUnavailable if none can be sent."""
        if revision >= self._applied.revision:
            return []
        steps = self._applied.log.after(revision)
        if not steps or not fits_one_message(steps[0]):
            return [SendMessage(peer, ChangesUnavailable(self._applied.revision))]
        sendable: list[ReplicatedChange] = []
        for step in steps:
            if not fits_one_message(step):
                break
            sendable.append(step)
        groups = pack_changes(sendable)[:PULL_MESSAGES]
        messages = [self._message(group, group is groups[-1]) for group in groups]
        return [SendMessage(peer, message) for message in messages]

    def snapshot_requested(self, peer: NodeId, message: SnapshotRequested) -> list[Command]:
        """Offer the requested snapshot, or one from which the log continues.

        A node that is fetching the requested snapshot, or has no state yet, offers the parts that
        it has received. A node with a full queue offers nothing.
        """
        revision = self._applied.revision
        if self._sender.busy:
            return []
        partial = self.fetch.partial_offer() if self.fetch is not None else None
        if partial is not None and self.fetch is not None:
            self._sender.share((partial.revision, partial.digest), self.fetch.parts)
            if revision == 0 or message.digest == partial.digest:
                return [SendMessage(peer, partial)]
        if revision == 0:
            return []
        oldest = revision - REUSE_REVISIONS
        if self._applied.log.after(oldest) is None:
            oldest = revision
        state = self._applied.state
        offer = self._sender.offer(state, message.revision, message.digest, oldest)
        return [SendMessage(peer, offer)]

    def keep_fetched(self, fetch: SnapshotFetch) -> None:
        """Keep a fetched and verified snapshot to offer it to peers."""
        if fetch.name is not None:
            self._sender.keep(fetch.name, fetch.data)

    def parts_requested(
        self, peer: NodeId, message: SnapshotPartsRequested, now: float
    ) -> list[Command]:
        """Queue parts of a snapshot for a peer."""
        name = (message.revision, message.digest)
        self._sender.request(peer, name, message.indexes, now)
        return self.poll(now)

    def poll(self, now: float) -> list[Command]:
        """Send the snapshot part that is due."""
        return self._sender.poll(now)

    def next_timer(self) -> float | None:
        """Return when the next snapshot part is due."""
        return self._sender.next_timer()

    def _message(self, steps: Sequence[ReplicatedChange], last: bool = True) -> ChangesPushed:
        """Return a push; only the last of several names the applied revision, to cause one pull."""
        newest = self._applied.revision if last else steps[-1].revision
        return ChangesPushed([change_to_list(step) for step in steps], newest)
