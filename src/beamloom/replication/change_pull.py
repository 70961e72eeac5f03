"""Requests missing changes from peers, one request at a time."""

from __future__ import annotations

from dataclasses import dataclass

from beamloom.model.machines import NodeId
from beamloom.protocol.commands import Command, SendMessage
from beamloom.protocol.configuration_messages import ChangesRequested
from beamloom.replication.peer_selection import PeerSelection

PULL_RETRY = 0.4
MAXIMUM_PULL_ATTEMPTS = 5


@dataclass(slots=True)
class _PendingPull:
    """The revision to reach, and the peer that was asked last."""

    target_revision: int
    peer: NodeId
    retry_at: float
    attempts: int = 1


class ChangePull:
    """Pulls changes up to a revision that a peer is known to have."""

    def __init__(self, peers: PeerSelection) -> None:
        self.count = 0
        self._peers = peers
        self._pending: _PendingPull | None = None

    def next_timer(self) -> float | None:
        """Return when `poll` is due next."""
        return None if self._pending is None else self._pending.retry_at

    def revision_applied(self, revision: int) -> None:
        """End the pull once its target revision has been applied."""
        if self._pending is not None and revision >= self._pending.target_revision:
            self._pending = None

    def cancel(self) -> None:
        """End the pull, as a snapshot is fetched instead."""
        self._pending = None

    def request(self, peer: NodeId, revision: int, applied: int, now: float) -> list[Command]:
        """Request the changes after `applied` from a peer that has `revision`.

        Until the request to another peer times out, only the revision to reach is raised.
        """
        pending = self._pending
        if pending is not None and now < pending.retry_at and pending.peer != peer:
            pending.target_revision = max(pending.target_revision, revision)
            return []
        self._pending = _PendingPull(revision, peer, now + PULL_RETRY)
        self.count += 1
        return [SendMessage(peer, ChangesRequested(applied))]

    def poll(self, applied: int, now: float) -> list[Command]:
        """Ask a random peer after a timeout; after several attempts leave it to anti-entropy."""
        pending = self._pending
        if pending is None or now < pending.retry_at:
            return []
        peers = self._peers.sample(1)
        if not peers or pending.attempts >= MAXIMUM_PULL_ATTEMPTS:
            self._pending = None
            return []
        pending.attempts += 1
        pending.peer = peers[0]
        pending.retry_at = now + PULL_RETRY
        return [SendMessage(pending.peer, ChangesRequested(applied))]
