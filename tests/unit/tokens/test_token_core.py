"""What a node does by what it knows, and by how sure it is of it."""

import random
import unittest

from beamloom.node.token_core import LONGEST_DOUBT_SECONDS, TokenCore
from beamloom.replication.object_watch import ChangeBatch, ListPage
from beamloom.replication.reading_times import reading_times
from beamloom.replication.store_view import NamedRecord
from beamloom.routing.tokens.packets import (
    DropPacket,
    DropReason,
    ForwardPacket,
    RefusalReason,
    ResetFlow,
    RouterCommand,
)
from beamloom.routing.tokens.records import BackendRecord
from beamloom.simulation.tokens.node import QuietObserver
from tests.unit.tokens.builders import KEY, OTHER_DESTINATION, ZONE, backend, configuration, opening

START = 10.0


class RefusalsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.core = TokenCore(
            ZONE,
            "5-node",
            "main",
            QuietObserver(),
            chance=random.Random(1),
            times=reading_times(),
        )
        self.core.use_key(KEY)
        self.list_backends(backend(1, "other"))
        named = NamedRecord("main", 2, configuration(1, "tracker"))
        page = ListPage((named,), False, 9, "main")
        changes = self.core.configuration_watch.take_page(page, asked_at=START)
        self.core.take_configuration(changes, START)

    def list_backends(self, *records: BackendRecord) -> None:
        named = tuple(NamedRecord(record.name, 3, record) for record in records)
        page = ListPage(named, False, 9, named[-1].name)
        changes = self.core.backend_watch.take_page(page, asked_at=START)
        self.core.take_backends(changes, START)

    def confirm(self, now: float) -> None:
        self.core.backend_watch.take_changes(ChangeBatch((), 9), now)
        self.core.take_backends((), now)
        self.core.configuration_watch.take_changes(ChangeBatch((), 9), now)
        self.core.take_configuration((), now)

    def open_flow(self, now: float, destination: bytes | None = None) -> RouterCommand:
        packet = opening(1) if destination is None else opening(1, destination=destination)
        return self.core.router.handle(packet, now)

    def assert_dropped_in_doubt(self, command: RouterCommand) -> None:
        assert isinstance(command, DropPacket), command
        self.assertIs(command.reason, DropReason.UNCONFIRMED_VIEW)

    def test_by_a_stale_list_alone_nothing_is_refused(self) -> None:
        """Found on a day that ended with the store down and all machines without power."""
        self.assertTrue(self.core.complete)
        self.assert_dropped_in_doubt(self.open_flow(START))
        self.assert_dropped_in_doubt(self.open_flow(START, OTHER_DESTINATION))

    def test_by_confirmed_views_refusals_go_out_at_once(self) -> None:
        self.confirm(START + 0.2)
        command = self.open_flow(START + 0.2)
        assert isinstance(command, ResetFlow)
        self.assertIs(command.reason, RefusalReason.NO_BACKEND)
        command = self.open_flow(START + 0.2, OTHER_DESTINATION)
        assert isinstance(command, ResetFlow)
        self.assertIs(command.reason, RefusalReason.NO_ROUTE)

    def test_a_doubt_does_not_last(self) -> None:
        self.core.advance(START + 0.1)
        self.assert_dropped_in_doubt(self.open_flow(START + 0.2))
        self.core.advance(START + 0.1 + LONGEST_DOUBT_SECONDS)
        self.assertIsInstance(self.open_flow(START + 2.2), ResetFlow)

    def test_what_is_known_is_served_meanwhile(self) -> None:
        self.list_backends(backend(7))
        self.assertIsInstance(self.open_flow(START), ForwardPacket)

    def test_a_node_that_stood_still_doubts_again(self) -> None:
        self.confirm(START + 0.2)
        self.core.advance(START + 0.3)
        self.core.advance(START + 8.0)
        self.assert_dropped_in_doubt(self.open_flow(START + 8.0))


if __name__ == "__main__":
    unittest.main()
