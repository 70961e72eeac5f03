"""A delta of a peer that ends within a long text, decoded in a process of its own."""

import unittest

from tests.functional.bare_program import run_bare

DECODE_TRUNCATED = """
from beamloom.node.view_codecs import BACKEND_CODEC
truncated = b"{" + bytes(8).replace(bytes(1), b"s") + b"x" * 100_000
kept = []
for _ in range(200):
    try:
        BACKEND_CODEC.decode(truncated)
    except ValueError:
        pass
    kept = [bytearray(70_000) for _ in range(3)]
print("decoded")
"""


class TruncatedDeltaTest(unittest.TestCase):
    def test_it_does_not_corrupt_the_memory_of_the_process(self) -> None:
        """Guards against decoders of CBOR that write beyond their buffer for such a text."""
        self.assertEqual(run_bare(DECODE_TRUNCATED).strip(), "decoded")


if __name__ == "__main__":
    unittest.main()
