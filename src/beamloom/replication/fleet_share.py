"""Which few nodes of a fleet do something, agreed on without a message.

Rendezvous hashing (Thaler and Ravishankar 1998): of the hosts that a node knows, those with the
highest hash of host and key. Nodes whose views of the fleet differ may name different ones.
"""

from __future__ import annotations

from _blake2 import blake2b

from beamloom.replication.peer_table import PeerTable

SETTLING_SECONDS = 3.0
"""Who has met its peers more lately than that knows only some of them: it counts itself out."""
KEPT_SECONDS = 1.0
"""For how long an answer is kept; hosts come and go more seldom."""
MOST_KEPT = 4096
_DIGEST_BYTES = 8
_KEY_BYTES = 8


class FleetShare:
    """Whether this node is one of the `count` that a key belongs to.

    `joined_at` is when this node began to meet its peers, in seconds of the steady clock.
    """

    def __init__(self, peers: PeerTable, count: int, joined_at: float) -> None:
        self._peers = peers
        self._count = count
        self._joined_at = joined_at
        self._kept: dict[int, tuple[float, bool]] = {}

    def holds(self, key: int, now: float) -> bool:
        """Return whether a key (64 bits) belongs to this node now."""
        if now - self._joined_at < SETTLING_SECONDS:
            return False
        kept = self._kept.get(key)
        if kept is not None and now - kept[0] < KEPT_SECONDS:
            return kept[1]
        if len(self._kept) >= MOST_KEPT:
            self._kept.clear()
        answer = self._draw(key)
        self._kept[key] = (now, answer)
        return answer

    def _draw(self, key: int) -> bool:
        own = _score(self._peers.host, key)
        higher = sum(_score(host, key) > own for host in self._peers.hosts())
        return higher < self._count


def _score(host: str, key: int) -> bytes:
    return blake2b(
        host.encode(), digest_size=_DIGEST_BYTES, key=key.to_bytes(_KEY_BYTES, "big")
    ).digest()
