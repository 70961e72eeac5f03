"""Keyed hashing: flow keys, partitions, slots and rendezvous scores.

A flow key is the low 60 bits of an xxh3 hash, seeded from the fleet's hash key; a Python int of 60
bits takes only two digits. Its lowest 12 bits are the partition, the next 10 the slot.
"""

from __future__ import annotations

from typing import Any

import numpy as np
import numpy.typing as npt
import xxhash

FLOW_KEY_MASK = (1 << 60) - 1
PARTITION_BITS = 12
PARTITION_COUNT = 1 << PARTITION_BITS
PARTITION_MASK = PARTITION_COUNT - 1
SLOT_COUNT = 1024
SLOT_MASK = SLOT_COUNT - 1

Scores = npt.NDArray[np.uint64]

_MIX_INCREMENT = np.uint64(0x9E3779B97F4A7C15)
_MIX_FIRST = np.uint64(0xBF58476D1CE4E5B9)
_MIX_SECOND = np.uint64(0x94D049BB133111EB)


def flow_seed(hash_key: bytes, protocol: int) -> int:
    """Return the xxh3 seed for flows of one transport protocol."""
    return xxhash.xxh3_64_intdigest(hash_key + bytes((protocol,)))


def flow_key(hash_input: bytes, seed: int) -> int:
    """Return the 60-bit flow key; `hash_input` holds the addresses and ports."""
    return xxhash.xxh3_64_intdigest(hash_input, seed) & FLOW_KEY_MASK


def partition_of(key: int) -> int:
    """Return the partition, 0 to PARTITION_COUNT - 1, that a flow belongs to."""
    return key & PARTITION_MASK


def slot_of(key: int) -> int:
    """Return the slot, 0 to SLOT_COUNT - 1, that a flow falls into within its service."""
    return (key >> PARTITION_BITS) & SLOT_MASK


def name_seed(name: str) -> int:
    """Return a 64-bit seed for a node's or a backend's name."""
    return xxhash.xxh3_64_intdigest(name.encode())


def rendezvous_scores(item_count: int, seed: int) -> Scores:
    """Return one candidate's scores for the items 0 to item_count - 1."""
    return rendezvous_matrix(np.arange(item_count), np.uint64(seed))


def rendezvous_matrix(items: npt.NDArray[Any], seeds: Scores | np.uint64) -> Scores:
    """Return the scores of items for candidates' seeds; the two arrays are broadcast.

    The mixing function is the finalizer of splitmix64 (Steele, Lea and Flood 2014).
    """
    with np.errstate(over="ignore"):
        mixed = (items.astype(np.uint64) + np.uint64(1)) * _MIX_INCREMENT
        mixed = mixed ^ seeds
        mixed = (mixed ^ (mixed >> np.uint64(30))) * _MIX_FIRST
        mixed = (mixed ^ (mixed >> np.uint64(27))) * _MIX_SECOND
        scores: Scores = mixed ^ (mixed >> np.uint64(31))
        return scores
