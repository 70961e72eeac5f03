"""The environment of a soak's nodes: overlapping faults, proxies, checks of cold endpoints."""

import asyncio
import random
import tempfile
import unittest
from collections.abc import Callable
from pathlib import Path
from unittest.mock import Mock

from beamloom.simulation.tokens.deployment import SERVICES, destination, endpoint_record
from beamloom.simulation.tokens.oracle import APPLY_SECONDS, TokenOracle
from beamloom.soak.cold_openings import MAXIMUM_OPENINGS, WARM_UP_SECONDS, ColdOpenings
from beamloom.soak.faults import SoakFaults, UnknownFaultError
from beamloom.soak.harness import SoakHarness
from beamloom.soak.platform_side import SoakPlatform
from beamloom.soak.proxy import StoreProxy
from beamloom.standins.flow_packets import FlowEnd

NETWORK = "127.64"
STORE_HOST = f"{NETWORK}.4.9"
NODE_HOST = f"{NETWORK}.3.9"
SILENCE_SECONDS = 0.2
COLD = endpoint_record(7, SERVICES[0], (f"{NETWORK}.16.1", 1))


def client(number: int) -> FlowEnd:
    """Return the address and port of one of the clients."""
    return FlowEnd(bytes((127, 64, 2, 1)), 20_000 + number)


class OverlappingFaultsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.scheduled: list[tuple[float, Callable[[], object]]] = []
        self.platform = SoakPlatform(NETWORK, TokenOracle(), lambda: 0.0, self._call_later)

    def _call_later(self, seconds: float, callback: Callable[[], object]) -> None:
        self.scheduled.append((seconds, callback))

    def test_store_fault_ends_with_the_last_overlapping_one(self) -> None:
        """Guards against a store that stays unavailable after two overlapping faults."""
        self.platform.inject_store_fault("unavailable", True, 4.0)
        self.platform.inject_store_fault("unavailable", True, 4.0)
        self.scheduled[0][1]()
        self.assertTrue(self.platform.server.faults.unavailable)
        self.scheduled[1][1]()
        self.assertFalse(self.platform.server.faults.unavailable)

    def test_host_fault_ends_with_the_last_overlapping_one(self) -> None:
        hosts = self.platform.server.faults.silent_hosts
        self.platform.inject_host_fault("silent_hosts", ["a", "b"], 4.0)
        self.platform.inject_host_fault("silent_hosts", ["b"], 4.0)
        for expected, (_, callback) in zip(({"b"}, {"b"}, set()), self.scheduled, strict=True):
            callback()
            self.assertEqual(hosts, expected)


class StoreProxyTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.callers: list[str] = []
        self.answering: list[asyncio.StreamWriter] = []
        self.store = await asyncio.start_server(self._echo, STORE_HOST, 0)
        self.proxy = StoreProxy((STORE_HOST, self.store.sockets[0].getsockname()[1]))
        await self.proxy.start(NODE_HOST)

    async def asyncTearDown(self) -> None:
        await self.proxy.close()
        self.store.close()

    async def _echo(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.callers.append(writer.get_extra_info("peername")[0])
        self.answering.append(writer)
        while data := await reader.read(100):
            writer.write(data)
        writer.close()

    async def _ask(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> bytes:
        writer.write(b"call")
        async with asyncio.timeout(SILENCE_SECONDS):
            return await reader.read(100)

    async def test_open_connections_are_silenced_and_new_ones_work(self) -> None:
        old = await asyncio.open_connection(NODE_HOST, self.proxy.port)
        self.assertEqual(await self._ask(*old), b"call")
        self.proxy.silence_connections()
        new = await asyncio.open_connection(NODE_HOST, self.proxy.port)
        for _ in range(2):
            with self.assertRaises(TimeoutError):
                await self._ask(*old)
            self.assertEqual(await self._ask(*new), b"call")
        for _, writer in (old, new):
            writer.close()

    async def test_silent_connection_hides_a_close_by_the_store(self) -> None:
        old = await asyncio.open_connection(NODE_HOST, self.proxy.port)
        await self._ask(*old)
        self.proxy.silence_connections()
        for writer in self.answering:
            writer.close()
        with self.assertRaises(TimeoutError):
            await self._ask(*old)
        old[1].close()

    async def test_reset_ends_a_silent_connection(self) -> None:
        reader, writer = await asyncio.open_connection(NODE_HOST, self.proxy.port)
        await self._ask(reader, writer)
        self.proxy.silence_connections()
        self.proxy.reset_connections()
        with self.assertRaises(ConnectionResetError):
            await self._ask(reader, writer)
        writer.close()

    async def test_store_sees_a_source_address_for_each_node(self) -> None:
        reader, writer = await asyncio.open_connection(NODE_HOST, self.proxy.port)
        await self._ask(reader, writer)
        self.assertEqual(self.callers, [NODE_HOST])
        writer.close()


class ColdOpeningsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.oracle = TokenOracle()
        self.cold = ColdOpenings(self.oracle)
        self.cold.note_cold(COLD.name, 10.0)

    def _open(self, flows: range, now: float) -> None:
        for number in flows:
            self.cold.check_opening(COLD, client(number), now)

    def test_too_many_openings_in_a_second_are_reported(self) -> None:
        most = int(MAXIMUM_OPENINGS)
        self._open(range(most), 11.0)
        self.assertEqual(self.oracle.violations, [])
        self._open(range(most, most + 1), 11.9)
        self.assertEqual([violation.rule for violation in self.oracle.violations], ["cold"])

    def test_copies_other_seconds_and_warm_endpoints_are_not_counted(self) -> None:
        most = int(MAXIMUM_OPENINGS)
        self._open(range(most), 11.0)
        self._open(range(most), 11.5)
        self._open(range(most, 2 * most), 12.0)
        self._open(range(2 * most, 9 * most), 10.0 + WARM_UP_SECONDS)
        self.assertEqual(self.oracle.violations, [])

    def test_refusals_are_allowed_only_while_all_endpoints_may_be_presumed_cold(self) -> None:
        warm_again = 10.0 + WARM_UP_SECONDS
        self.assertTrue(self.cold.may_all_be_presumed_cold([COLD.name], warm_again + 2.9))
        self.assertFalse(self.cold.may_all_be_presumed_cold([COLD.name], warm_again + 3.1))
        self.assertFalse(self.cold.may_all_be_presumed_cold([COLD.name, "warm"], 11.0))
        self.assertFalse(self.cold.may_all_be_presumed_cold([], 11.0))


class NetworkTest(unittest.IsolatedAsyncioTestCase):
    async def test_two_soaks_of_one_process_use_different_networks(self) -> None:
        """Guards against `Address already in use` when several soaks start at once."""
        with tempfile.TemporaryDirectory() as folder:
            harnesses = [SoakHarness(Path(folder), 1, seed) for seed in range(2)]
        for harness in harnesses:
            self.addAsyncCleanup(harness.close)
        self.assertEqual(len({harness.platform.store_host for harness in harnesses}), 2)


class FaultNamesTest(unittest.TestCase):
    def test_error_for_an_unknown_fault_lists_the_known_ones(self) -> None:
        harness = Mock(spec=SoakHarness, nodes={}, platform=Mock(), now=0.0)
        SoakFaults(harness, random.Random(1), ["silence"])
        with self.assertRaisesRegex(UnknownFaultError, "no such fault: sillence; .*silence_all"):
            SoakFaults(harness, random.Random(1), ["silence", "sillence"])


class ReleaseTest(unittest.IsolatedAsyncioTestCase):
    async def test_release_leaves_only_cold_endpoints(self) -> None:
        oracle = TokenOracle()
        platform = SoakPlatform("127.63", oracle, lambda: 20.0, lambda seconds, callback: None)
        await platform.start()
        self.addAsyncCleanup(platform.close)
        self.assertFalse(platform.may_have_no_backend(destination(1)))
        before = len(platform.running_endpoints(SERVICES[0]))
        platform.release(SERVICES[0])
        self.assertEqual(len(platform.running_endpoints(SERVICES[0])), before)
        self.assertTrue(platform.may_have_no_backend(destination(1)))
        self.assertFalse(platform.may_have_no_backend(destination(2)))

    async def test_former_route_may_stay_in_force_for_the_apply_bound(self) -> None:
        """Guards against a false report of a refusal by the former route soon after a change.

        The service of the former route has cold endpoints only, that of the new one warm ones.
        """
        now = [20.0]
        platform = SoakPlatform(
            "127.63", TokenOracle(), lambda: now[0], lambda seconds, callback: None
        )
        await platform.start()
        self.addAsyncCleanup(platform.close)
        platform.release(SERVICES[0])
        first, second = destination(1), destination(2)
        platform.set_routes({first: platform.routes[second], second: platform.routes[first]})
        now[0] += 0.2
        self.assertTrue(platform.may_have_no_backend(first))
        now[0] += APPLY_SECONDS
        self.assertFalse(platform.may_have_no_backend(first))


if __name__ == "__main__":
    unittest.main()
