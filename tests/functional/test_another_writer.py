"""Deployed nodes while another program writes among the entries of the endpoints."""

import asyncio
import random
import unittest
from collections.abc import Callable
from contextlib import suppress

from beamloom.platform.store_objects import BACKENDS_KIND, CONFIGURATION_KIND
from beamloom.routing.tokens.records import BackendState
from beamloom.standins.another_writer import make_content
from beamloom.standins.token_client import FlowPlan, FlowState
from beamloom.standins.token_store import NoSuchObjectError
from tests.functional.token_node_case import TokenNodeCase

SEEDS = (47, 48)
WRITE_SECONDS = 0.2
FOREIGN_NAMES = ("i-0badbad1", "i-0badbad2", "x-00000001", "\ud800-1")
DRAIN_SECONDS = 3.0
"""Within this time a node has to follow each change of the list."""
START_SECONDS = 4.0
"""Longer than a start of a node that a store answers."""


class AnotherWriterTest(TokenNodeCase):
    """Guards against an entry that ends nodes or keeps them from following the others.

    Each write has another generated content, and other nodes and endpoints start, drain and go
    meanwhile.
    """

    network = "127.61.42"

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        for number in (1, 2, 3):
            self.add_endpoint(number)
        self.configure(1, "tracker")
        for number in (1, 2):
            self.start_node(number)
            await self.wait_until_ready(number)

    async def write_entries(self, rng: random.Random) -> None:
        """Write foreign entries until cancelled, then remove them."""
        record = self.endpoints[0].model.name
        entry = self.store.store.read(BACKENDS_KIND, record).content
        assert isinstance(entry, dict)
        try:
            while True:
                name = rng.choice(FOREIGN_NAMES)
                self.store.store.put(BACKENDS_KIND, name, make_content(entry, rng))
                self.store.store.put(CONFIGURATION_KIND, "other", make_content({"version": 9}, rng))
                self.store.note_change()
                await asyncio.sleep(WRITE_SECONDS)
        finally:
            for name in FOREIGN_NAMES:
                with suppress(NoSuchObjectError):
                    self.store.store.remove(BACKENDS_KIND, name)
            self.store.note_change()

    def count(self, number: int, **fields: object) -> int:
        """Return how many lines of a node's log have these fields."""
        return sum(fields.items() <= line.items() for line in self.lines(number))

    async def wait_for(self, what: str, number: int, **fields: object) -> None:
        await self.wait_until(
            self.is_logged(number, fields), DRAIN_SECONDS, f"node-{number}: {what}"
        )

    def is_logged(self, number: int, fields: dict[str, object]) -> Callable[[], bool]:
        return lambda: self.count(number, **fields) > 0

    async def test_nodes_stay_up_and_follow_the_other_entries(self) -> None:
        for seed in SEEDS:
            with self.subTest(seed=seed):
                writer = asyncio.create_task(self.write_entries(random.Random(seed)))
                await self.change_everything(10 * seed)
                writer.cancel()
                await asyncio.gather(writer, return_exceptions=True)

    async def change_everything(self, first_number: int) -> None:
        port = 2000 + first_number
        flow = self.new_flow(port, FlowPlan(requests=12, pause_seconds=0.3))
        played = asyncio.create_task(self.play(1, [flow], seconds=40.0))
        added = self.add_endpoint(first_number % 40 + 5)
        for number in (1, 2):
            await self.wait_for("an endpoint starts", number, backend=added.model.name)
        self.announce(added, "tracker", BackendState.DRAINING)
        for number in (1, 2):
            await self.wait_for(
                "an endpoint drains", number, backend=added.model.name, state="draining"
            )
        self.store.store.remove(BACKENDS_KIND, added.model.name)
        self.store.note_change()
        for number in (1, 2):
            await self.wait_for(
                "an endpoint goes", number, backend=added.model.name, event="BackendGone"
            )
        self.start_node(3)
        await self.wait_until_ready(3, seconds=START_SECONDS)
        await played
        self.assertIs(flow.state, FlowState.DONE, self.logs())
        flows = [self.new_flow(port + number) for number in range(1, 20)]
        await self.play(3, flows)
        self.assertEqual({flow.state for flow in flows}, {FlowState.DONE})
        self.end_node(self.nodes.pop("node-3"))
        for name, node in self.nodes.items():
            self.assertIsNone(node.poll(), f"{name} ended: {self.logs()}")
        self.assertGreater(
            self.count(1, event="ObjectUnreadable") + self.count(2, event="ObjectUnreadable"), 0
        )


if __name__ == "__main__":
    unittest.main()
