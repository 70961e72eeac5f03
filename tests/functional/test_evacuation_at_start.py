"""Nodes that all start while a zone is evacuated, and a store that falls silent just then.

What users saw: a backend that turned cold with its zone's return got 10 openings in a second, 8
allowed (soak seed 114). All nodes had been killed while the zone was evacuated; the store fell
silent 0.2 s after they had read backends and configuration. They left the first list of evacuations
to peers, none of whom knew any, until readers were elected a second later. So flows went to the
zone, and its return during the outage was heard by nobody as one.

Nodes that are seeds list evacuations when they start, as those who start ask them first. A list by
each node would cost 1.16 calls a node at a start of 195, 0.4 allowed; seeds are three.
"""

import asyncio

from beamloom.platform.store_objects import EVACUATIONS_KIND
from tests.functional.token_node_case import TokenNodeCase

NODES = (1, 2, 3, 4)
HEARD_SECONDS = 1.5
"""By then nodes have met that became ready together; without the store's answers."""


class EvacuationAtStartTest(TokenNodeCase):
    network = "127.61.32"
    bounds = {"evacuate-ms": 5000}

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.add_endpoint(1)
        self.configure(1, "tracker")
        self.store.store.put(EVACUATIONS_KIND, "west", {})
        self.store.note_change()

    async def test_all_know_of_it_though_the_store_falls_silent(self) -> None:
        for number in NODES:
            self.start_node(number)
        await asyncio.gather(*(self.wait_until_ready(number) for number in NODES))
        self.store.faults.silent = True
        for number in NODES:
            await self.wait_for_line(number, "ZoneEvacuation", HEARD_SECONDS)
