"""Measures this process's usage of processor, peer traffic, memory and file descriptors."""

from __future__ import annotations

import os
import time
from collections import Counter
from collections.abc import Callable

from beamloom.node.own_limits import Usage
from beamloom.settings.capacity import Capacity
from beamloom.units import BYTES_PER_MEGABIT, BYTES_PER_MEGABYTE

STATM_PATH = "/proc/self/statm"
DESCRIPTORS_PATH = "/proc/self/fd"
RESIDENT_FIELD = 1
"""Index of the resident pages in statm (proc(5))."""
PEER_LINK_SHARE = 0.1
"""Fraction of the link that peer messages may use; the rest is for clients' packets."""
SAMPLES_PER_SLOW_SAMPLE = 5
"""Memory and descriptors, which cost several system calls, are read in every fifth sample."""


class UsageProbe:
    """Samples usage as shares of the limits in `capacity`.

    `unusable` names limits that are missing or implausible in the settings; their shares are None.
    `traffic` returns the counters `sent_bytes` and `received_bytes` of peer messages.
    """

    def __init__(
        self,
        capacity: Capacity,
        unusable: tuple[str, ...],
        traffic: Callable[[], Counter[str]],
    ) -> None:
        self.counters: Counter[str] = Counter()
        self._capacity = capacity
        self._unusable = unusable
        self._traffic = traffic
        self._sampled_at: float | None = None
        self._processor_seconds = 0.0
        self._peer_bytes = 0
        self._samples = 0
        self._memory: float | None = None
        self._descriptors: float | None = None

    def sample(self, now: float) -> Usage:
        """Return the usage; that of processor and link is since the last sample, None at first."""
        processor_seconds = time.process_time()
        peer_bytes = self._count_peer_bytes()
        before, self._sampled_at = self._sampled_at, now
        spent = processor_seconds - self._processor_seconds
        transferred = peer_bytes - self._peer_bytes
        self._processor_seconds, self._peer_bytes = processor_seconds, peer_bytes
        if self._samples % SAMPLES_PER_SLOW_SAMPLE == 0:
            self._memory = self._share("memory_megabytes", self._read(_resident_megabytes))
            self._descriptors = self._share("descriptors", self._read(_open_descriptors))
        self._samples += 1
        if before is None or now <= before:
            return Usage(None, None, self._memory, self._descriptors)
        seconds = now - before
        megabits = transferred / seconds / BYTES_PER_MEGABIT / PEER_LINK_SHARE
        return Usage(
            self._share("cores", spent / seconds),
            self._share("link_megabits", megabits),
            self._memory,
            self._descriptors,
        )

    def _count_peer_bytes(self) -> int:
        traffic = self._traffic()
        return max(traffic["sent_bytes"], traffic["received_bytes"])

    def _share(self, field: str, used: float | None) -> float | None:
        if used is None or field in self._unusable:
            return None
        limit: float = getattr(self._capacity, field)
        return used / limit

    def _read(self, read: Callable[[], float]) -> float | None:
        """Return the result of `read`; on an error count it and return None."""
        try:
            return read()
        except (OSError, ValueError, IndexError) as error:
            self.counters[f"unreadable_{type(error).__name__}"] += 1
            return None


def _resident_megabytes() -> float:
    with open(STATM_PATH) as file:
        pages = int(file.read().split()[RESIDENT_FIELD])
    return pages * os.sysconf("SC_PAGE_SIZE") / BYTES_PER_MEGABYTE


def _open_descriptors() -> float:
    return float(len(os.listdir(DESCRIPTORS_PATH)))
