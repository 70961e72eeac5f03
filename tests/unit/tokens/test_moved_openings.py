"""Openings whose copies reach another node than the original; what nodes tell each other."""

import unittest

from beamloom.node.token_core import TokenCore
from beamloom.routing.tokens.held_copies import ANSWER_SECONDS, MAXIMUM_HELD
from beamloom.routing.tokens.packets import (
    ClientPacket,
    DropPacket,
    ForwardPacket,
    HoldPacket,
    RouterCommand,
)
from beamloom.settings.mechanisms import ALL_MECHANISMS
from tests.unit.tokens.builders import (
    backend,
    forwarded_to,
    make_core,
    make_router,
    opening,
    packet,
)

HOSTS = ("10.0.0.1", "10.0.0.2", "10.0.0.3")
START = 11.0
SETTLED = START + 4.0
ANSWERED = 5_000_000


class MovedOpeningsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.cores: dict[str, TokenCore] = {}
        for number, host in enumerate(HOSTS):
            records = [backend(one) for one in range(1, 9)]
            self.cores[host] = make_core(ALL_MECHANISMS, *records[number:], *records[:number])
            self.cores[host].join_peers(host, HOSTS)
        for step in range(41):
            self.advance(START + step / 10)

    def advance(self, now: float) -> None:
        for core in self.cores.values():
            core.advance(now)
        self.exchange(now)

    def exchange(self, now: float) -> None:
        """Deliver messages until there are none."""
        while sends := [
            (host, send) for host, core in self.cores.items() for send in core.take_sends()
        ]:
            for host, send in sends:
                if send.host in self.cores:
                    self.cores[send.host].handle_message(host, send.message, now)

    def handle(self, number: int, sent: ClientPacket, now: float) -> RouterCommand:
        return self.cores[HOSTS[number]].router.handle(sent, now)

    def handle_copy(self, number: int, client: int, copies: int, now: float) -> RouterCommand:
        """Return the command for a copy that is held first."""
        self.assertIsInstance(self.handle(number, opening(client, copies), now), HoldPacket)
        self.exchange(now)
        return self.cores[HOSTS[number]].router.late_commands.popleft()

    def test_a_copy_goes_to_the_backend_of_the_original(self) -> None:
        """Guards against a second backend after routers have chosen another node."""
        for client in range(1, 6):
            first = forwarded_to(self.handle(0, opening(client), SETTLED))
            self.assertEqual(forwarded_to(self.handle_copy(1, client, 1, SETTLED + 0.2)), first)
            self.assertEqual(forwarded_to(self.handle_copy(2, client, 2, SETTLED + 0.6)), first)

    def test_a_copy_whose_original_was_lost_is_placed_at_once(self) -> None:
        self.assertIsInstance(self.handle_copy(1, 1, 1, SETTLED), ForwardPacket)

    def test_a_copy_waits_for_a_node_that_does_not_answer(self) -> None:
        del self.cores[HOSTS[0]]
        for client, moves in ((1, False), (2, True)):
            with self.subTest(moves=moves):
                router = self.cores[HOSTS[1]].router
                router.flows_move_until = SETTLED + 1.0 if moves else START
                self.handle(1, opening(client, 1), SETTLED)
                self.exchange(SETTLED)
                self.assertFalse(router.late_commands)
                self.assertEqual(router.next_deadline(), SETTLED + ANSWER_SECONDS)
                router.advance(SETTLED + ANSWER_SECONDS)
                expected = DropPacket if moves else ForwardPacket
                self.assertIsInstance(router.late_commands.popleft(), expected)

    def test_few_copies_are_held(self) -> None:
        """Guards against questions of which clients cause any number."""
        held = [
            isinstance(self.handle(1, opening(client, 1), SETTLED), HoldPacket)
            for client in range(2 * MAXIMUM_HELD)
        ]
        self.assertEqual(sum(held), MAXIMUM_HELD)

    def test_a_node_that_stops_reports_openings_without_an_answer(self) -> None:
        first = forwarded_to(self.handle(0, opening(1), SETTLED))
        starting = self.cores.pop(HOSTS[2])
        self.cores[HOSTS[0]].announce_end(SETTLED + 0.1)
        self.exchange(SETTLED + 0.1)
        del self.cores[HOSTS[0]]
        command = self.handle(1, opening(1, 1), SETTLED + 0.2)
        self.assertEqual(forwarded_to(command), first)
        self.cores[HOSTS[2]] = starting
        self.assertEqual(forwarded_to(self.handle_copy(2, 1, 2, SETTLED + 0.6)), first)

    def test_nodes_tell_each_other_where_a_flow_is_open(self) -> None:
        """Guards against the late answer of a backend whose node has failed."""
        failed = self.cores.pop(HOSTS[0])
        first = failed.router.handle(opening(1), SETTLED)
        router = self.cores[HOSTS[1]].router
        router.backends.update(backend(forwarded_to(first), slots=1), 4, SETTLED)
        self.handle(1, opening(1, 2), SETTLED + 0.6)
        self.exchange(SETTLED + 0.6)
        router.advance(SETTLED + 0.7)
        second = router.late_commands.popleft()
        assert isinstance(first, ForwardPacket)
        assert isinstance(second, ForwardPacket)
        self.assertNotEqual(first.identity, second.identity)
        request = packet(1, token=second.token, acknowledged=ANSWERED, data_length=9)
        self.handle(1, request, SETTLED + 0.8)
        self.advance(SETTLED + 0.9)
        del self.cores[HOSTS[1]]
        later = request._replace(token=first.token, acknowledged=ANSWERED + 2000)
        command = self.handle(2, later, SETTLED + 2.0)
        self.assertEqual(forwarded_to(command), second.identity)
        other_flow = later._replace(acknowledged=ANSWERED * 100)
        command = self.handle(2, other_flow, SETTLED + 2.0)
        self.assertEqual(forwarded_to(command), first.identity)


class RestartedBackendTest(unittest.TestCase):
    def test_a_copy_goes_to_the_process_that_has_replaced_its_backend(self) -> None:
        """It may have got the opening packet before its record reached the node."""
        router = make_router(*(backend(number) for number in range(1, 9)))
        first = forwarded_to(router.handle(opening(1), now=1.0))
        restarted = backend(first)._replace(born_at=1)
        router.backends.update(restarted, 9, now=1.1)
        self.assertEqual(forwarded_to(router.handle(opening(1, copies=1), now=1.2)), first)


if __name__ == "__main__":
    unittest.main()
