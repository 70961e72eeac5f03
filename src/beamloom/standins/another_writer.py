"""Entries of another program among those of the endpoints in the platform's store.

They name no endpoint: a field has a value beyond its type, range or size, or the bytes are not
JSON at all. The store returns them as they were written.
"""

from __future__ import annotations

import json
import random
from collections.abc import Mapping

ODD_VALUES: tuple[bytes, ...] = (
    b"null",
    b"true",
    b"-1",
    b"1e999",
    b"NaN",
    b"9" * 400,
    b"9" * 5000,
    b"[]",
    b"{}",
    b'""',
    b'"\\ud800"',
    b'"\xff\xfe\xfd"',
    b'"v\x01"',
    b'"x\\n"',
    b'"' + b"x" * 3000 + b'"',
    b'"unclosed',
    b'v"1"',
    b"[" * 1200 + b"]" * 1200,
    b"[" * 800 + b"]" * 800,
    b'{"a":' * 1200 + b"1" + b"}" * 1200,
    b"[" * 5000,
    b"}]}",
    b"",
)
"""Values that no field of an entry may have, by type, range, size or syntax."""
ODD_ADDRESSES = (b'"10.0.0.9:70000"', b'"10.0.0.9:0"', b'"10.0.0.9:' + b"9" * 5000 + b'"')
"""Addresses whose port is out of range."""
FRAGMENTS: tuple[bytes, ...] = (
    *(bytes((byte,)) for byte in b'\x00\x01\x7f"\\[]{},:'),
    b"\xff\xfe",
    b"\xc3",
    b"\xed\xa0\x80",
    b"\\u12",
    b"\\ud800",
    b"tru",
    b"-0",
    b"1e999",
    b"9" * 401,
    b"9" * 5000,
    b"[" * 1200 + b"]" * 1200,
    b"[" * 100_000,
    b'{"a":' * 1200 + b"1" + b"}" * 1200,
)
"""What random damage inserts, besides random bytes."""
LOOK_ALIKES: tuple[bytes, ...] = (
    b', {"meta": {\\"',
    b',{"meta":{"name":"i-0badbad8","revision":9},"spec":',
    b',"status":null},{"meta":{"name":"i-0badbad9","revision":9},"spec":{"service":"',
    b',{"gone":true,"object":{"meta":{"name":"i-0badbad9"},',
)
"""Parts of what a store writes around an entry, as a copy of its answer holds them."""
LARGE_SHARE = 0.05
LARGE_ENTRY_BYTES = 1 << 19
"""Half of the largest object that the platform's store accepts."""


def damage(data: bytes, rng: random.Random) -> bytes:
    """Return data with a few random cuts and insertions."""
    for _ in range(rng.randint(1, 3)):
        begin = rng.randint(0, len(data))
        end = min(len(data), begin + rng.choice((0, 0, 1, 5)))
        inserted = rng.choice(FRAGMENTS) if rng.random() < 0.7 else rng.randbytes(3)
        data = data[:begin] + inserted + data[end:]
    return data


def with_odd_field(entry: Mapping[str, object], rng: random.Random) -> bytes:
    """Return the JSON of an entry in which one field has an odd value."""
    field = rng.choice(list(entry))
    values = (*ODD_VALUES, *ODD_ADDRESSES) if field == "address" else ODD_VALUES
    text = json.dumps({**entry, field: "@"}).encode()
    return text.replace(b'"@"', rng.choice(values), 1)


def make_content(entry: Mapping[str, object], rng: random.Random) -> bytes:
    """Return a copy of an entry that names no endpoint any more; a few are large."""
    if rng.random() < 0.5:
        return with_odd_field(entry, rng)
    content = json.dumps(entry).encode()
    if rng.random() < LARGE_SHARE:
        part = rng.choice((*LOOK_ALIKES, *FRAGMENTS))
        content = content[: rng.randint(0, 20)] + part * (LARGE_ENTRY_BYTES // len(part))
    elif rng.random() < LARGE_SHARE:
        content = content[:-1] + rng.choice(LOOK_ALIKES) + content[rng.randint(0, 20) :]
    while is_json(content):
        content = damage(content, rng)
    return content


def is_json(data: bytes) -> bool:
    """Whether bytes are JSON in UTF-8, as far as a decoder reads it."""
    try:
        json.loads(data.decode())
    except (ValueError, RecursionError):
        return False
    return True
