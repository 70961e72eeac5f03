"""Zone evacuations: routing of new and open flows, and how a node learns of evacuations."""

import random
import unittest
from collections.abc import Mapping

from beamloom.node.evacuation_follower import EvacuationFollower
from beamloom.protocol.view_messages import ViewDigest
from beamloom.replication.object_watch import ChangeBatch, ListPage, ListRequest, WatchRequest
from beamloom.replication.reader_role import ReaderRole
from beamloom.replication.store_call_times import evacuation_store_call_times, store_call_times
from beamloom.replication.store_view import NamedRecord, ObjectChange
from beamloom.routing.tokens.packets import (
    DropPacket,
    DropReason,
    PacketKind,
    RefusalReason,
    ResetFlow,
)
from beamloom.routing.tokens.records import ZoneEvacuation
from beamloom.settings.mechanisms import mechanisms_without
from tests.unit.tokens.builders import (
    ZONE,
    backend,
    forwarded_to,
    make_router,
    new_core,
    opening,
    packet,
)

BOUND_SECONDS = 5.0
START = 10.0


def make_follower(**options: object) -> EvacuationFollower:
    rng = random.Random(1)
    role = ReaderRole("5", rng, store_call_times())
    times = evacuation_store_call_times(BOUND_SECONDS)
    return EvacuationFollower(role, rng, times, **options)  # type: ignore[arg-type]


def evacuation(zone: str, revision: int = 7) -> ObjectChange[ZoneEvacuation]:
    return ObjectChange(zone, revision, ZoneEvacuation(zone))


def evacuation_ended(zone: str, revision: int = 8) -> ObjectChange[ZoneEvacuation]:
    return ObjectChange(zone, revision, None)


class RoutingTest(unittest.TestCase):
    def setUp(self) -> None:
        self.router = make_router(backend(1), backend(2, zone="east"))
        self.router.backends.evacuate(frozenset({ZONE}), START)

    def test_new_flows_go_to_other_zones(self) -> None:
        for client in range(20):
            self.assertEqual(forwarded_to(self.router.handle(opening(client), START)), 2)

    def test_open_flows_stay(self) -> None:
        self.router.backends.evacuate(frozenset(), START)
        command = self.router.handle(opening(1), START)
        assert not isinstance(command, ResetFlow)
        token = command.token  # type: ignore[union-attr]
        data = packet(1, PacketKind.DATA, token=token, data_length=9)
        chosen = forwarded_to(self.router.handle(data, START + 0.1))
        self.router.backends.evacuate(frozenset({ZONE, "east"}), START)
        self.assertEqual(forwarded_to(self.router.handle(data, START + 1.0)), chosen)

    def test_retransmitted_opening_goes_neither_to_an_evacuated_zone_nor_elsewhere(self) -> None:
        """The backend there may have got the first packet, and would answer beside another one."""
        self.router.backends.evacuate(frozenset(), START)
        first = forwarded_to(self.router.handle(opening(1), START))
        zone = {1: ZONE, 2: "east"}[first]
        self.router.backends.evacuate(frozenset({zone}), START)
        command = self.router.handle(opening(1, 1), START + 0.01)
        assert isinstance(command, DropPacket)
        self.assertIs(command.reason, DropReason.NO_BACKEND_FOR_COPY)

    def test_flow_is_refused_when_all_zones_are_evacuated(self) -> None:
        self.router.backends.evacuate(frozenset({ZONE, "east"}), START)
        command = self.router.handle(opening(1), START)
        assert isinstance(command, ResetFlow)
        self.assertIs(command.reason, RefusalReason.NO_BACKEND)

    def test_removed_backend_of_an_evacuated_zone_is_no_fallback(self) -> None:
        self.router.backends.remove(backend(2).name, START)
        self.router.backends.remove(backend(1).name, START)
        self.assertEqual(forwarded_to(self.router.handle(opening(1), START + 0.1)), 2)
        self.router.backends.evacuate(frozenset({ZONE, "east"}), START)
        self.assertIsInstance(self.router.handle(opening(2), START + 0.1), ResetFlow)

    def test_backends_added_or_moved_to_an_evacuated_zone_get_no_flows(self) -> None:
        self.router.backends.update(backend(3), 20, START)
        self.router.backends.update(backend(2, zone=ZONE), 21, START)
        self.assertIsInstance(self.router.handle(opening(1), START), ResetFlow)


class FollowerTest(unittest.TestCase):
    def setUp(self) -> None:
        self.follower = make_follower(known_zones=("west", "east"))
        self.zones: list[set[str]] = []
        self.follower.on_zones_changed = lambda zones, now, returns: self.zones.append(set(zones))

    def test_evacuation_lasts_until_its_object_is_removed(self) -> None:
        self.follower.apply((evacuation("west"),), START)
        self.follower.apply((evacuation("east"),), START + 1.0)
        self.follower.apply((evacuation_ended("west"),), START + 2.0)
        self.assertEqual(self.zones, [{"west"}, {"west", "east"}, {"east"}])
        self.assertEqual(self.follower.evacuated_since, {"east": START + 1.0})

    def test_revision_at_the_end_of_an_evacuation_is_reported(self) -> None:
        returns: list[Mapping[str, int]] = []
        self.follower.on_zones_changed = lambda zones, now, revisions: returns.append(revisions)
        self.follower.apply((evacuation("west"),), START)
        self.follower.apply((evacuation_ended("west"),), START + 2.0)
        self.assertEqual(returns, [{}, {"west": evacuation_ended("west").revision}])

    def test_unknown_zone_is_counted_and_ignored(self) -> None:
        unknown: list[str] = []
        self.follower.on_unknown_zone = unknown.append
        self.follower.apply((evacuation("nowhere"),), START)
        self.assertEqual((self.zones, unknown), ([], ["nowhere"]))
        self.assertEqual(self.follower.counters["unknown_zones"], 1)

    def test_the_first_list_may_be_stale_and_empty(self) -> None:
        watch = self.follower.watch
        self.assertEqual(watch.next_request(), ListRequest("", stale=True))
        watch.handle_page(ListPage((), False, 9, ""), asked_at=START)
        self.assertTrue(watch.holds_stale)
        self.assertEqual(watch.next_request(), ListRequest(""))
        self.assertIsNone(self.follower.view.confirmed_at)
        watch.handle_page(ListPage((), False, 9, ""), asked_at=START)
        self.assertEqual(watch.next_request(), WatchRequest(9))

    def test_older_list_ends_no_evacuation(self) -> None:
        named = NamedRecord("west", 7, ZoneEvacuation("west"))
        self.follower.apply(self.follower.view.replace([named], 9), START)
        self.follower.apply(self.follower.view.replace([], 8), START)
        self.assertEqual(set(self.follower.evacuated_since), {"west"})


class StartTest(unittest.TestCase):
    def test_starting_node_waits_for_its_peers_before_it_lists(self) -> None:
        schedule = make_follower().schedule
        times = evacuation_store_call_times(BOUND_SECONDS)
        self.assertFalse(schedule.must_ask(START))
        self.assertFalse(schedule.must_ask(START + times.unconfirmed_seconds - 0.01))
        self.assertTrue(schedule.must_ask(START + times.unconfirmed_seconds + 0.31))

    def test_node_without_evacuations_from_peers_lists_at_once(self) -> None:
        off = mechanisms_without("evacuations_from_peers")
        self.assertTrue(make_follower(mechanisms=off).schedule.must_ask(START))

    def test_seed_lists_at_once_and_not_stale(self) -> None:
        """Starting nodes ask the seeds first, and stale lists are not passed on to peers."""
        seed = make_follower(is_seed=True)
        self.assertTrue(seed.schedule.must_ask(START))
        self.assertEqual(seed.watch.next_request(), ListRequest("", stale=False))

    def test_lost_history_requires_a_list_at_once(self) -> None:
        follower = make_follower()
        follower.watch.handle_page(ListPage((), False, 9, ""), asked_at=START)
        follower.watch.handle_lost_history()
        self.assertTrue(follower.schedule.must_ask(START))

    def test_nodes_learn_within_the_bound_after_all_readers_fail(self) -> None:
        """The longest staleness, its random spread, a tick and a call fit into the bound."""
        times = evacuation_store_call_times(BOUND_SECONDS)
        self.assertLessEqual(times.stale_seconds + 0.3 + 0.25 + 0.4, BOUND_SECONDS)
        self.assertLess(times.wait_seconds, times.stale_seconds)


class CoreTest(unittest.TestCase):
    def test_evacuations_are_sent_to_peers(self) -> None:
        sender, receiver = (
            new_core(evacuate_seconds=BOUND_SECONDS),
            new_core(evacuate_seconds=BOUND_SECONDS),
        )
        for core, host in ((sender, "10.0.0.1"), (receiver, "10.0.0.2")):
            core.join_peers(host, ())
            core.advance(START)
        assert sender.evacuations is not None
        assert receiver.evacuations is not None
        sender.evacuations.watch.handle_page(ListPage((), False, 9, ""), asked_at=START)
        changes = sender.evacuations.watch.handle_changes(
            ChangeBatch((evacuation("east", 10),), 10), 9, START
        )
        sender.apply_evacuations(changes, START, START)
        sender.handle_message("10.0.0.2", ViewDigest([], [], []), START)
        for _ in range(4):
            for core, host, other in (
                (sender, "10.0.0.1", receiver),
                (receiver, "10.0.0.2", sender),
            ):
                for send in core.take_sends():
                    other.handle_message(host, send.message, START)
        self.assertEqual(set(receiver.evacuations.evacuated_since), {"east"})

    def test_platform_without_evacuations_is_not_polled_for_them(self) -> None:
        self.assertIsNone(new_core().evacuations)
