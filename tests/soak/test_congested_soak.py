"""A short soak in which answers to nodes are delayed or lost while backends live."""

from tests.soak.kept_soak import KeptSoakCase

SECONDS = 30.0
NODES = 4
SEED = 41
MINIMUM_FLOWS = 200


class CongestedSoakTest(KeptSoakCase):
    def test_congestion_breaks_no_flow_of_a_living_backend(self) -> None:
        result = self.run_soak(SEED, SECONDS, NODES, congests=True)
        self.assertGreater(result.flows["done"], MINIMUM_FLOWS)
