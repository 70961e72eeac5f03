"""Decides when a joining node is ready: at the highest revision of several ready peers."""

from __future__ import annotations

from beamloom.model.machines import NodeId

JOIN_PEERS = 3
JOIN_ANSWER_TIMEOUT_SECONDS = 3.0


class JoinProgress:
    """The revisions that ready peers reported, and whether this node has reached them."""

    def __init__(self) -> None:
        self.ready = False
        self._answers: dict[NodeId, int] = {}
        self._first_answer_at: float | None = None
        self._enough_answers = False

    @property
    def target_revision(self) -> int:
        """The highest revision that a ready peer reported."""
        return max(self._answers.values(), default=0)

    def peer_answered(self, peer: NodeId, revision: int, peer_count: int, now: float) -> None:
        """Record a ready peer's revision; with few peers or after a timeout fewer are enough."""
        if self._first_answer_at is None:
            self._first_answer_at = now
        self._answers[peer] = max(revision, self._answers.get(peer, 0))
        enough = len(self._answers) >= min(JOIN_PEERS, peer_count)
        self._enough_answers = enough or now >= self._first_answer_at + JOIN_ANSWER_TIMEOUT_SECONDS

    def revision_applied(self, revision: int) -> None:
        """Become ready if enough peers answered and `revision` is at least as high as theirs."""
        if self._enough_answers and revision >= self.target_revision:
            self.ready = True

    def store_listed(self) -> None:
        """Become ready, as this node has listed the store itself."""
        self.ready = True
