"""Asking peers for the steps that this node lacks, one question at a time."""

from __future__ import annotations

from dataclasses import dataclass

from beamloom.model.machines import NodeId
from beamloom.protocol.commands import Command, SendMessage
from beamloom.protocol.configuration_messages import ChangesRequested
from beamloom.replication.peer_selection import PeerSelection

PULL_RETRY = 0.4
MAXIMUM_PULL_ATTEMPTS = 5


@dataclass(slots=True)
class _Question:
    """A question under way: the revision to reach and who was asked last."""

    target_revision: int
    peer: NodeId
    retry_at: float
    attempts: int = 1


class ChangePull:
    """Pulls steps up to a revision that a peer is known to have."""

    def __init__(self, peers: PeerSelection) -> None:
        self.count = 0
        self._peers = peers
        self._question: _Question | None = None

    def next_timer(self) -> float | None:
        """Return when `poll` has something to do."""
        return None if self._question is None else self._question.retry_at

    def reached(self, revision: int) -> None:
        """End a pull that the applied revision has overtaken."""
        if self._question is not None and revision >= self._question.target_revision:
            self._question = None

    def abandon(self) -> None:
        """End the pull: the steps come by another way."""
        self._question = None

    def ask(self, peer: NodeId, revision: int, applied: int, now: float) -> list[Command]:
        """Ask a peer that has `revision` for what follows `applied`.

        While another peer's answer may still come, only the revision to reach is raised.
        """
        question = self._question
        if question is not None and now < question.retry_at and question.peer != peer:
            question.target_revision = max(question.target_revision, revision)
            return []
        self._question = _Question(revision, peer, now + PULL_RETRY)
        self.count += 1
        return [SendMessage(peer, ChangesRequested(applied))]

    def poll(self, applied: int, now: float) -> list[Command]:
        """Ask another peer where no answer came; after some attempts leave it to anti-entropy."""
        question = self._question
        if question is None or now < question.retry_at:
            return []
        peers = self._peers.some(1)
        if not peers or question.attempts >= MAXIMUM_PULL_ATTEMPTS:
            self._question = None
            return []
        question.attempts += 1
        question.peer = peers[0]
        question.retry_at = now + PULL_RETRY
        return [SendMessage(question.peer, ChangesRequested(applied))]
