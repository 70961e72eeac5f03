"""Answers of a store in which one entry was written by another program."""

import json
import random
from collections.abc import Iterable
from typing import NamedTuple

from beamloom.standins.another_writer import ODD_VALUES, damage, is_json, with_odd_field

GOOD_ENTRY = {
    "service": "tracker",
    "address": "10.0.0.9:8080",
    "zone": "laucala",
    "version": "v1",
    "slots": 2,
    "state": "ready",
    "warmup-left-ms": 0,
    "sequence": 4,
    "born": 17,
}
GOOD_CONFIGURATION = {
    "version": 7,
    "routes": [{"name": "r", "hostname": "198.18.0.1", "path-prefix": "/443/", "service": "a"}],
    "services": [{"name": "a", "warmup-s": 3, "warmup-per-s": 2}],
    "limits": {"idle-timeout-ms": 9000},
}
TEXT_NAMES = (b'"i-0badbad1"', b'"other"', b'"\\ud800-1"', b'"i-\xff"', b'"\xff\xfe\xfd"')
NAMES: tuple[bytes, ...] = (*TEXT_NAMES, *filter(is_json, ODD_VALUES))
"""What stands for the name of an object; the store accepts only texts, and writes them as JSON."""


class Answer(NamedTuple):
    """The answer to a list (`is_list`) or a watch, with and without the entry of another writer.

    If that entry `is_readable`, it may name an object; else it must not. `listed` is the list with
    that entry, and `rest` the list of what comes after it.
    """

    kind: str
    is_list: bool
    is_readable: bool
    damaged: bytes
    clean: bytes
    listed: bytes
    rest: bytes


def make_answer(rng: random.Random) -> Answer:
    """Return an answer in which one entry holds random bytes, types, depths or numbers."""
    kind = rng.choice(("servers", "servers", "config", "evacuations"))
    is_list = rng.random() < 0.5
    good = range(1 if kind == "config" else rng.randint(1, 4))
    name, content = _foreign_object(kind, rng)
    position = rng.randint(0, len(good))

    def answer(before: Iterable[int], after: Iterable[int], *, is_list: bool) -> bytes:
        foreign = stored_object(name, b"6", content, is_list=is_list)
        first, last = (
            [good_object(kind, n, is_list=is_list) for n in ns] for ns in (before, after)
        )
        return envelope([*first, foreign, *last], is_list)

    def without(numbers: Iterable[int], *, is_list: bool) -> bytes:
        return envelope([good_object(kind, n, is_list=is_list) for n in numbers], is_list)

    before, after = good[:position], good[position:]
    return Answer(
        kind,
        is_list,
        is_json(stored_object(name, b"6", content, is_list=is_list)),
        answer(before, after, is_list=is_list),
        without(good, is_list=is_list),
        answer(before, after, is_list=True),
        without(after, is_list=True),
    )


def envelope(entries: list[bytes], is_list: bool) -> bytes:
    """Return the answer to a list or a watch."""
    if is_list:
        return b'{"items":[' + b",".join(entries) + b'],"more":false,"at":530}'
    return b'{"events":[' + b",".join(entries) + b'],"at":530}'


def stored_object(name: bytes, revision: bytes, content: bytes, *, is_list: bool) -> bytes:
    """Return an object as the store sends it, or a change that holds it."""
    meta = b'{"name":' + name + b',"revision":' + revision + b',"made":3,"finalizers":[]}'
    stored = b'{"meta":' + meta + b',"spec":' + content + b',"status":null}'
    return stored if is_list else b'{"gone":false,"object":' + stored + b"}"


def good_object(kind: str, number: int, *, is_list: bool) -> bytes:
    """Return an object of a kind, with a number of its own."""
    if kind == "config":
        name, content = "main", GOOD_CONFIGURATION
    elif kind == "evacuations":
        name, content = f"zone-{number}", {}
    else:
        name, content = f"i-{number + 1:08x}", {**GOOD_ENTRY, "address": f"10.0.0.{number}:80"}
    text = json.dumps(content).encode()
    return stored_object(f'"{name}"'.encode(), str(number + 5).encode(), text, is_list=is_list)


def _foreign_object(kind: str, rng: random.Random) -> tuple[bytes, bytes]:
    """Return a name and a content of which one is odd; the store adds the rest."""
    name = rng.choice(NAMES) if rng.random() < 0.3 else NAMES[0]
    template = GOOD_CONFIGURATION if kind == "config" else GOOD_ENTRY
    content = json.dumps(template).encode()
    way = rng.random()
    if way < 0.4:
        content = with_odd_field({**template, "further": 1}, rng)
    elif way < 0.7:
        content = damage(content, rng)
    elif way < 0.85:
        content = rng.choice(ODD_VALUES)
    elif way < 0.95:
        content = copy_of_list(kind, rng)
    else:
        content = rng.randbytes(rng.randint(0, 40))
    if not is_json(content) and name not in TEXT_NAMES:
        name = TEXT_NAMES[0]
    return name, content


def copy_of_list(kind: str, rng: random.Random) -> bytes:
    """Return a list that is cut off, as a tool leaves it that ends while it keeps a copy."""
    numbers = range(90, 90 + rng.randint(1, 5))
    whole = envelope([good_object(kind, number, is_list=True) for number in numbers], True)
    return whole[: rng.randint(0, len(whole))]
