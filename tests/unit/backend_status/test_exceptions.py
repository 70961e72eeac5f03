"""Offline and shedding records spread by their own digest, even if all weights differ."""

import unittest

from beamloom.model.contracts import BackendOperatingStatus as Status
from beamloom.model.machines import NodeId
from beamloom.protocol.backend_messages import (
    MAXIMUM_EXCEPTION_RECORDS,
    StatusBatch,
    StatusExceptions,
)
from beamloom.replication.backend_status.register import (
    StatusReason,
    StatusRecord,
    StatusRegister,
)
from tests.unit.backend_status.fleet import Fleet, make_services

BACKEND = 101
WRITER = NodeId("writer")
FIRST = NodeId("node-0")
LAST = NodeId("node-11")
REPAIR_SECONDS = 6.0


def value(epoch: int, status: Status, weight_class: int = 6) -> int:
    return StatusRecord(epoch, True, StatusReason.NONE, weight_class, status).encode()


class RegisterTest(unittest.TestCase):
    def test_the_digest_covers_offline_and_shedding_backends_only(self) -> None:
        register = StatusRegister()
        empty = register.exceptions_root
        register.apply(1, value(1, Status.ONLINE))
        self.assertEqual(register.exceptions_root, empty)
        register.apply(1, value(2, Status.OFFLINE))
        register.apply(2, value(1, Status.SHEDDING))
        self.assertEqual(set(register.exceptions), {1, 2})
        register.apply(1, value(3, Status.ONLINE))
        register.remove(2)
        self.assertEqual(register.exceptions_root, empty)
        self.assertFalse(register.exceptions)


class RepairTest(unittest.TestCase):
    def setUp(self) -> None:
        self.fleet = Fleet(12, make_services(40, 10), seed=3)
        self.fleet.checked = lambda node, number, now: None
        self.numbers = [b.backend_number for s in self.fleet.services for b in s.backends]

    def deliver_records(
        self, node_id: NodeId, records: list[tuple[int, int]], *, fresh: bool
    ) -> None:
        for start in range(0, len(records), 60):
            flat = [item for record in records[start : start + 60] for item in record]
            batch = StatusBatch(flat, fresh)
            node = self.fleet.nodes[node_id]
            self.fleet.execute(node_id, node.handle_message(WRITER, batch, self.fleet.now))

    def statuses(self, number: int) -> set[Status]:
        return {node.status(number, self.fleet.now).status for node in self.fleet.nodes.values()}

    def diverge_weights(self) -> None:
        """Give each node different weights for every backend, so that all buckets differ."""
        for epoch, node_id in enumerate(self.fleet.nodes, start=1):
            records = [(n, value(epoch, Status.ONLINE, epoch % 8)) for n in self.numbers]
            self.deliver_records(node_id, records, fresh=False)

    def test_offline_record_spreads_by_digests_while_all_weights_differ(self) -> None:
        self.diverge_weights()
        self.deliver_records(FIRST, [(BACKEND, value(100, Status.OFFLINE))], fresh=False)
        self.fleet.run(4 * REPAIR_SECONDS)
        self.assertEqual(self.statuses(BACKEND), {Status.OFFLINE})

    def test_newer_online_record_replaces_offline_on_all_nodes(self) -> None:
        for node_id in self.fleet.nodes:
            self.deliver_records(node_id, [(BACKEND, value(1, Status.OFFLINE))], fresh=False)
        self.deliver_records(LAST, [(BACKEND, value(2, Status.ONLINE))], fresh=False)
        self.diverge_weights()
        self.fleet.run(4 * REPAIR_SECONDS)
        self.assertNotIn(Status.OFFLINE, self.statuses(BACKEND))

    def test_exceptions_that_exceed_one_message_arrive_in_parts(self) -> None:
        many = self.numbers[: 2 * MAXIMUM_EXCEPTION_RECORDS]
        self.deliver_records(FIRST, [(n, value(1, Status.OFFLINE)) for n in many], fresh=False)
        self.fleet.run(90.0)
        for number in many:
            self.assertEqual(self.statuses(number), {Status.OFFLINE})

    def test_exceptions_with_an_outdated_record_are_answered_with_the_newer_one(self) -> None:
        self.deliver_records(FIRST, [(BACKEND, value(5, Status.ONLINE))], fresh=False)
        outdated = StatusExceptions([BACKEND, value(4, Status.OFFLINE)], True, False)
        commands = self.fleet.nodes[FIRST].handle_message(LAST, outdated, self.fleet.now)
        answers = [c.message for c in commands if hasattr(c, "message")]
        newer = StatusExceptions([BACKEND, value(5, Status.ONLINE)], True, False)
        self.assertEqual(answers, [newer])

    def test_message_with_too_many_records_is_rejected(self) -> None:
        with self.assertRaises(ValueError):
            StatusExceptions([1, 1] * (MAXIMUM_EXCEPTION_RECORDS + 1), True, True)


if __name__ == "__main__":
    unittest.main()
