"""Views of the store: a view never goes back, whether the store or a peer updates it."""

import random
import unittest

from beamloom.replication.store_view import EVERYTHING, NamedRecord, ObjectChange, StoreView

View = StoreView[str]


class FakeStore:
    """Objects with one revision counter, and the answers to a list and to a watch."""

    def __init__(self) -> None:
        self.revision = 0
        self.objects: dict[str, NamedRecord[str]] = {}
        self.history: list[ObjectChange[str]] = []

    def put(self, name: str, record: str) -> None:
        self.revision += 1
        self.objects[name] = NamedRecord(name, self.revision, record)
        self.history.append(ObjectChange(name, self.revision, record))

    def remove(self, name: str) -> None:
        self.revision += 1
        last = self.objects.pop(name).revision
        self.history.append(ObjectChange(name, last, None))
        self.removed_at = self.revision

    def list_into(self, view: View) -> None:
        view.replace(self.objects.values(), self.revision)

    def contents(self) -> dict[str, str]:
        return {name: named.record for name, named in self.objects.items()}


def contents(view: View) -> dict[str, str]:
    delta = view.since(EVERYTHING - 1)
    assert delta is not None
    return {change.name: change.record for change in delta.changes if change.record is not None}


class StoreViewTest(unittest.TestCase):
    def test_replace_returns_the_differences(self) -> None:
        view: View = StoreView()
        view.replace([NamedRecord("a", 1, "A"), NamedRecord("b", 2, "B")], 5)
        changes = view.replace([NamedRecord("b", 2, "B"), NamedRecord("c", 7, "C")], 8)
        self.assertEqual(
            {(change.name, change.record) for change in changes}, {("c", "C"), ("a", None)}
        )

    def test_an_older_list_changes_nothing(self) -> None:
        view: View = StoreView()
        view.replace([NamedRecord("a", 1, "A")], 8)
        self.assertEqual(view.replace([], 7), ())
        self.assertEqual((len(view), view.revision), (1, 8))

    def test_a_delta_contains_missing_changes_and_removals(self) -> None:
        view: View = StoreView()
        view.replace([NamedRecord("a", 1, "A"), NamedRecord("b", 2, "B")], 5)
        behind: View = StoreView()
        behind.replace([NamedRecord("a", 1, "A"), NamedRecord("b", 2, "B")], 5)
        view.apply((ObjectChange("c", 6, "C"), ObjectChange("a", 1, None)), 7)
        delta = view.since(5)
        assert delta is not None
        self.assertEqual(len(delta.changes), 2)
        merged = behind.merge(delta)
        self.assertEqual({(c.name, c.record) for c in merged or ()}, {("c", "C"), ("a", None)})
        self.assertEqual(behind.revision, 7)

    def test_a_peer_behind_the_oldest_tombstone_gets_everything(self) -> None:
        view: View = StoreView()
        view.replace([NamedRecord("a", 1, "A")], 50)
        behind: View = StoreView()
        behind.replace([NamedRecord("a", 1, "A"), NamedRecord("b", 2, "B")], 5)
        delta = view.since(5)
        assert delta is not None
        self.assertEqual(delta.since, EVERYTHING)
        self.assertEqual([(c.name, c.record) for c in behind.merge(delta) or ()], [("b", None)])

    def test_a_delta_with_a_gap_or_without_changes_is_not_merged(self) -> None:
        source: View = StoreView()
        source.replace([], 10)
        source.apply((ObjectChange("a", 12, "A"),), 12)
        delta = source.since(10)
        assert delta is not None
        behind: View = StoreView()
        behind.replace([], 9)
        self.assertIsNone(behind.merge(delta))
        ahead: View = StoreView()
        ahead.replace([], 12)
        self.assertIsNone(ahead.merge(delta))
        self.assertIsNone(source.since(12))

    def test_an_object_removed_and_recreated_in_one_batch_exists(self) -> None:
        view: View = StoreView()
        view.replace([NamedRecord("a", 1, "A")], 5)
        view.apply((ObjectChange("a", 1, None), ObjectChange("a", 7, "A2")), 9)
        self.assertEqual(contents(view), {"a": "A2"})

    def test_changes_older_than_a_listed_record_are_ignored(self) -> None:
        view: View = StoreView()
        view.replace([NamedRecord("a", 60, "new")], 50)
        view.apply((ObjectChange("a", 55, "old"), ObjectChange("a", 40, None)), 58)
        self.assertEqual(contents(view), {"a": "new"})

    def test_a_removed_object_does_not_come_back_by_an_older_change(self) -> None:
        """Guards against an answer that was held up while peers told of the removal."""
        view: View = StoreView()
        view.replace([NamedRecord("a", 1, "A"), NamedRecord("b", 2, "B")], 5)
        view.apply((ObjectChange("a", 7, None),), 7)
        view.replace([NamedRecord("c", 8, "C")], 9)
        self.assertEqual(view.apply((ObjectChange("a", 6, "A2"),), 6), ())
        self.assertEqual(view.apply((ObjectChange("b", 4, "B2"),), 12), ())
        self.assertEqual(contents(view), {"c": "C"})
        view.apply((ObjectChange("a", 13, "A3"),), 13)
        self.assertEqual(contents(view), {"a": "A3", "c": "C"})

    def test_confirmed_at_never_decreases(self) -> None:
        view: View = StoreView()
        self.assertTrue(view.confirm(5.0))
        self.assertFalse(view.confirm(4.0))
        self.assertEqual(view.confirmed_at, 5.0)


class RandomHistoryTest(unittest.TestCase):
    def test_views_updated_by_store_and_peers_in_any_order_converge(self) -> None:
        for seed in range(60):
            with self.subTest(seed=seed):
                self.check_convergence(random.Random(seed))

    def check_convergence(self, rng: random.Random) -> None:
        store = FakeStore()
        views: list[View] = [StoreView() for _ in range(4)]
        positions = [0] * len(views)
        for view in views:
            store.list_into(view)
        for _ in range(120):
            self.change(store, rng)
            index = rng.randrange(len(views))
            if rng.random() < 0.5:
                batch = store.history[views[index].revision or 0 :]
                views[index].apply(batch, store.revision)
            else:
                self.exchange(views[index], rng.choice(views))
            positions[index] = views[index].revision or 0
        best = max(views, key=lambda view: view.revision or 0)
        for view in views:
            self.exchange(best, view)
        best.apply(store.history[best.revision or 0 :], store.revision)
        for view in views:
            self.exchange(best, view)
            self.assertEqual(contents(view), store.contents())

    def change(self, store: FakeStore, rng: random.Random) -> None:
        name = rng.choice("abcdefgh")
        if name in store.objects and rng.random() < 0.4:
            store.remove(name)
        else:
            store.put(name, f"{name}{store.revision}")

    def exchange(self, source: View, target: View) -> None:
        revision = EVERYTHING if target.revision is None else target.revision
        delta = source.since(revision)
        if delta is not None:
            target.merge(delta)
