"""Real nodes and a store that is restored from an older copy: the secret, and later changes."""

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

LONG = FlowPlan(requests=6, pause_seconds=0.5)
OTHER_SECRET = {"key": "0f" * 16}
LATE_PEER_SECONDS = 1.0
"""Longer than a node of a new fleet waits for peers before it creates a secret."""


class RestoredStoreTest(TokenNodeCase):
    network = "127.61.40"
    has_started_before = False

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.add_endpoint(1)
        self.add_endpoint(2)
        self.configure(3, "tracker")
        self.copy_before_start = self.store.store.copy()

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
        """Restore the store, after a short outage, to its state before any node started."""
        self.store.faults.unavailable = True
        await asyncio.sleep(0.5)
        self.store.store.restore(self.copy_before_start)
        self.store.faults.unavailable = False
        self.store.note_change()

    async def drain_after_restore(self) -> None:
        """Lose a dozen versions in a restore, then drain a backend below the known revision."""
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

    async def test_the_secret_is_restored_and_a_new_node_uses_it(self) -> None:
        await self.start_two()
        secret_before = self.secret()
        await self.restore()
        await self.wait_until(
            lambda: self.secret() == secret_before, 6.0, "the secret was not restored"
        )
        self.start_node(3)
        await self.wait_until_ready(3)
        flows = [self.new_flow(2000 + number, LONG) for number in range(4)]
        early = asyncio.create_task(self.play(1, flows, 12.0))
        await asyncio.sleep(0.8)
        early.cancel()
        await asyncio.wait({early})
        await self.play(3, flows, 12.0)
        self.assertEqual({flow.state for flow in flows}, {FlowState.DONE})

    async def test_a_node_started_before_the_secret_is_restored_asks_a_peer(self) -> None:
        await self.start_two()
        secret_before = self.secret()
        second = self.nodes["node-2"]
        second.kill()
        second.wait()
        self.store.faults.refused_hosts.add(f"{self.network}.1")
        await self.restore()
        self.start_node(2)
        await self.wait_until_ready(2)
        await self.wait_until(
            lambda: self.secret() == secret_before, 6.0, "another secret was made"
        )
        await self.wait_for_line(2, "SecretKnown")
        sources = [line["source"] for line in self.lines(2) if line["event"] == "SecretKnown"]
        self.assertEqual(sources[-1], "peer")

    async def test_a_late_answer_of_a_peer_leads_to_no_other_secret(self) -> None:
        """A node creates no second secret if its settings say that the fleet has started before."""
        await self.start_two()
        secret_before = self.secret()
        first, second = self.nodes["node-1"], self.nodes["node-2"]
        second.kill()
        second.wait()
        first.send_signal(signal.SIGSTOP)
        self.has_started_before = True
        await self.restore()
        self.start_node(2)
        await asyncio.sleep(LATE_PEER_SECONDS)
        first.send_signal(signal.SIGCONT)
        await self.wait_until_ready(2)
        await self.wait_for_line(2, "SecretKnown")
        await self.wait_until(lambda: self.secret() is not None, 6.0, "there is no secret")
        self.assertEqual(self.secret(), secret_before)
        self.assertNotIn("SecretChanged", self.logs())

    async def test_a_secret_that_a_peer_gave_is_checked_in_the_store(self) -> None:
        """Guards against a peer's late answer, which holds a secret that has been replaced."""
        await self.start_two()
        second = self.nodes["node-2"]
        second.kill()
        second.wait()
        self.store.faults.refused_hosts.add(f"{self.network}.2")
        self.start_node(2)
        await self.wait_for_line(2, "SecretKnown")
        await self.wait_until_ready(2)
        self.store.store.put(SECRETS_KIND, TOKEN_SECRET_NAME, OTHER_SECRET)
        self.store.faults.refused_hosts.clear()
        await self.wait_for_line(2, "SecretChanged", 6.0)

    async def test_another_secret_in_the_store_is_adopted_and_open_flows_continue(self) -> None:
        await self.start_two()
        flows = [self.new_flow(2000 + number, LONG) for number in range(4)]
        playing = asyncio.create_task(self.play(1, flows, 15.0))
        await asyncio.sleep(0.8)
        self.store.store.restore(self.copy_before_start)
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

    async def test_changes_below_the_known_revision_are_applied(self) -> None:
        await self.drain_after_restore()
        self.configure(17, "tracker")
        for number in (1, 2):
            await self.wait_until(lambda number=number: self.is_draining(number), 2.5)
            await self.wait_until(lambda number=number: self.version(number) == 17, 2.5)
        self.assertNotIn("OlderList", self.logs())

    async def test_a_restored_store_without_eras_is_followed(self) -> None:
        self.store.reports_era = False
        await self.drain_after_restore()
        for number in (1, 2):
            await self.wait_until(lambda number=number: self.is_draining(number), 2.5)

    async def test_invalid_entries_of_other_writers_are_ignored(self) -> None:
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
