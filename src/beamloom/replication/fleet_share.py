"""Assigns keys to a few nodes of the fleet without exchanging messages.

Weighted rendezvous hashing (Thaler and Ravishankar 1998; Schindelhauer and Schomaker 2005): a key
belongs to the known hosts with the highest score of host and key, which rises with the host's
capacity. Nodes that know different hosts may assign a key differently.
"""

from __future__ import annotations

import math
from _blake2 import blake2b
from typing import NamedTuple

from beamloom.replication.peer_table import PeerTable

SETTLING_SECONDS = 3.0
"""A node that joined more recently knows only some of its peers, and no key belongs to it."""
CACHE_SECONDS = 1.0
"""How long a result is reused before it is computed again."""
MAXIMUM_CACHED = 4096
"""Number of results at which the cache is cleared."""
RESULTS_TO_CHANGE = 2
"""How many results in a row, `CACHE_SECONDS` apart, must differ before a key is reassigned, so that
a peer that is missing for a moment changes nothing. Together they are below the shortest contact
bound (4 s).
"""
_DIGEST_BYTES = 8
_KEY_BYTES = 8
_FRACTION_BITS = 52
"""Bits of a hash that a float represents exactly (IEEE 754)."""
_SPARE_BITS = 8 * _DIGEST_BYTES - _FRACTION_BITS
"""Low bits of a hash that are discarded."""


class FleetShare:
    """Determines whether this node is one of the `count` nodes that a key belongs to.

    `joined_at` is when this node began to contact its peers, in seconds of the monotonic clock.
    While `is_shedding` is set, no key belongs to it.
    """

    def __init__(
        self, peers: PeerTable, count: int, joined_at: float, *, by_capacity: bool = True
    ) -> None:
        self.is_shedding = False
        self._by_capacity = by_capacity
        self.peers = peers
        self._count = count
        self._joined_at = joined_at
        self._cache: dict[int, _CachedResult] = {}

    def is_assigned(self, key: int, now: float) -> bool:
        """Return whether a 64-bit key belongs to this node now."""
        if self.is_shedding or now - self._joined_at < SETTLING_SECONDS:
            return False
        cached = self._cache.get(key)
        if cached is not None and now - cached.checked_at < CACHE_SECONDS:
            return cached.is_holder
        if len(self._cache) >= MAXIMUM_CACHED:
            self._cache.clear()
        result = self._debounced(cached, self._is_among_highest(key), now)
        self._cache[key] = result
        return result.is_holder

    def _debounced(
        self, cached: _CachedResult | None, is_holder: bool, now: float
    ) -> _CachedResult:
        """Return the result to use; a recent one is replaced only after repeated differences."""
        is_recent = cached is not None and now - cached.checked_at < SETTLING_SECONDS
        if cached is None or not is_recent or is_holder == cached.is_holder:
            return _CachedResult(now, is_holder, 0)
        if cached.differing_count + 1 >= RESULTS_TO_CHANGE:
            return _CachedResult(now, is_holder, 0)
        return _CachedResult(now, cached.is_holder, cached.differing_count + 1)

    def _is_among_highest(self, key: int) -> bool:
        own = self._score(self.peers.host, key)
        higher = 0
        for host in self.peers.hosts():
            higher += self._score(host, key) > own
            if higher >= self._count:
                return False
        return True

    def _score(self, host: str, key: int) -> float:
        weight = self.peers.weight_of(host) if self._by_capacity else 1
        return weight / -math.log(_fraction(host, key))


class _CachedResult(NamedTuple):
    """The result in use for a key, when it was last checked, and how many differed since."""

    checked_at: float
    is_holder: bool
    differing_count: int


def _fraction(host: str, key: int) -> float:
    """Return the hash of host and key as a fraction strictly between 0 and 1."""
    digest = blake2b(
        host.encode(), digest_size=_DIGEST_BYTES, key=key.to_bytes(_KEY_BYTES, "big")
    ).digest()
    return ((int.from_bytes(digest, "big") >> _SPARE_BITS) + 0.5) / (1 << _FRACTION_BITS)
