"""Decides when a node that started may serve: once level with the highest of several peers."""

from __future__ import annotations

from beamloom.model.machines import NodeId

JOIN_PEERS = 3
JOIN_PATIENCE = 3.0


class JoinProgress:
    """The revisions that ready peers answered with, and whether this node has reached them."""

    def __init__(self) -> None:
        self.ready = False
        self._answers: dict[NodeId, int] = {}
        self._first_answer_at: float | None = None
        self._complete = False

    @property
    def target_revision(self) -> int:
        """The highest revision that a peer answered with."""
        return max(self._answers.values(), default=0)

    def answered(self, peer: NodeId, revision: int, peer_count: int, now: float) -> None:
        """Take the answer of a ready peer; with few peers, or after a while, fewer will do."""
        if self._first_answer_at is None:
            self._first_answer_at = now
        self._answers[peer] = max(revision, self._answers.get(peer, 0))
        enough = len(self._answers) >= min(JOIN_PEERS, peer_count)
        self._complete = enough or now >= self._first_answer_at + JOIN_PATIENCE

    def reached(self, revision: int) -> None:
        """Become ready when enough peers answered and `revision` is as high as theirs."""
        if self._complete and revision >= self.target_revision:
            self.ready = True

    def level_with_store(self) -> None:
        """Become ready: this node has listed the store itself."""
        self.ready = True
