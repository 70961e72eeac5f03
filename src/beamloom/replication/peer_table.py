"""The hosts of other nodes that were seen recently, with their zones and capacities.

Most messages go to peers of the own zone, as traffic between zones costs more and a few messages
suffice to spread a change to other zones.
"""

from __future__ import annotations

import random
from collections.abc import Collection, Iterable

from beamloom.settings.capacity import LEAST, LOWEST_RANK, Capacity, weight_of_rank

PEER_EXPIRY_SECONDS = 15.0
MAXIMUM_PEERS = 2048
SAMPLE_SIZE = 8
OWN_ZONE_SHARE = 0.85
MAXIMUM_FAN_OUT = 24
"""The most peers that a change is sent to: about 6 kB of digests."""
UNKNOWN_RANK = -1
"""In messages, stands for a rank that is not known."""


class PeerTable:
    """Hosts with the time at which each was last seen; `seeds` are contacted while few are known.

    A host of unknown zone counts as being in another zone.
    """

    def __init__(
        self,
        host: str,
        seeds: Iterable[str],
        rng: random.Random,
        zone: str = "",
        capacity: Capacity = LEAST,
    ) -> None:
        self.host = host
        self.zone = zone
        self.capacity = capacity
        self._relative_capacity = 1.0
        self._ranks: dict[str, int] = {}
        self._capacities: dict[str, Capacity] = {}
        self._zones: dict[str, str] = {}
        self._rng = rng
        self._last_seen: dict[str, float] = {}
        self.seeds: list[str] = []
        self.set_seeds(seeds)

    def set_seeds(self, seeds: Iterable[str]) -> None:
        """Replace the seeds, the hosts that are contacted while few peers are known."""
        self.seeds = [seed for seed in seeds if seed != self.host]

    def __len__(self) -> int:
        return len(self._last_seen)

    def note(self, host: str, at: float, now: float) -> bool:
        """Record that a host was alive at a time; return whether it was added."""
        if host == self.host or now - at >= PEER_EXPIRY_SECONDS:
            return False
        known = self._last_seen.get(host)
        if known is None and len(self._last_seen) >= MAXIMUM_PEERS:
            return False
        if known is None or at > known:
            self._last_seen[host] = at
        return known is None

    def note_zone(self, host: str, zone: str) -> None:
        """Record the zone that a host reports for itself."""
        if host in self._last_seen and zone:
            self._zones[host] = zone

    def note_capacity(self, host: str, capacity: Capacity) -> None:
        """Record the capacity that a host reports for itself."""
        if host in self._last_seen:
            self._capacities[host] = capacity
            self._ranks[host] = capacity.rank

    def note_rank(self, host: str, rank: int) -> None:
        """Record a host's rank as reported by another one; its own report takes precedence."""
        is_ignored = host in self._capacities or host not in self._last_seen
        if not is_ignored and isinstance(rank, int) and 0 <= rank <= LOWEST_RANK:
            self._ranks[host] = rank

    def capacity_of(self, host: str) -> Capacity | None:
        """Return the capacity that a host reported for itself; None if it has not."""
        return self._capacities.get(host)

    def rank_of(self, host: str) -> int | None:
        """Return the rank of a host; None if it is not known."""
        return self.capacity.rank if host == self.host else self._ranks.get(host)

    def weight_of(self, host: str) -> int:
        """Return a host's capacity as a multiple of the least machine's.

        A host of unknown rank counts like this node.
        """
        rank = self.rank_of(host)
        return self.capacity.weight if rank is None else weight_of_rank(rank)

    def contains(self, host: str) -> bool:
        """Return whether a host was seen recently."""
        return host in self._last_seen

    def is_in_own_zone(self, host: str) -> bool:
        """Return whether a host is known to be in this node's zone."""
        return self._zones.get(host) == self.zone

    def fan_out(self, count: int) -> int:
        """Scale a fan-out of `count` peers by this node's capacity relative to its peers.

        It is never lowered, as a smaller fan-out delays changes for the last nodes: with a fan-out
        of three at the least machines, a change took 1 s to reach the last of 150 nodes, and 0.05 s
        with five to seven (in memory).
        """
        return max(count, min(MAXIMUM_FAN_OUT, round(count * self._relative_capacity)))

    def remove_expired(self, now: float) -> None:
        """Remove hosts that were not seen for PEER_EXPIRY_SECONDS."""
        self._last_seen = {
            host: at for host, at in self._last_seen.items() if now - at < PEER_EXPIRY_SECONDS
        }
        self._zones = {host: zone for host, zone in self._zones.items() if host in self._last_seen}
        self._ranks = {host: rank for host, rank in self._ranks.items() if host in self._last_seen}
        self._capacities = {
            host: capacity for host, capacity in self._capacities.items() if host in self._last_seen
        }
        self._update_relative_capacity()

    def _update_relative_capacity(self) -> None:
        """Update this node's weight relative to the average of its peers."""
        weights = [self.weight_of(host) for host in self._last_seen]
        self._relative_capacity = (
            self.capacity.weight * len(weights) / sum(weights) if weights else 1.0
        )

    def choose(self, count: int) -> list[str]:
        """Return up to `count` random hosts, about OWN_ZONE_SHARE of them of the own zone."""
        hosts = sorted(self._last_seen)
        if len(hosts) <= count:
            return hosts
        near = [host for host in hosts if self._zones.get(host) == self.zone]
        far = [host for host in hosts if self._zones.get(host) != self.zone]
        from_near = int(count * OWN_ZONE_SHARE + self._rng.random())
        from_near = max(count - len(far), min(from_near, len(near)))
        chosen = self._rng.sample(near, from_near)
        return chosen + self._rng.sample(far, count - from_near)

    def hosts(self) -> Collection[str]:
        """Return all hosts seen recently."""
        return self._last_seen.keys()

    def own_zone_hosts(self) -> list[str]:
        """Return the hosts that are known to be in this node's zone."""
        return [host for host, zone in self._zones.items() if zone == self.zone]

    def sample(self, now: float) -> list[tuple[str, float]]:
        """Return a few random hosts of any zone and the seconds since each was last seen."""
        hosts = sorted(self._last_seen)
        drawn = self._rng.sample(hosts, min(SAMPLE_SIZE, len(hosts)))
        return [(host, now - self._last_seen[host]) for host in drawn]
