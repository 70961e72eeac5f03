"""Load shedding: a node near one of its limits sheds roles while it serves all clients."""

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
from beamloom.replication.answer_budget import MAXIMUM_REFERRALS
from beamloom.replication.fleet_share import RESULTS_TO_CHANGE, FleetShare
from beamloom.routing.tokens.packets import ForwardPacket
from beamloom.runtime.limit_watch import LimitWatch
from beamloom.runtime.own_usage import SAMPLES_PER_SLOW_SAMPLE, UsageProbe
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
            self.limits.add_sample(Usage(processor=0.05, peer_link=share))
        return self.limits.state

    def test_states_change_one_at_a_time_in_both_directions(self) -> None:
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

    def test_burst_or_usage_within_the_hysteresis_changes_nothing(self) -> None:
        self.take(0.95, SAMPLES_TO_SHED - 1)
        self.assertEqual(self.take(0.1, 1), SERVING)
        self.take(0.95, SAMPLES_TO_SHED)
        self.assertEqual(self.take(0.6, 10 * SAMPLES_TO_RETURN), ROLES_SHED)
        self.take(0.1, SAMPLES_TO_RETURN - 1)
        self.take(0.6, 1)
        self.assertEqual(self.take(0.1, SAMPLES_TO_RETURN - 1), ROLES_SHED)

    def test_unknown_usage_sheds_nothing(self) -> None:
        for _ in range(20):
            self.limits.add_sample(Usage())
        self.assertEqual(self.limits.state, SERVING)

    def test_answer_shares_fall_with_each_state(self) -> None:
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
        self.core.handle_message("10.0.0.3", ViewRequest(0, -1, [], MAXIMUM_REFERRALS), NOW)
        return [type(send.message) for send in self.core.take_sends()]

    def test_closed_node_refers_peers_and_serves_clients(self) -> None:
        self.core.apply_limit_state(CLOSED_TO_PEERS, ROLES_SHED, "memory", 0.95)
        self.assertIn(AskElsewhere, self.answers())
        self.assertIsInstance(self.core.router.handle(opening(1), NOW), ForwardPacket)
        self.core.apply_limit_state(SERVING, ROLES_SHED, "memory", 0.1)
        self.assertIn(ViewPart, self.answers())

    def test_reader_steps_down_only_if_there_is_another(self) -> None:
        role = self.core.role
        role.reading = True
        self.core.apply_limit_state(ROLES_SHED, SERVING, "processor", 0.8)
        role.advance(NOW)
        self.assertTrue(role.reading)
        role.note_reader("9-other", NOW)
        role.advance(NOW)
        self.assertFalse(role.reading)

    def test_shedding_node_announces_the_least_capacity(self) -> None:
        self.core.apply_limit_state(ROLES_SHED, SERVING, "processor", 0.8)
        self.core.request_stop(NOW)
        sent = [s.message for s in self.core.take_sends() if isinstance(s.message, ViewDigest)]
        self.assertEqual({tuple(digest.capacity) for digest in sent}, {tuple(to_wire(LEAST))})


class ProbeTest(unittest.TestCase):
    def test_unusable_limit_has_no_usage(self) -> None:
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

    def test_unreadable_usage_is_counted_and_unknown(self) -> None:
        probe = UsageProbe(LARGE, (), Counter)
        with mock.patch("beamloom.runtime.own_usage._resident_megabytes", side_effect=OSError):
            for sample in range(SAMPLES_PER_SLOW_SAMPLE + 1):
                usage = probe.sample(float(sample))
        self.assertIsNone(usage.memory)
        self.assertEqual(probe.counters["unreadable_OSError"], 2)


class WatchTest(unittest.IsolatedAsyncioTestCase):
    """The task that samples a whole node."""

    async def watched(self, traffic: Counter[str] | None) -> tuple[LimitWatch, list[Exception]]:
        """Return a watch after some samples; missing traffic counts cause an internal error."""
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

    async def test_peer_traffic_near_the_link_limit_sheds_roles(self) -> None:
        watch, faults = await self.watched(Counter())
        self.assertEqual(faults, [])
        self.assertEqual(watch.level, 2)
        self.assertEqual(watch.counters["roles_shed_peer_link"], 1)

    async def test_internal_error_ends_the_sampling_but_not_the_task(self) -> None:
        watch, faults = await self.watched(None)
        self.assertEqual([type(fault) for fault in faults], [TypeError])
        self.assertEqual(watch.level, 0)


class SendersTest(unittest.TestCase):
    """Which nodes may open flows at a cold backend."""

    HOSTS = [f"10.0.0.{number}" for number in range(1, 41)]
    LARGE_HOSTS = HOSTS[:5]

    def share(self, host: str) -> FleetShare:
        share = settled_share(host, self.HOSTS, 2)
        peers = share.peers
        peers.capacity = LARGE if host in self.LARGE_HOSTS else LEAST
        for other in self.HOSTS:
            peers.note_capacity(other, LARGE if other in self.LARGE_HOSTS else LEAST)
        return share

    def test_large_machines_hold_most_and_two_hold_each(self) -> None:
        shares = {host: self.share(host) for host in self.HOSTS}
        held: Counter[str] = Counter()
        for key in range(200):
            holders = [host for host in self.HOSTS if shares[host].is_assigned(key, NOW)]
            self.assertEqual(len(holders), 2)
            held.update(holders)
        self.assertGreater(sum(held[host] for host in self.LARGE_HOSTS), 200)

    def test_brief_loss_of_contact_with_peers_moves_no_key(self) -> None:
        own = self.HOSTS[0]
        share = self.share(own)
        keys = [key for key in range(200) if not share.is_assigned(key, NOW)]
        others = dict(share.peers._last_seen)
        share.peers._last_seen = {}
        self.assertFalse(any(share.is_assigned(key, NOW + 1.5) for key in keys))
        share.peers._last_seen = others
        self.assertFalse(any(share.is_assigned(key, NOW + 3.0) for key in keys))

    def test_lost_holders_are_replaced_within_the_contact_bound(self) -> None:
        own = self.HOSTS[0]
        share = self.share(own)
        keys = [key for key in range(200) if not share.is_assigned(key, NOW)]
        share.peers._last_seen = {}
        for draw in range(RESULTS_TO_CHANGE):
            held = [share.is_assigned(key, NOW + 1.0 + draw * 1.1) for key in keys]
        self.assertTrue(all(held))

    def test_shedding_node_holds_nothing(self) -> None:
        share = self.share(self.HOSTS[0])
        share.is_shedding = True
        self.assertFalse(any(share.is_assigned(key, NOW) for key in range(200)))

    def test_differing_views_leave_few_holders_and_rarely_none(self) -> None:
        """Half of the nodes have received no capacity of a peer yet."""
        plain = {host: settled_share(host, self.HOSTS, 2) for host in self.HOSTS[20:]}
        shares = {**{host: self.share(host) for host in self.HOSTS[:20]}, **plain}
        counts = [sum(shares[h].is_assigned(key, NOW) for h in self.HOSTS) for key in range(300)]
        self.assertLessEqual(max(counts), 4)
        self.assertGreater(sum(count > 0 for count in counts), 290)


if __name__ == "__main__":
    unittest.main()
