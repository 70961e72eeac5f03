"""All nodes start during an evacuation, and the store goes silent: they must still apply it.

Seeds list evacuations when they start. If each node left that to its peers, none would know of the
evacuation until readers are elected.
"""

import asyncio

from beamloom.platform.store_objects import EVACUATIONS_KIND
from tests.functional.token_node_case import TokenNodeCase

NODES = (1, 2, 3, 4)
PROPAGATION_SECONDS = 1.5
"""Enough for nodes that became ready together to join each other without the store."""


class EvacuationAtStartTest(TokenNodeCase):
    network = "127.61.32"
    bounds = {"evacuate-ms": 5000}

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.add_endpoint(1)
        self.configure(1, "tracker")
        self.store.store.put(EVACUATIONS_KIND, "west", {})
        self.store.note_change()

    async def test_all_nodes_apply_it_although_the_store_goes_silent(self) -> None:
        for number in NODES:
            self.start_node(number)
        await asyncio.gather(*(self.wait_until_ready(number) for number in NODES))
        self.store.faults.silent = True
        for number in NODES:
            await self.wait_for_line(number, "ZoneEvacuation", PROPAGATION_SECONDS)
