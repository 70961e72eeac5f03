"""The hosts of other nodes, as far as a node has heard of them lately."""

from __future__ import annotations

import random
from collections.abc import Iterable

PEER_SILENCE_SECONDS = 15.0
MAXIMUM_PEERS = 2048
SAMPLE_SIZE = 8


class PeerTable:
    """Hosts with the moment at which each was last alive. `seeds` are asked while few are known."""

    def __init__(self, host: str, seeds: Iterable[str], chance: random.Random) -> None:
        self._host = host
        self._chance = chance
        self._heard: dict[str, float] = {}
        self.seeds: list[str] = []
        self.use_seeds(seeds)

    def use_seeds(self, seeds: Iterable[str]) -> None:
        """Ask these hosts from now on while few are known."""
        self.seeds = [seed for seed in seeds if seed != self._host]

    def __len__(self) -> int:
        return len(self._heard)

    def note(self, host: str, at: float, now: float) -> bool:
        """Note that a host was alive at a moment; return whether it was unknown."""
        if host == self._host or now - at >= PEER_SILENCE_SECONDS:
            return False
        known = self._heard.get(host)
        if known is None and len(self._heard) >= MAXIMUM_PEERS:
            return False
        if known is None or at > known:
            self._heard[host] = at
        return known is None

    def forget_silent(self, now: float) -> None:
        """Drop hosts that nobody has heard for long."""
        self._heard = {
            host: at for host, at in self._heard.items() if now - at < PEER_SILENCE_SECONDS
        }

    def choose(self, count: int) -> list[str]:
        """Return up to so many hosts, drawn by chance; all of them where there are no more."""
        hosts = sorted(self._heard)
        return hosts if len(hosts) <= count else self._chance.sample(hosts, count)

    def sample(self, now: float) -> list[tuple[str, float]]:
        """Return a few hosts and how long ago each was heard, in seconds."""
        return [(host, now - self._heard[host]) for host in self.choose(SAMPLE_SIZE)]
