"""Builds damaged JSON, as other writers may leave it in the platform's store."""

import random

NASTY_FRAGMENTS = (
    b"\x00",
    b"\x01",
    b"\x7f",
    b"\xff\xfe",
    b"\xc3",
    b"\xed\xa0\x80",
    b'"',
    b"\\",
    b"\\u12",
    b"\\ud800",
    b"[",
    b"]",
    b"{",
    b"}",
    b",",
    b":",
    b"NaN",
    b"-Infinity",
    b"1e999",
    b"-0",
    b"tru",
    b"9" * 401,
    b"9" * 5000,
    b"[" * 1200 + b"]" * 1200,
    b"[" * 100_000,
    b'{"a":' * 1200 + b"1" + b"}" * 1200,
)
"""Bytes that no JSON text may hold there, and values beyond the usual types, depths and sizes."""


def damage(data: bytes, rng: random.Random) -> bytes:
    """Return data with a few random cuts, bytes or fragments put in."""
    for _ in range(rng.randint(1, 3)):
        begin = rng.randint(0, len(data))
        end = min(len(data), begin + rng.choice((0, 0, 1, 5)))
        inserted = rng.choice(NASTY_FRAGMENTS) if rng.random() < 0.7 else rng.randbytes(3)
        data = data[:begin] + inserted + data[end:]
    return data
