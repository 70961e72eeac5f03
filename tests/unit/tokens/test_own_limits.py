"""A node near one of its own limits gives up roles and takes them up again; clients see nothing."""

import asyncio
import tomllib
import unittest
from collections import Counter
from unittest import mock

from beamloom.node.own_limits import (
    CLOSED_TO_PEERS,
    ROLES_SHED,
    SAMPLES_TO_RETURN,
    SAMPLES_TO_SHED,
    SERVING,
    OwnLimits,
    Usage,
)
from beamloom.node.token_core import ANSWER_SHARES
from beamloom.platform.node_settings import check_settings
from beamloom.protocol.view_messages import AskElsewhere, ViewDigest, ViewPart, ViewRequest
from beamloom.replication.answer_budget import MOST_REFERRALS
from beamloom.replication.fleet_share import DRAWS_TO_CHANGE, FleetShare
from beamloom.routing.tokens.packets import ForwardPacket
from beamloom.runtime.limit_watch import LimitWatch
from beamloom.runtime.own_usage import SLOW_SAMPLES, UsageProbe
from beamloom.settings.capacity import LEAST, Capacity, to_wire
from beamloom.settings.mechanisms import ALL_MECHANISMS
from tests.unit.tokens.builders import backend, make_core, opening, settled_share
from tests.unit.tokens.test_settings import SETTINGS

NOW = 10.0
LARGE = Capacity(2.15, 100.0, 300.0, 4100.0)


class StatesTest(unittest.TestCase):
    def setUp(self) -> None:
        self.changes: list[tuple[str, str, str, float]] = []
        self.limits = OwnLimits(lambda *change: self.changes.append(change))

    def take(self, share: float, times: int) -> str:
        for _ in range(times):
            self.limits.take(Usage(processor=0.05, peer_link=share))
        return self.limits.state

    def test_roles_go_first_and_answers_last_and_come_back_in_turn(self) -> None:
        self.assertEqual(self.take(0.95, SAMPLES_TO_SHED), ROLES_SHED)
        self.assertEqual(self.take(0.95, SAMPLES_TO_SHED), CLOSED_TO_PEERS)
        self.assertEqual(self.take(0.1, SAMPLES_TO_RETURN), ROLES_SHED)
        self.assertEqual(self.take(0.1, SAMPLES_TO_RETURN), SERVING)
        states = [(change[1], change[0], change[2]) for change in self.changes]
        self.assertEqual(
            states,
            [
                (SERVING, ROLES_SHED, "peer_link"),
                (ROLES_SHED, CLOSED_TO_PEERS, "peer_link"),
                (CLOSED_TO_PEERS, ROLES_SHED, "peer_link"),
                (ROLES_SHED, SERVING, "peer_link"),
            ],
        )
        self.assertEqual(self.limits.counters["roles_shed_peer_link"], 2)

    def test_a_burst_or_a_share_in_between_moves_nothing(self) -> None:
        self.take(0.95, SAMPLES_TO_SHED - 1)
        self.assertEqual(self.take(0.1, 1), SERVING)
        self.take(0.95, SAMPLES_TO_SHED)
        self.assertEqual(self.take(0.6, 10 * SAMPLES_TO_RETURN), ROLES_SHED)
        self.take(0.1, SAMPLES_TO_RETURN - 1)
        self.take(0.6, 1)
        self.assertEqual(self.take(0.1, SAMPLES_TO_RETURN - 1), ROLES_SHED)

    def test_limits_that_are_not_known_shed_nothing(self) -> None:
        for _ in range(20):
            self.limits.take(Usage())
        self.assertEqual(self.limits.state, SERVING)

    def test_each_state_has_its_share_of_answers(self) -> None:
        shares = [ANSWER_SHARES[state] for state in (SERVING, ROLES_SHED, CLOSED_TO_PEERS)]
        self.assertEqual(shares, sorted(shares, reverse=True))


class CoreTest(unittest.TestCase):
    def setUp(self) -> None:
        self.core = make_core(ALL_MECHANISMS, backend(1))
        self.core.join_peers("10.0.0.1", ("10.0.0.2",))
        for host in ("10.0.0.2", "10.0.0.3"):
            digest = ViewDigest([[9, 0], [3, 0]], [], [], "west", capacity=to_wire(LARGE))
            self.core.handle_message(host, digest, NOW)
        self.core.take_sends()

    def answers(self) -> list[type]:
        self.core.handle_message("10.0.0.3", ViewRequest(0, -1, [], MOST_REFERRALS), NOW)
        return [type(send.message) for send in self.core.take_sends()]

    def test_a_closed_node_refers_peers_and_serves_clients(self) -> None:
        self.core.use_limits(CLOSED_TO_PEERS, ROLES_SHED, "memory", 0.95)
        self.assertIn(AskElsewhere, self.answers())
        self.assertIsInstance(self.core.router.handle(opening(1), NOW), ForwardPacket)
        self.core.use_limits(SERVING, ROLES_SHED, "memory", 0.1)
        self.assertIn(ViewPart, self.answers())

    def test_a_reader_leaves_the_store_to_another_if_there_is_one(self) -> None:
        duty = self.core.duty
        duty.reading = True
        self.core.use_limits(ROLES_SHED, SERVING, "processor", 0.8)
        duty.advance(NOW)
        self.assertTrue(duty.reading)
        duty.note_reader("9-other", NOW)
        duty.advance(NOW)
        self.assertFalse(duty.reading)

    def test_peers_hear_that_it_can_bear_the_least(self) -> None:
        self.core.use_limits(ROLES_SHED, SERVING, "processor", 0.8)
        self.core.ask_to_stop(NOW)
        told = [s.message for s in self.core.take_sends() if isinstance(s.message, ViewDigest)]
        self.assertEqual({tuple(digest.capacity) for digest in told}, {tuple(to_wire(LEAST))})


class ProbeTest(unittest.TestCase):
    def test_a_limit_that_nobody_told_is_not_judged(self) -> None:
        traffic: Counter[str] = Counter()
        probe = UsageProbe(Capacity(1.0, 8.0, 300.0, 4100.0), ("cores",), lambda: traffic)
        probe.sample(1.0)
        traffic["received_bytes"] = 200_000
        usage = probe.sample(3.0)
        self.assertIsNone(usage.processor)
        self.assertAlmostEqual(usage.peer_link or 0.0, 1.0)
        for share in (usage.memory, usage.descriptors):
            assert share is not None
            self.assertGreater(share, 0.0)

    def test_figures_that_cannot_be_read_are_counted_and_not_judged(self) -> None:
        probe = UsageProbe(LARGE, (), Counter)
        with mock.patch("beamloom.runtime.own_usage._resident_megabytes", side_effect=OSError):
            for sample in range(SLOW_SAMPLES + 1):
                usage = probe.sample(float(sample))
        self.assertIsNone(usage.memory)
        self.assertEqual(probe.counters["unreadable_OSError"], 2)


class WatchTest(unittest.IsolatedAsyncioTestCase):
    """The task that samples a whole node."""

    async def watched(self, traffic: Counter[str] | None) -> tuple[LimitWatch, list[Exception]]:
        """Return a watch after some samples; traffic that is missing is an error of our own."""
        core = make_core(ALL_MECHANISMS, backend(1))
        settings = check_settings(tomllib.loads(SETTINGS), "node.toml")
        settings = settings._replace(capacity=LARGE, unusable_limits=())
        faults: list[Exception] = []
        watch = LimitWatch(core, settings, lambda: traffic, faults.append)  # type: ignore[arg-type, return-value]
        with (
            mock.patch("beamloom.runtime.limit_watch.WATCH_AFTER_SECONDS", 0.0),
            mock.patch("beamloom.node.own_limits.SAMPLE_SECONDS", 0.01),
        ):
            task = asyncio.create_task(watch.run())
            for _ in range(20):
                await asyncio.sleep(0.01)
                if traffic is not None:
                    traffic["sent_bytes"] += 10_000_000
        self.assertFalse(task.done())
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        return watch, faults

    async def test_a_node_whose_peers_take_its_link_sheds(self) -> None:
        watch, faults = await self.watched(Counter())
        self.assertEqual(faults, [])
        self.assertEqual(watch.level, 2)
        self.assertEqual(watch.counters["roles_shed_peer_link"], 1)

    async def test_an_error_of_our_own_ends_the_watch_and_not_the_node(self) -> None:
        watch, faults = await self.watched(None)
        self.assertEqual([type(fault) for fault in faults], [TypeError])
        self.assertEqual(watch.level, 0)


class SendersTest(unittest.TestCase):
    """Who may open flows at a cold backend."""

    HOSTS = [f"10.0.0.{number}" for number in range(1, 41)]
    ABLE = HOSTS[:5]

    def share(self, host: str) -> FleetShare:
        share = settled_share(host, self.HOSTS, 2)
        peers = share.peers
        peers.capacity = LARGE if host in self.ABLE else LEAST
        for other in self.HOSTS:
            peers.note_capacity(other, LARGE if other in self.ABLE else LEAST)
        return share

    def test_able_machines_hold_most_and_two_hold_each(self) -> None:
        shares = {host: self.share(host) for host in self.HOSTS}
        held: Counter[str] = Counter()
        for key in range(200):
            holders = [host for host in self.HOSTS if shares[host].holds(key, NOW)]
            self.assertEqual(len(holders), 2)
            held.update(holders)
        self.assertGreater(sum(held[host] for host in self.ABLE), 200)

    def test_a_peer_that_is_unheard_for_a_moment_moves_nothing(self) -> None:
        own = self.HOSTS[0]
        share = self.share(own)
        keys = [key for key in range(200) if not share.holds(key, NOW)]
        others = dict(share.peers._last_seen)
        share.peers._last_seen = {}
        self.assertFalse(any(share.holds(key, NOW + 1.5) for key in keys))
        share.peers._last_seen = others
        self.assertFalse(any(share.holds(key, NOW + 3.0) for key in keys))

    def test_holders_that_are_gone_are_replaced_within_the_contact_bound(self) -> None:
        own = self.HOSTS[0]
        share = self.share(own)
        keys = [key for key in range(200) if not share.holds(key, NOW)]
        share.peers._last_seen = {}
        for draw in range(DRAWS_TO_CHANGE):
            held = [share.holds(key, NOW + 1.0 + draw * 1.1) for key in keys]
        self.assertTrue(all(held))

    def test_a_node_that_sheds_holds_nothing(self) -> None:
        share = self.share(self.HOSTS[0])
        share.sheds = True
        self.assertFalse(any(share.holds(key, NOW) for key in range(200)))

    def test_views_that_differ_leave_somebody_and_not_too_many(self) -> None:
        """Half of the nodes have heard nobody's capacity yet."""
        plain = {host: settled_share(host, self.HOSTS, 2) for host in self.HOSTS[20:]}
        shares = {**{host: self.share(host) for host in self.HOSTS[:20]}, **plain}
        counts = [sum(shares[h].holds(key, NOW) for h in self.HOSTS) for key in range(300)]
        self.assertLessEqual(max(counts), 4)
        self.assertGreater(sum(count > 0 for count in counts), 290)


if __name__ == "__main__":
    unittest.main()
