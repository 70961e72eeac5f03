"""Answers of the store that hold an entry of another writer, as a deployed node reads them."""

import os
import random
import time
import unittest

from beamloom.platform.store_objects import read_page, translate_backend
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
MAXIMUM_SECONDS = 3.0
"""Linear time takes a fraction of this, and quadratic time far more."""
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

def read(kind, is_list, body):
    translate = TRANSLATORS[kind]
    if is_list:
        page = read_page(body, 1, translate)
        store_objects.list_path(kind, ListRequest(page.last_name))
        answers.append((kind, page.records))
        return page.records, (page.more, page.revision)
    batch = read_changes(body, 1, translate)
    answers.append((kind, batch.changes))
    return batch.changes, (batch.revision,)

def compare(kind, is_list, is_readable, damaged, clean):
    entries, rest = read(kind, is_list, damaged)
    found = tuple(entry for entry in entries if entry.name.startswith(GOOD)), rest
    expected = read(kind, is_list, clean)
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
    kind, is_list, is_readable, damaged, clean = line.split()
    forget_imports()
    try:
        bodies = (bytes.fromhex(damaged), bytes.fromhex(clean))
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
    kind, is_list, is_readable, damaged, clean = answer
    return f"{kind} {is_list} {is_readable} {damaged.hex()} {clean.hex()}"


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
        """Guards against time that grows with the square of an entry's size."""
        repeated = (
            *(b"[", b"[]", b"{", b'"', b'",{', b"\xff", b" ", b", ", b"9", b"\\", b"\n"),
            *(b',{"meta":', b',{"meta":{}', b',{"meta":{"a":', b',{"meta":{"name":"i-1","a":"'),
        )
        for fragment in repeated:
            content = fragment * (MAXIMUM_ENTRY_BYTES // len(fragment))
            with self.subTest(fragment=fragment):
                began = time.process_time()
                page = read_page(list_with(content), 1, translate_backend)
                self.assertLess(time.process_time() - began, MAXIMUM_SECONDS)
                self.assertIn("i-00000001", [named.name for named in page.records])


def list_with(content: bytes) -> bytes:
    """Return a list of one foreign entry with this content, and of the usual ones after it."""
    good = b",".join(good_object("servers", number, is_list=True) for number in range(100))
    foreign = stored_object(b'"i-0badbad1"', b"6", content, is_list=True)
    return envelope([foreign, good], is_list=True)


if __name__ == "__main__":
    unittest.main()
