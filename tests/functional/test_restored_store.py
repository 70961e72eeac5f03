"""Real nodes and a store that comes back from an older copy: what they wrote, and hear."""

import asyncio
import signal
from pathlib import Path

from beamloom.platform.store_objects import (
    BACKENDS_KIND,
    SECRETS_KIND,
    TOKEN_SECRET_NAME,
)
from beamloom.routing.tokens.records import BackendState
from beamloom.standins.token_client import FlowPlan, FlowState
from beamloom.standins.token_store import NoSuchObjectError
from tests.functional.token_node_case import TokenNodeCase

LONG = FlowPlan(requests=6, rest_seconds=0.5)
OTHER_SECRET = {"key": "0f" * 16}
LATE_NEIGHBOUR_SECONDS = 1.0
"""Of a start of some 0.3 s: longer than a node waits that may be the first of all."""


class RestoredStoreTest(TokenNodeCase):
    network = "127.61.40"
    has_started_before = False

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.add_endpoint(1)
        self.add_endpoint(2)
        self.configure(3, "tracker")
        self.before = self.store.store.copy()

    def write_settings(self, number: int) -> Path:
        path = super().write_settings(number)
        if self.has_started_before:
            path.write_text(f"bootstrap = false\n{path.read_text()}")
        return path

    async def start_two(self) -> None:
        for number in (1, 2):
            self.start_node(number)
        for number in (1, 2):
            await self.wait_until_ready(number)
            await self.wait_for_line(number, "SecretKnown")
        await asyncio.sleep(1.5)

    async def restore(self) -> None:
        """Let the store be away for a moment and come back as it was before any node ran."""
        self.store.faults.unavailable = True
        await asyncio.sleep(0.5)
        self.store.store.restore(self.before)
        self.store.faults.unavailable = False
        self.store.note_change()

    async def drain_after_restore(self) -> None:
        """Let the store lose a dozen versions, and a backend drain below the known revision."""
        await self.start_two()
        for version in range(4, 16):
            self.configure(version, "tracker")
        await asyncio.sleep(1.5)
        await self.restore()
        await asyncio.sleep(2.0)
        self.announce(self.endpoints[0], "tracker", BackendState.DRAINING)

    def secret(self) -> object:
        try:
            return self.store.store.read(SECRETS_KIND, TOKEN_SECRET_NAME).content
        except NoSuchObjectError:
            return None

    async def test_the_fleets_secret_is_there_again_and_who_starts_has_the_same(self) -> None:
        await self.start_two()
        held = self.secret()
        await self.restore()
        await self.wait_until(lambda: self.secret() == held, 6.0, "the secret is not there again")
        self.start_node(3)
        await self.wait_until_ready(3)
        flows = [self.new_flow(2000 + number, LONG) for number in range(4)]
        early = asyncio.create_task(self.play(1, flows, 12.0))
        await asyncio.sleep(0.8)
        early.cancel()
        await asyncio.wait({early})
        await self.play(3, flows, 12.0)
        self.assertEqual({flow.state for flow in flows}, {FlowState.DONE})

    async def test_who_starts_before_it_is_there_again_asks_its_neighbours(self) -> None:
        await self.start_two()
        held = self.secret()
        second = self.nodes["node-2"]
        second.kill()
        second.wait()
        self.store.faults.refused_hosts.add(f"{self.network}.1")
        await self.restore()
        self.start_node(2)
        await self.wait_until_ready(2)
        await self.wait_until(lambda: self.secret() == held, 6.0, "another secret was made")
        await self.wait_for_line(2, "SecretKnown")
        sources = [line["source"] for line in self.lines(2) if line["event"] == "SecretKnown"]
        self.assertEqual(sources[-1], "peer")

    async def test_who_starts_then_and_hears_its_neighbours_late_makes_no_other(self) -> None:
        """Told on a page, on no list: two secrets for about a second, and packets dropped.

        A node made another secret where no neighbour had answered within 0.15 s of a start, though
        its settings tell that the fleet has started before, and so had one.
        """
        await self.start_two()
        held = self.secret()
        first, second = self.nodes["node-1"], self.nodes["node-2"]
        second.kill()
        second.wait()
        first.send_signal(signal.SIGSTOP)
        self.has_started_before = True
        await self.restore()
        self.start_node(2)
        await asyncio.sleep(LATE_NEIGHBOUR_SECONDS)
        first.send_signal(signal.SIGCONT)
        await self.wait_until_ready(2)
        await self.wait_for_line(2, "SecretKnown")
        await self.wait_until(lambda: self.secret() is not None, 6.0, "there is no secret")
        self.assertEqual(self.secret(), held)
        self.assertNotIn("SecretChanged", self.logs())

    async def test_another_secret_that_is_there_first_holds_and_open_flows_go_on(self) -> None:
        await self.start_two()
        flows = [self.new_flow(2000 + number, LONG) for number in range(4)]
        playing = asyncio.create_task(self.play(1, flows, 15.0))
        await asyncio.sleep(0.8)
        self.store.store.restore(self.before)
        self.store.store.put(SECRETS_KIND, TOKEN_SECRET_NAME, OTHER_SECRET)
        self.store.note_change()
        for number in (1, 2):
            await self.wait_for_line(number, "SecretChanged", 8.0)
        await playing
        self.assertEqual({flow.state for flow in flows}, {FlowState.DONE})
        self.assertEqual(self.secret(), OTHER_SECRET)
        flows = [self.new_flow(2100 + number) for number in range(4)]
        await self.play(2, flows)
        self.assertEqual({flow.state for flow in flows}, {FlowState.DONE})
        await asyncio.sleep(2.0)
        self.announce(self.endpoints[0], "tracker", BackendState.DRAINING)
        for number in (1, 2):
            await self.wait_until(lambda number=number: self.is_draining(number), 2.5)

    async def test_what_is_written_below_the_known_revision_is_heard(self) -> None:
        await self.drain_after_restore()
        self.configure(17, "tracker")
        for number in (1, 2):
            await self.wait_until(lambda number=number: self.is_draining(number), 2.5)
            await self.wait_until(lambda number=number: self.version(number) == 17, 2.5)
        self.assertNotIn("OlderList", self.logs())

    async def test_a_store_that_does_not_tell_its_era_is_followed_all_the_same(self) -> None:
        self.store.tells_era = False
        await self.drain_after_restore()
        for number in (1, 2):
            await self.wait_until(lambda number=number: self.is_draining(number), 2.5)

    async def test_other_writers_entries_cost_nobody_anything(self) -> None:
        await self.start_two()
        host, port = self.endpoints[0].address
        entries: list[object] = [
            "garbage",
            None,
            {"service": 3},
            {**self.entry(1), "address": "nowhere:80"},
            {**self.entry(1), "service": "unheard-of", "address": f"{host}:{port}"},
            {**self.entry(1), "state": "parked"},
        ]
        for number, entry in enumerate(entries):
            self.store.store.put(BACKENDS_KIND, f"i-{0xF00 + number:08x}", entry)
        self.store.note_change()
        await asyncio.sleep(1.0)
        self.start_node(3)
        await self.wait_until_ready(3)
        for node in (1, 3):
            flows = [self.new_flow(2000 + 10 * node + number) for number in range(8)]
            await self.play(node, flows)
            self.assertEqual({flow.state for flow in flows}, {FlowState.DONE})
        self.assertGreater(sum(bool(endpoint.model.openings) for endpoint in self.endpoints), 1)

    def entry(self, number: int) -> dict[str, object]:
        content = self.store.store.read(BACKENDS_KIND, f"i-{number:08x}").content
        assert isinstance(content, dict)
        return content

    def is_draining(self, number: int) -> bool:
        return any(
            line["event"] == "BackendChanged" and line["state"] == "draining"
            for line in self.lines(number)
        )

    def version(self, number: int) -> object:
        versions = [
            line["version"]
            for line in self.lines(number)
            if line["event"] == "ConfigurationInForce"
        ]
        return versions[-1]
