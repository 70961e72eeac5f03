"""The substitute for `json.loads` in a process that has loaded no more modules than a node."""

import json
import random
import unittest

from beamloom.standins.another_writer import damage
from tests.functional.bare_program import run_bare

CASES = 300
VALID = b' {"name": "caf\xc3\xa9", "at": [1, 2.5, -3e4, true, null, "\\u00e9\\n"], "b": {}} '
PROGRAM = """
from beamloom.runtime.start import load
load()
import sys
from beamloom.runtime.light_modules import load_json
for line in sys.stdin:
    text = bytes.fromhex(line)
    assert "json.decoder" not in sys.modules
    try:
        print(ascii(load_json(text)))
    except Exception as error:
        print(ascii(f"{type(error).__name__}: {error}"))
    for name in [name for name in sys.modules if name.partition(".")[0] == "json"]:
        del sys.modules[name]
"""


def outcome(text: bytes) -> str:
    try:
        return ascii(json.loads(text))
    except Exception as error:
        return ascii(f"{type(error).__name__}: {error}")


class BareProcessTest(unittest.TestCase):
    """Guards against errors that appear only where `json.decoder` is not loaded."""

    def test_any_text_has_the_same_outcome_as_with_json(self) -> None:
        rng = random.Random(47)
        texts = [damage(VALID, rng) for _ in range(CASES)]
        printed = run_bare(PROGRAM, "\n".join(text.hex() for text in texts)).splitlines()
        for text, line in zip(texts, printed, strict=True):
            with self.subTest(text=text[:200]):
                self.assertEqual(line, outcome(text))


if __name__ == "__main__":
    unittest.main()
