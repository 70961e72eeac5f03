"""Opening many flows must cause no full garbage collection.

A full collection traverses all flows, delays packets meanwhile and frees nothing.
"""

import unittest

from tests.functional.bare_program import run_bare

FLOW_COUNT = 30_000
OPEN_FLOWS = f"""
from beamloom.runtime.token_node_main import _no_collections, load_node
with _no_collections():
    load_node()
from tests.unit.tokens.builders import backend, make_router, opening
import gc
router = make_router(*(backend(number) for number in range(1, 40)))
full = []
gc.callbacks.append(lambda phase, info: full.append(phase) if info["generation"] == 2 else None)
for client in range({FLOW_COUNT}):
    router.handle(opening(client), 1.0 + client / 10_000)
print(len(router.flows), len(full))
"""


class CollectionsTest(unittest.TestCase):
    def test_opening_flows_causes_no_full_collection(self) -> None:
        flows, collections = run_bare(OPEN_FLOWS).split()
        self.assertGreater(int(flows), FLOW_COUNT // 2)
        self.assertEqual(int(collections), 0)
