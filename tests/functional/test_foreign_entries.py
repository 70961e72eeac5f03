"""Answers of the store that hold an entry of another writer, as a deployed node reads them."""

import os
import random
import time
import unittest
from collections.abc import Iterator

from beamloom.platform.store_objects import read_changes, read_page, translate_backend
from beamloom.replication.object_watch import ChangeBatch, ListPage
from tests.functional.bare_program import run_bare
from tests.functional.foreign_entries import (
    Answer,
    envelope,
    good_object,
    make_answer,
    stored_object,
)

CASES = int(os.environ.get("BEAMLOOM_FOREIGN_CASES", "1500"))
SEED = int(os.environ.get("BEAMLOOM_FOREIGN_SEED", "47"))
MAXIMUM_ENTRY_BYTES = 1 << 20
"""The largest object that the platform's store accepts."""
MAXIMUM_SECONDS = 0.5
"""Routers ask a node whether it is ready twice a second; a node may miss one such question."""
MAXIMUM_GROWTH = 3.0
"""Twice the bytes take twice the time if it is linear, and four times if it is quadratic."""
NEGLIGIBLE_SECONDS = 0.02
PROGRAM = """
MAXIMUM_DELTA_BYTES = 4000  # of five entries, each much shorter than a datagram
from beamloom.runtime.start import load
load()
import sys
from beamloom.platform import store_objects
from beamloom.platform.store_objects import read_changes, read_page
from beamloom.replication.object_watch import ListRequest
TRANSLATORS = {
    "servers": store_objects.translate_backend,
    "config": store_objects.translate_configuration,
    "evacuations": store_objects.translate_evacuation,
}
GOOD = ("i-0000000", "main", "zone-")

answers = []

def read(kind, is_list, body, listed, rest):
    translate = TRANSLATORS[kind]
    if not is_list:
        batch = read_changes(body, 1, translate)
        if not batch.is_cut:
            answers.append((kind, batch.changes))
            return batch.changes, batch.revision
        body = listed
    page = read_page(body, 1, translate)
    records, revision = page.records, page.revision
    if page.more:
        store_objects.list_path(kind, ListRequest(page.last_name))
        page = read_page(rest, 1, translate)
        records += page.records
    assert (page.more, page.revision) == (False, revision), "the rest is incomplete"
    answers.append((kind, records))
    return records, revision

def compare(kind, is_list, is_readable, damaged, clean, listed, rest):
    entries, upto = read(kind, is_list, damaged, listed, rest)
    found = tuple(entry for entry in entries if entry.name.startswith(GOOD)), upto
    expected = read(kind, is_list, clean, clean, clean)
    if found != expected:
        return f"{found} is not {expected}"
    others = [entry.record for entry in entries if not entry.name.startswith(GOOD)]
    # An evacuation holds whatever its content is.
    if is_readable or kind == "evacuations" or not any(others):
        return "same"
    return f"an unreadable entry names {others}"

def forget_imports():
    # So that each answer finds the modules of a node that has read no damaged one before.
    sys.modules.pop("beamloom.replication.answer_recovery", None)
    for name in [name for name in sys.modules if name.partition(".")[0] == "json"]:
        del sys.modules[name]

for line in sys.stdin:
    kind, is_list, is_readable, *texts = line.split()
    forget_imports()
    try:
        bodies = map(bytes.fromhex, texts)
        print(ascii(compare(kind, is_list == "True", is_readable == "True", *bodies)).strip("'"))
    except Exception as error:
        print(ascii(f"{type(error).__name__}: {error}"[:300]))

# A node imports what it tells its peers with only now.
from beamloom.model.store_revision import revision_in_era
from beamloom.node.view_codecs import BACKEND_CODEC, EVACUATION_CODEC, ConfigurationCodec
from beamloom.protocol.view_messages import NEVER
from beamloom.replication.store_view import EVERYTHING, ObjectChange, ViewDelta
from beamloom.routing.tokens.configuration_history import ConfigurationHistory
CODECS = {
    "servers": BACKEND_CODEC,
    "config": ConfigurationCodec(ConfigurationHistory()),
    "evacuations": EVACUATION_CODEC,
}
for kind, entries in answers:
    changes = tuple(ObjectChange(*entry) for entry in entries)
    delta = ViewDelta(EVERYTHING, revision_in_era(1, 530), changes)
    try:
        encoded = CODECS[kind].encode(delta, NEVER)
        is_same = CODECS[kind].decode(encoded).changes == changes
        is_short = len(encoded) < MAXIMUM_DELTA_BYTES
        print("same" if is_same and is_short else ascii(f"{len(encoded)} bytes, {is_same}"))
    except Exception as error:
        print(ascii(f"{type(error).__name__}: {error}"[:300]))
"""


def encode(answer: Answer) -> str:
    kind, is_list, is_readable, *bodies = answer
    return " ".join([kind, str(is_list), str(is_readable), *(body.hex() for body in bodies)])


class ForeignEntryTest(unittest.TestCase):
    """Guards against one entry that takes others with it, or the process that reads it.

    The environment may set BEAMLOOM_FOREIGN_CASES and BEAMLOOM_FOREIGN_SEED.
    """

    def test_it_names_nothing_and_the_others_are_read_as_without_it(self) -> None:
        rng = random.Random(SEED)
        answers = [make_answer(rng) for _ in range(CASES)]
        printed = run_bare(PROGRAM, "\n".join(map(encode, answers))).splitlines()
        for answer, line in zip(answers, printed, strict=False):
            with self.subTest(answer=answer.damaged[:300]):
                self.assertEqual(line, "same")
        to_peers = printed[CASES:]
        self.assertEqual(set(to_peers), {"same"}, "encoded for peers")
        self.assertGreaterEqual(len(to_peers), CASES)

    def test_the_largest_entry_costs_little_time(self) -> None:
        """Guards against an entry that holds up a node, by time that grows with its square."""
        for content in large_contents(MAXIMUM_ENTRY_BYTES):
            with self.subTest(content=content[:40]):
                whole = self.seconds_to_read(content)
                self.assertLess(whole, MAXIMUM_SECONDS)
                half = self.seconds_to_read(content[: MAXIMUM_ENTRY_BYTES // 2])
                self.assertLess(whole, MAXIMUM_GROWTH * half + NEGLIGIBLE_SECONDS)

    def seconds_to_read(self, content: bytes) -> float:
        """Return the processor time to read an entry with this content in a list and in changes."""
        readers = ((True, read_page), (False, read_changes))
        bodies = [answer_with(content, is_list=is_list) for is_list, _ in readers]
        began = time.process_time()
        page, batch = (
            read(body, 1, translate_backend)
            for (_, read), body in zip(readers, bodies, strict=True)
        )
        seconds = time.process_time() - began
        assert isinstance(page, ListPage)
        assert isinstance(batch, ChangeBatch)
        is_whole = [named.name for named in page.records] == ["i-00000002"]
        self.assertTrue(is_whole or (page.more, page.last_name) == (True, "i-0badbad1"))
        self.assertTrue(batch.is_cut or len(batch.changes) == 2)
        return seconds


def large_contents(size_bytes: int) -> Iterator[bytes]:
    """Yield contents of a size that repeat a part, or begin a long value."""
    repeated = (
        *(b"[", b"[]", b"[1,", b"{", b'{"a":', b'"', b'",{', b"\xff", b" ", b", ", b"9", b"0"),
        *(b"-", b"\\", b"\n", b"\x01", b'""', b'"\\"', b"true", b"}", b"]", b"},{", b'","'),
        *(b',{"meta":', b',{"meta":{}', b',{"meta":{"a":', b',{"meta":{"name":"i-1","a":"'),
        *(b', {"meta": {\\"', b',{"gone":true,"object":{"meta":{"name":"i-1"},'),
        good_object("servers", 1, is_list=True) + b",",
        good_object("servers", 1, is_list=False) + b",",
    )
    beginnings = (b"", b'"', b"[", b'{"service": "x"" ', b"1e", b"0.", b'{"slots":')
    for part in repeated:
        for beginning in beginnings:
            yield (beginning + part * (size_bytes // len(part) + 1))[:size_bytes]


def answer_with(content: bytes, *, is_list: bool) -> bytes:
    """Return an answer with a foreign entry with this content, and a usual one after it."""
    good = good_object("servers", 1, is_list=is_list)
    foreign = stored_object(b'"i-0badbad1"', b"6", content, is_list=is_list)
    return envelope([foreign, good], is_list=is_list)


if __name__ == "__main__":
    unittest.main()
