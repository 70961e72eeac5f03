"""Gradual import: complete, and with a turn of the event loop between any two modules."""

import asyncio
import unittest

from beamloom.runtime.gradual_import import PEER_MODULES, import_gradually
from tests.functional.bare_program import run_bare

LIST_OTHER_IMPORTS = """
import asyncio, random, sys
from beamloom.runtime.token_node_main import load_node
load_node()
from beamloom.runtime.gradual_import import import_gradually
asyncio.run(import_gradually())
before = set(sys.modules)
from beamloom.node.view_codecs import BACKEND_CODEC, ConfigurationCodec
from beamloom.replication.peer_table import PeerTable
from beamloom.replication.secret_exchange import SecretResponder
from beamloom.replication.shared_view import SharedView
from beamloom.replication.view_exchange import ViewExchange
from beamloom.runtime.peer_link import PeerLink
print(' '.join(set(sys.modules) - before))
"""


class GradualImportTest(unittest.IsolatedAsyncioTestCase):
    async def test_the_loop_has_a_turn_between_any_two_modules(self) -> None:
        turns = 0

        async def count_turns() -> None:
            nonlocal turns
            while True:
                turns += 1
                await asyncio.sleep(0)

        counting = asyncio.create_task(count_turns())
        await import_gradually(["json", "decimal", "fractions"])
        counting.cancel()
        self.assertGreaterEqual(turns, 3)

    def test_the_peer_exchange_imports_no_other_module(self) -> None:
        self.assertEqual(run_bare(LIST_OTHER_IMPORTS).split(), [])

    def test_each_module_is_listed_once(self) -> None:
        self.assertEqual(len(set(PEER_MODULES)), len(PEER_MODULES))


if __name__ == "__main__":
    unittest.main()
