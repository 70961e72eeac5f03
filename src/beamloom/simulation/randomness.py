"""Seeded random generators, one for each purpose, independent of Python's hash seed."""

from __future__ import annotations

import random

import xxhash


def derive_seed(seed: int, *purpose: str) -> int:
    """Return a 64-bit seed for a named purpose of the run with `seed`."""
    return xxhash.xxh3_64_intdigest("/".join((str(seed), *purpose)).encode())


def random_stream(seed: int, *purpose: str) -> random.Random:
    """Return a new generator for a named purpose; draws from it do not affect other purposes."""
    return random.Random(derive_seed(seed, *purpose))
