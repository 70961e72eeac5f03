"""Choosing the peers to request changes from: by capacity, spread, and replaced on timeout."""

import random
import unittest

from beamloom.protocol.view_messages import AskElsewhere, ViewDigest, ViewPart, ViewRequest
from beamloom.replication.answer_budget import MAXIMUM_REFERRALS, AnswerBudget
from beamloom.replication.peer_table import MAXIMUM_FAN_OUT, PeerTable
from beamloom.replication.pull_choice import UNANSWERED_AVOID_SECONDS, PendingRequest, PullChoice
from beamloom.replication.store_view import NamedRecord
from beamloom.replication.view_pulls import REQUEST_TIMEOUT_SECONDS
from beamloom.settings.capacity import LEAST, Capacity
from tests.unit.tokens.builders import backend
from tests.unit.views.exchange_network import Network, Node

LARGE = Capacity(2.15, 100.0, 300.0, 4100.0)
CONTACT_SECONDS = 4.0
REPLACED_SECONDS = REQUEST_TIMEOUT_SECONDS + 0.3
"""A request's timeout and a few steps of the test's clock."""


def peer_table(count: int, large: int, capacity: Capacity = LEAST) -> PeerTable:
    """Return a table with `count` peers, the first `large` of them large."""
    peers = PeerTable("10.0.0.1", [], random.Random(1), "west", capacity)
    for number in range(count):
        host = f"10.0.1.{number}"
        peers.note(host, 1.0, 1.0)
        peers.note_zone(host, "west" if number % 2 == 0 else "east")
        peers.note_capacity(host, LARGE if number < large else LEAST)
    peers.remove_expired(1.0)
    return peers


class ChoiceTest(unittest.TestCase):
    def draws(self, peers: PeerTable, count: int) -> list[int]:
        pulls = PullChoice(peers, random.Random(2))
        for host in peers.hosts():
            pulls.note_revision(0, host, 7, 1.0)
        return [int(pulls.choose(0, 7, 1.0).split(".")[3]) for _ in range(count)]

    def test_requests_are_spread_over_strong_peers_of_the_own_zone(self) -> None:
        drawn = self.draws(peer_table(40, large=8), 400)
        near = [drawn.count(number) / len(drawn) for number in range(0, 8, 2)]
        self.assertAlmostEqual(sum(near), 8 / 9, delta=0.06)
        self.assertLess(max(drawn), 8, "a peer of the least capacity was chosen beside larger ones")
        self.assertLess(max(near), 0.3)

    def test_requests_are_spread_evenly_over_equal_peers(self) -> None:
        drawn = self.draws(peer_table(10, large=0), 2000)
        near = [drawn.count(number) / len(drawn) for number in range(0, 10, 2)]
        self.assertLess(max(near), 1.4 * min(near))

    def test_a_peer_that_did_not_answer_is_avoided_for_a_while(self) -> None:
        pulls = PullChoice(peer_table(2, large=1), random.Random(2))
        pulls.note_revision(0, "10.0.1.0", 7, 1.0)
        self.assertEqual(pulls.choose(0, 7, 1.0), "10.0.1.0")
        pulls.pending[0] = PendingRequest("10.0.1.0", 0)
        pulls.note_unanswered(0, 1.0)
        self.assertEqual(pulls.choose(0, 7, 2.0), "")
        pulls.note_revision(0, "10.0.1.0", 7, 1.0 + UNANSWERED_AVOID_SECONDS)
        self.assertEqual(pulls.choose(0, 7, 1.0 + UNANSWERED_AVOID_SECONDS), "10.0.1.0")

    def test_stronger_nodes_have_a_larger_fan_out(self) -> None:
        self.assertEqual(peer_table(40, large=0).fan_out(7), 7)
        self.assertEqual(peer_table(40, large=8).fan_out(7), 7)
        self.assertEqual(peer_table(40, large=8, capacity=LARGE).fan_out(7), MAXIMUM_FAN_OUT)
        self.assertEqual(peer_table(0, large=0).fan_out(7), 7)
        self.assertEqual(peer_table(40, large=8).fan_out(1), 1)


class ReachTest(unittest.TestCase):
    """One machine in eight is large, and a single backend changes now and then."""

    def test_a_change_reaches_all_nodes_within_300_ms(self) -> None:
        network = Network(120, seed=3)
        nodes = list(network.nodes.values())
        for number, node in enumerate(nodes):
            node.exchange.peers.capacity = LARGE if number % 8 == 7 else LEAST
        network.run(8.0)
        for revision in range(10, 16):
            network.learn(nodes[7], backend(revision), revision=revision)
            network.run(0.3)
            self.assertEqual(network.share_at(revision), 1.0)
            network.run(0.4)


class HolderTest(unittest.TestCase):
    """Two nodes have a change; all others request it from the large one, which does not answer."""

    def setUp(self) -> None:
        self.network = Network(9, seed=6)
        self.reader, self.large, *self.others = self.network.nodes.values()
        self.large.exchange.peers.capacity = LARGE
        self.network.run(6.0)
        self.network.learn(self.reader, backend(1), revision=5)
        self.network.run(1.0)
        for node in self.others:
            self.assertEqual(node.exchange.peers.rank_of(self.large.host), LARGE.rank)

    def change(self) -> None:
        for node in (self.large, self.reader):
            self.network.learn(node, backend(2), revision=9)

    def assert_replaced(self) -> None:
        self.network.run(REPLACED_SECONDS)
        self.assertLess(REPLACED_SECONDS, CONTACT_SECONDS)
        for node in self.others:
            self.assertEqual(node.view.revision, 9)

    def ask_the_large_one(self) -> None:
        """Deliver digests of the large node, but none of its answers."""
        self.change()
        self.network.partitioned = {self.large.host}
        for node in self.others:
            node.exchange.handle(self.large.host, ViewDigest([[9, 0]], [], []), self.network.now)
            self.network.flush(node)

    def test_a_partitioned_holder_is_replaced(self) -> None:
        self.ask_the_large_one()
        self.assert_replaced()

    def test_a_lost_holder_is_replaced(self) -> None:
        self.ask_the_large_one()
        del self.network.nodes[self.large.host]
        self.assert_replaced()

    def test_a_slow_holder_is_replaced(self) -> None:
        self.change()
        self.network.extra_delay[self.large.host] = 2.0
        self.assert_replaced()
        self.network.run(CONTACT_SECONDS)
        self.assertEqual(self.network.share_at(9), 1.0)

    def test_a_frozen_holder_is_replaced_and_catches_up(self) -> None:
        self.ask_the_large_one()
        frozen = self.network.nodes.pop(self.large.host)
        self.assert_replaced()
        self.network.run(CONTACT_SECONDS)
        self.network.partitioned = set()
        self.network.nodes[frozen.host] = frozen
        self.network.learn(self.reader, backend(3), revision=12)
        self.network.run(1.5)
        self.assertEqual(self.network.share_at(12), 1.0)


class BudgetTest(unittest.TestCase):
    def setUp(self) -> None:
        self.node = Node("10.0.0.1", [], random.Random(1))
        self.node.view.confirm(1.0)
        self.node.view.replace([NamedRecord(f"i-{n:08x}", 5, backend(n)) for n in range(1500)], 5)
        for number in range(2, 8):
            self.node.exchange.handle(f"10.0.0.{number}", ViewDigest([[5, 10]], [], []), 1.0)
        self.node.exchange.take_sends()

    def ask(self, host: str, attempt: int = 0) -> set[type]:
        self.node.exchange.handle(host, ViewRequest(0, -1, [], attempt), 1.0)
        return {
            type(send.message)
            for send in self.node.exchange.take_sends()
            if send.host == host and not isinstance(send.message, ViewDigest)
        }

    def test_over_budget_a_node_refers_first_attempts_and_answers_later_ones(self) -> None:
        self.assertEqual(self.ask("10.0.0.2"), {ViewPart})
        self.assertEqual(self.ask("10.0.0.3"), {AskElsewhere})
        self.assertEqual(self.ask("10.0.0.3", attempt=MAXIMUM_REFERRALS), {ViewPart})
        for _ in range(5):
            self.ask("10.0.0.4", attempt=MAXIMUM_REFERRALS)
        self.assertEqual(self.ask("10.0.0.4", attempt=MAXIMUM_REFERRALS), {AskElsewhere})

    def test_at_share_zero_it_refers_until_the_last_attempt(self) -> None:
        self.node.exchange.limit_answers(0.0)
        self.assertEqual(self.ask("10.0.0.2", attempt=MAXIMUM_REFERRALS), {AskElsewhere})
        self.assertEqual(self.ask("10.0.0.2", attempt=MAXIMUM_REFERRALS + 1), {ViewPart})

    def test_a_node_without_peers_answers(self) -> None:
        lone = Node("10.0.0.1", [], random.Random(1))
        lone.view.replace([], 5)
        lone.exchange.limit_answers(0.0)
        lone.exchange.handle("10.0.0.2", ViewRequest(0, -1), 1.0)
        self.assertTrue(any(isinstance(s.message, ViewPart) for s in lone.exchange.take_sends()))

    def test_the_bucket_refills(self) -> None:
        budget = AnswerBudget(LEAST)
        budget.note_sent(60_000)
        self.assertFalse(budget.admits(0, 0.1))
        self.assertTrue(budget.admits(0, 2.0))


class StoreFirstTest(unittest.TestCase):
    def test_changes_read_from_the_store_meanwhile_are_not_requested(self) -> None:
        """Nodes that start together and read the store would send useless requests and digests."""
        node = Node("10.0.0.1", [], random.Random(1))
        node.exchange.handle("10.0.0.2", ViewDigest([[5, 10]], [], []), 1.0)
        node.view.replace([], 5)
        node.exchange.advance(1.0)
        node.exchange.take_sends()
        for step in range(1, 4):
            node.exchange.advance(1.0 + REQUEST_TIMEOUT_SECONDS + step / 50)
        self.assertEqual(node.exchange.take_sends(), [])


class ReferralTest(unittest.TestCase):
    def test_a_referred_node_gets_what_it_lacks(self) -> None:
        network = Network(9, seed=6)
        network.run(6.0)
        nodes = list(network.nodes.values())
        for node in nodes[:4]:
            node.exchange.limit_answers(0.0)
        network.learn(nodes[0], backend(1), revision=5)
        network.run(1.0)
        self.assertEqual(network.share_at(5), 1.0)

    def test_an_unsolicited_referral_is_ignored(self) -> None:
        node = Node("10.0.0.1", [], random.Random(1))
        node.exchange.handle("10.0.0.2", AskElsewhere(7, ["10.9.9.9"]), 1.0)
        node.exchange.handle("10.0.0.2", AskElsewhere(0, ["10.9.9.9"]), 1.0)
        self.assertEqual(node.exchange.take_sends(), [])

    def test_referred_hosts_that_are_not_peers_are_not_asked(self) -> None:
        node = Node("10.0.0.1", [], random.Random(1))
        node.exchange.handle("10.0.0.2", ViewDigest([[5, 10]], [], []), 1.0)
        node.exchange.take_sends()
        node.exchange.handle("10.0.0.2", AskElsewhere(0, ["10.9.9.9"]), 1.0)
        self.assertEqual([send.host for send in node.exchange.take_sends()], ["10.0.0.2"])


if __name__ == "__main__":
    unittest.main()
