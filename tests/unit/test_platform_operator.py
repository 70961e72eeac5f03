"""A write reported as done takes effect exactly once, one reported as not done never does."""

import asyncio
import unittest
from collections.abc import AsyncGenerator, Callable, Coroutine
from random import Random
from typing import Any

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from beamloom.object_api.differences import EditConflictError, FieldDifference, operation_of
from beamloom.object_api.errors import (
    ObjectNotFoundError,
    OutcomeUnknownError,
    PlatformError,
    StoreUnavailableError,
)
from beamloom.object_api.operator import AcceptedWrite, OperatorWriter, WriteUnresolvedError
from beamloom.object_api.retry import Retrier, RetryPolicy
from beamloom.object_api.wire import ChangeBatch, ObjectListing, ObjectReading
from beamloom.standins.platform_store import PlatformStore

KEY = "service/a/web"
PASS, REFUSE, LOSE, DELAY = "pass", "refuse", "lose", "delay"


class DirectClient:
    """Client that calls the store directly and injects faults into the next writes.

    `fates` says what happens to each of the next writes. After each lost response, the next
    function of `between` runs.
    """

    def __init__(self, store: PlatformStore) -> None:
        self.store = store
        self.fates: list[str] = []
        self.delayed: list[Callable[[], object]] = []
        self.between: list[Callable[[], object]] = []
        self.attempts: list[tuple[str, dict[str, Any] | None, int]] = []

    async def list_objects(self, prefix: str = "") -> ObjectListing:
        return self.store.list_objects(prefix)

    async def read(self, key: str) -> ObjectReading:
        return self.store.read(key)

    async def write(self, key: str, value: dict[str, Any] | None, expected_revision: int) -> int:
        self.attempts.append((key, value, expected_revision))
        fate = self.fates.pop(0) if self.fates else PASS
        if fate == REFUSE:
            raise StoreUnavailableError("test")
        if fate == DELAY:
            self.delayed.append(lambda: self.store.write(key, value, expected_revision))
            self._interfere()
            raise OutcomeUnknownError("test")
        if fate == LOSE:
            try:
                self.store.write(key, value, expected_revision)
            finally:
                self._interfere()
                raise OutcomeUnknownError("test")
        return self.store.write(key, value, expected_revision).revision

    async def watch(self, revision: int, prefix: str = "") -> AsyncGenerator[ChangeBatch, None]:
        watch = self.store.open_watch(revision, prefix)
        try:
            yield self.store.take_changes(watch)
        finally:
            self.store.close_watch(watch)

    def run_delayed(self) -> None:
        delayed, self.delayed = self.delayed, []
        for write in delayed:
            try:
                write()
            except PlatformError:
                continue

    def _interfere(self) -> None:
        if self.between:
            self.between.pop(0)()


async def no_sleep(_: float) -> None:
    return


def make_writer(client: DirectClient, seed: int) -> OperatorWriter:
    retrier = Retrier(RetryPolicy(attempts=4), Random(seed), no_sleep)
    return OperatorWriter(client, Random(seed), retrier)


def change_port(port: int) -> Callable[[dict[str, Any]], dict[str, Any]]:
    return lambda value: {**value, "port": port}


class OperatorWriterTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        self.store = PlatformStore(Random(1), history_limit=50)
        self.client = DirectClient(self.store)
        self.writer = make_writer(self.client, 1)

    def interfere(self, port: int) -> None:
        current = self.store.read(KEY).found
        revision = current.revision if current else 0
        self.store.write(KEY, {"port": port, "operation": f"rival-{port}"}, revision)

    async def test_write_with_lost_response_is_reported_as_done_once(self) -> None:
        for action in (
            lambda: self.writer.create_object(KEY, {"port": 80}),
            lambda: self.writer.update_object(KEY, change_port(81)),
            lambda: self.writer.delete_object(KEY),
        ):
            before = self.store.revision
            self.client.fates = [LOSE]
            accepted = await action()
            steps = 2 if self.store.read(KEY).found is None else 1
            self.assertEqual((accepted.revision, accepted.superseded_by), (before + steps, None))

    async def test_deletion_with_lost_response_is_reported_as_done(self) -> None:
        await self.writer.create_object(KEY, {"port": 80})
        self.client.fates = [PASS, LOSE]
        accepted = await self.writer.delete_object(KEY)
        self.assertEqual(accepted.revision, self.store.revision)
        self.assertIsNone(self.store.read(KEY).found)

    async def test_delayed_write_has_no_effect_after_an_edit_conflict(self) -> None:
        await self.writer.create_object(KEY, {"port": 80})
        self.client.fates = [DELAY]
        self.client.between = [lambda: self.interfere(99)]
        with self.assertRaises(EditConflictError):
            await self.writer.update_object(KEY, change_port(81))
        self.client.run_delayed()
        self.assertEqual((self.store.read(KEY).found.value or {})["port"], 99)

    async def test_superseded_write_names_the_later_operation(self) -> None:
        self.client.fates = [LOSE]
        self.client.between = [lambda: self.interfere(99)]
        created = await self.writer.create_object(KEY, {"port": 80})
        self.assertEqual((created.revision, created.superseded_by), (1, "rival-99"))
        self.client.fates = [LOSE]
        self.client.between = [lambda: self.store.write(KEY, None, 3)]
        updated = await self.writer.update_object(KEY, change_port(81))
        self.assertEqual((updated.revision, updated.superseded_by), (3, "deletion"))

    async def test_deletion_by_another_writer_is_not_mistaken_for_own(self) -> None:
        await self.writer.create_object(KEY, {"port": 80})
        rival = make_writer(self.client, 2)
        self.client.fates = [PASS, DELAY]

        def rival_deletes() -> None:
            coroutine = rival.delete_object(KEY)
            with self.assertRaises(StopIteration):
                coroutine.send(None)

        self.client.between = [rival_deletes]
        with self.assertRaises(EditConflictError) as caught:
            await self.writer.delete_object(KEY)
        self.assertIn("deleted by another writer", str(caught.exception))

    async def test_delayed_creation_is_unresolved_and_sent_once(self) -> None:
        self.client.fates = [DELAY]
        with self.assertRaises(WriteUnresolvedError) as caught:
            await self.writer.create_object(KEY, {"port": 80})
        self.assertEqual(len(self.client.attempts), 1)
        self.client.run_delayed()
        found = self.store.read(KEY).found
        self.assertEqual(operation_of(found), caught.exception.operation_id)

    async def test_update_beyond_the_history_limit_is_unresolved(self) -> None:
        await self.writer.create_object(KEY, {"port": 80})
        self.client.fates = [DELAY]
        self.client.between = [lambda: [self.interfere(port) for port in range(60)]]
        with self.assertRaises(WriteUnresolvedError):
            await self.writer.update_object(KEY, change_port(81))

    async def test_edit_conflict_lists_the_changed_fields(self) -> None:
        await self.writer.create_object(KEY, {"port": 80, "limits": {"rate": 1}})

        def slow_operator(value: dict[str, Any]) -> dict[str, Any]:
            changed = {"port": 99, "limits": {"rate": 2}, "operation": "rival"}
            self.store.write(KEY, changed, 1)
            return {**value, "port": 81}

        with self.assertRaises(EditConflictError) as caught:
            await self.writer.update_object(KEY, slow_operator)
        expected = (FieldDifference("limits.rate", 1, 2), FieldDifference("port", 80, 99))
        self.assertEqual(caught.exception.changes, expected)
        self.assertIn("operation rival, revision 2", str(caught.exception))

    async def test_create_needs_a_new_key_and_changes_need_an_object(self) -> None:
        with self.assertRaises(ObjectNotFoundError):
            await self.writer.update_object(KEY, change_port(1))
        with self.assertRaises(ObjectNotFoundError):
            await self.writer.delete_object(KEY)
        await self.writer.create_object(KEY, {"port": 80})
        with self.assertRaises(EditConflictError):
            await self.writer.create_object(KEY, {"port": 81})


FATES = st.lists(st.sampled_from([PASS, REFUSE, LOSE, DELAY]), max_size=5)
RIVAL_ACTIONS = st.lists(st.sampled_from(["none", "write", "delete", "flush"]), max_size=3)


class OperatorMachine(RuleBasedStateMachine):
    """Every change of the store is compared with what the operators were told."""

    def __init__(self) -> None:
        super().__init__()
        self.store = PlatformStore(Random(1))
        self.client = DirectClient(self.store)
        self.writer = make_writer(self.client, 7)
        self.rival = make_writer(DirectClient(self.store), 8)
        self.told_done: list[AcceptedWrite] = []
        self.told_not_done: list[dict[str, Any]] = []
        self.deletions: set[int] = set()
        self.rival_deletions: set[int] = set()
        self.unresolved_deletions = 0
        self.count = 0

    @rule(fates=FATES, rivals=RIVAL_ACTIONS)
    def create(self, fates: list[str], rivals: list[str]) -> None:
        self._run(self.writer.create_object, fates, rivals)

    @rule(fates=FATES, rivals=RIVAL_ACTIONS)
    def update(self, fates: list[str], rivals: list[str]) -> None:
        self._run(
            lambda key, marked: self.writer.update_object(key, lambda _: marked), fates, rivals
        )

    @rule(fates=FATES, rivals=RIVAL_ACTIONS)
    def delete(self, fates: list[str], rivals: list[str]) -> None:
        self._prepare(fates, rivals)
        try:
            accepted = asyncio.run(self.writer.delete_object(KEY))
        except WriteUnresolvedError:
            self.unresolved_deletions += 1
        except PlatformError:
            pass
        else:
            self.deletions.add(accepted.revision)
        self.client.fates = []

    @rule()
    def delayed_requests_arrive(self) -> None:
        self.client.run_delayed()

    @rule(action=st.sampled_from(["write", "delete"]))
    def rival_acts(self, action: str) -> None:
        self._rival(action)

    @invariant()
    def told_is_true(self) -> None:
        history = self._history()
        marks = [(change.value or {}).get("mark") for change in history]
        for accepted in self.told_done:
            own = [item for item in history if operation_of(item) == accepted.operation_id]
            assert [item.revision for item in own] == [accepted.revision]
        for marked in self.told_not_done:
            assert marked["mark"] not in marks
        tombstones = {change.revision for change in history if change.value is None}
        assert self.deletions <= tombstones
        assert self.rival_deletions <= tombstones
        assert not self.deletions & self.rival_deletions
        unexplained = tombstones - self.deletions - self.rival_deletions
        assert len(unexplained) <= self.unresolved_deletions

    def _run(self, write: Callable[..., Any], fates: list[str], rivals: list[str]) -> None:
        self._prepare(fates, rivals)
        self.count += 1
        marked = {"mark": self.count}
        try:
            self.told_done.append(asyncio.run(write(KEY, marked)))
        except WriteUnresolvedError:
            pass
        except PlatformError:
            self.told_not_done.append(marked)
        self.client.fates = []

    def _prepare(self, fates: list[str], rivals: list[str]) -> None:
        self.client.fates = list(fates)
        self.client.between = [lambda action=action: self._rival(action) for action in rivals]

    def _rival(self, action: str) -> None:
        found = self.store.read(KEY).found
        if action == "write":
            value = {"operation": f"rival-{self.store.revision}"}
            self.store.write(KEY, value, found.revision if found else 0)
        elif action == "flush":
            self.client.run_delayed()
        elif action == "delete" and found is not None:
            self._finish(self.rival.delete_object(KEY))
            self.rival_deletions.add(self.store.revision)

    def _finish(self, coroutine: Coroutine[Any, Any, object]) -> None:
        try:
            coroutine.send(None)
        except StopIteration:
            return
        raise AssertionError("the rival had to wait")

    def _history(self) -> tuple[Any, ...]:
        watch = self.store.open_watch(0)
        try:
            return self.store.take_changes(watch).changes
        finally:
            self.store.close_watch(watch)


OperatorMachine.TestCase.settings = settings(
    derandomize=True, max_examples=60, stateful_step_count=25, deadline=None
)
OperatorMachineTest = OperatorMachine.TestCase
