"""Late answers of a store and messages of peers tell what was true when they were given.

At every moment a view holds what the store held at the view's revision, except objects that changed
while a list of several pages was read. No change before its last confirmation is missing in it.
"""

import random
import unittest
from collections.abc import Callable

from beamloom.protocol.view_messages import ViewDigest
from beamloom.replication.message_delays import MAXIMUM_DELAY_SECONDS, MessageDelays
from beamloom.replication.object_watch import (
    ChangeBatch,
    ListPage,
    ListRequest,
    ObjectWatch,
    Question,
    WatchRequest,
)
from beamloom.replication.stop_turns import StopState
from beamloom.replication.store_view import StoreView
from beamloom.simulation.tokens.fleet import BACKENDS, TokenFleet
from tests.unit.views.exchange_network import Node
from tests.unit.views.test_store_view import FakeStore, contents

PAGE_SIZE = 3
SEEDS = 60
STEPS = 150
LONGEST_DELAY = 12
WAIT = 4.0


class _Reader:
    """A node that asks a store; each answer is given at once or after a wait, and arrives later."""

    def __init__(self, store: FakeStore, rng: random.Random) -> None:
        self.view: StoreView[str] = StoreView()
        self.watch: ObjectWatch[str] = ObjectWatch(self.view, rng)
        self.question: Question | None = None
        self._store = store
        self._rng = rng
        self._answer: Callable[[float], object] = lambda now: None
        self._given = False
        self._arrives_at = 0.0

    def step(self, now: float) -> None:
        if self.question is None:
            request = self.watch.next_request()
            wait = 0.0 if isinstance(request, ListRequest) else self._rng.choice((0.0, WAIT))
            self.question, self._given = Question(request, now, wait, 0), False
        if not self._given:
            self._give(self.question, now)
        elif now >= self._arrives_at:
            self.question = None
            self._answer(now)

    def _give(self, question: Question, now: float) -> None:
        request = question.request
        if isinstance(request, WatchRequest):
            changes = tuple(self._store.history[request.revision :])
            if not changes and now < question.asked_at + question.wait_seconds:
                return
            batch = ChangeBatch(changes, self._store.revision)
            self._answer = lambda now: self.watch.handle_changes(
                batch, request.revision, question.earliest_answer_time(batch, now)
            )
        else:
            page = self._page(request.after)
            self._answer = lambda now: self.watch.handle_page(page, question.asked_at)
        self._given = True
        self._arrives_at = now + self._rng.choice((0, 0, 1, self._rng.randrange(LONGEST_DELAY)))

    def _page(self, after: str) -> ListPage[str]:
        objects = self._store.objects
        names = sorted(name for name in objects if name > after)
        records = tuple(objects[name] for name in names[:PAGE_SIZE])
        last = records[-1].name if records else ""
        return ListPage(records, len(names) > PAGE_SIZE, self._store.revision, last)


class RandomDelaysTest(unittest.TestCase):
    def test_a_view_is_what_the_store_held_at_its_revision(self) -> None:
        """Guards against removed objects that come back, and against early confirmations."""
        for seed in range(SEEDS):
            with self.subTest(seed=seed):
                self.check(random.Random(seed))

    def check(self, rng: random.Random) -> None:
        store = FakeStore()
        readers = [_Reader(store, rng) for _ in range(3)]
        states = {0: store.contents()}
        revisions = []
        for now in range(STEPS):
            revisions.append(store.revision)
            if rng.random() < 0.4:
                self.change(store, rng)
                states[store.revision] = store.contents()
            for reader in readers:
                reader.step(float(now))
            if rng.random() < 0.2:
                self.exchange(*rng.sample(readers, 2))
            idle = [reader for reader in readers if reader.question is None]
            if idle and rng.random() < 0.1:
                rng.choice(idle).watch.handle_lost_history()
            for reader in readers:
                self.check_view(reader.view, store, states, revisions)
        self.assertTrue(any(reader.view.confirmed_at for reader in readers))

    def check_view(
        self,
        view: StoreView[str],
        store: FakeStore,
        states: dict[int, dict[str, str]],
        revisions: list[int],
    ) -> None:
        if view.revision is None:
            return
        changed = {change.name for change in store.history[view.revision :]}
        held, expected = contents(view), states[view.revision]
        for name in (held.keys() | expected.keys()) - changed:
            self.assertEqual(held.get(name), expected.get(name), name)
        if view.confirmed_at is not None:
            self.assertLessEqual(revisions[int(view.confirmed_at)], view.revision)

    def change(self, store: FakeStore, rng: random.Random) -> None:
        name = rng.choice("abcdefgh")
        if name in store.objects and rng.random() < 0.5:
            store.remove(name)
        else:
            store.put(name, f"{name}{store.revision}")

    def exchange(self, source: _Reader, target: _Reader) -> None:
        if target.view.revision is not None:
            delta = source.view.since(target.view.revision)
            if delta is not None:
                target.view.merge(delta)


class HeldUpDigestTest(unittest.TestCase):
    def node_with_view(self) -> Node:
        node = Node("10.0.0.1", [], random.Random(1))
        node.view.replace([], 5)
        return node

    def test_a_late_digest_confirms_what_it_knew_when_it_was_sent(self) -> None:
        """Guards against an age that counts from the arrival of a held-up datagram."""
        node = self.node_with_view()
        for sent, arrived in ((100.0, 20.0), (101.0, 22.5)):
            digest = ViewDigest([[5, 100]], [], [], sent_at=int(sent * 1000))
            node.exchange.handle("10.0.0.2", digest, arrived)
        self.assertAlmostEqual(node.view.confirmed_at or 0.0, 20.9, places=2)
        self.assertEqual(node.exchange.counters["digests_late"], 1)

    def test_a_digest_of_an_earlier_version_counts_from_its_arrival(self) -> None:
        node = self.node_with_view()
        node.exchange.handle("10.0.0.2", ViewDigest([[5, 100]], [], []), 20.0)
        self.assertEqual(node.view.confirmed_at, 19.9)

    def test_delays_are_relative_to_the_fastest_recent_message(self) -> None:
        delays = MessageDelays()
        self.assertEqual(delays.note("a", 0.0, 7.0).seconds, 0.0)
        self.assertEqual(delays.note("a", 1.0, 8.5).seconds, 0.5)
        self.assertEqual(delays.note("b", 1.0, 8.5).seconds, 0.0)
        for second in range(2, 40):
            late = delays.note("a", float(second), second + 7.5)
        self.assertEqual(late.seconds, 0.0)

    def test_an_overtaken_digest_does_not_take_back_a_stop(self) -> None:
        """Guards against two nodes of a zone that stop at the same time."""
        node = self.node_with_view()
        node.exchange.request_stop(20.0)
        states = ((101.0, StopState.AWAY, 21.0), (100.0, StopState.SERVING, 22.0))
        for sent, state, arrived in states:
            digest = ViewDigest([], [], [], "", stop=int(state), sent_at=int(sent * 1000))
            node.exchange.handle("10.0.0.2", digest, arrived)
        self.assertFalse(node.exchange.may_stop(22.1))

    def test_a_clock_that_starts_anew_is_no_delay(self) -> None:
        delays = MessageDelays()
        delays.note("a", 5000.0, 7.0)
        self.assertEqual(delays.note("a", 1.0, 7.0 + MAXIMUM_DELAY_SECONDS).seconds, 0.0)


class HeldUpFleetTest(unittest.TestCase):
    def test_a_removed_endpoint_does_not_come_back_when_a_cut_heals(self) -> None:
        """Guards against the answer that a reader's cut from the store held up."""
        fleet = TokenFleet(seed=9, nodes=5)
        fleet.run(8.0)
        reader = next(node for node in fleet.nodes.values() if node.core.role.reads(0))
        other = next(node for node in fleet.nodes.values() if not node.core.role.reading)
        endpoint = fleet.running_endpoints("tracker")[0]
        name = endpoint.record.name
        fleet.cut_from_store(reader.name, 0.6)
        fleet.store.put(BACKENDS, name, endpoint.record._replace(warm_up_seconds=5.0))
        fleet.run(0.1)
        fleet.store.remove(BACKENDS, name)
        other.core.backend_schedule.discard_confirmation()
        fleet.run(0.4)
        for _ in range(3):
            backend = reader.core.router.backends.find(name)
            assert backend is not None
            self.assertIsNotNone(backend.gone_at)
            fleet.run(0.5)


if __name__ == "__main__":
    unittest.main()
