"""Client and stand-in over sockets: rejections, lost responses, timeouts, interrupted watches."""

import asyncio
from collections.abc import Callable
from contextlib import aclosing
from pathlib import Path
from random import Random

import aiohttp

from beamloom.model.addresses import SocketAddress
from beamloom.model.machines import Machine, NodeId
from beamloom.model.zones import Zone
from beamloom.object_api.errors import (
    MachineNotRegisteredError,
    OutcomeUnknownError,
    PlatformError,
    RequestRefusedError,
    StoreConflictError,
    StoreUnavailableError,
    TlsConfigurationError,
    TooManyReadersError,
    UnauthorizedError,
    WatchGoneError,
)
from beamloom.object_api.operator import OperatorWriter
from beamloom.object_api.options import TlsFiles, client_tls_context
from beamloom.protocol.events import StoredObject
from beamloom.standins.platform_faults import FaultPlan
from beamloom.standins.platform_server import PlatformServer
from tests.functional.platform_case import (
    ANY_PORT,
    ATTEMPTS,
    HISTORY_LIMIT,
    TOKEN,
    WATCH_LIMIT,
    PlatformTestCase,
)

KEY = "service/a/web ä%2F"


class RequestTest(PlatformTestCase):
    async def test_objects_round_trip(self) -> None:
        revision = await self.client.write(KEY, {"port": 80}, 0)
        stored = StoredObject(KEY, {"port": 80}, revision, revision)
        self.assertEqual((await self.client.read(KEY)).found, stored)
        self.assertEqual((await self.client.list_objects("service/")).objects, (stored,))
        self.assertEqual((await self.client.list_objects("tenant/")).objects, ())
        self.assertEqual(await self.client.write(KEY, None, revision), 2)
        self.assertIsNone((await self.client.read(KEY)).found)

    async def test_conflict_returns_the_current_object(self) -> None:
        await self.client.write(KEY, {"port": 80}, 0)
        for value, expected in (({"port": 81}, 0), ({"port": 81}, 9), (None, 9)):
            with self.assertRaises(StoreConflictError) as caught:
                await self.client.write(KEY, value, expected)
            self.assertEqual(caught.exception.current, StoredObject(KEY, {"port": 80}, 1, 1))
        with self.assertRaises(StoreConflictError) as caught:
            await self.client.write("tenant/none", {}, 3)
        self.assertIsNone(caught.exception.current)

    async def test_wrong_token_is_rejected_without_retry(self) -> None:
        client = await self.make_client(token="wrong")
        for request in (
            client.list_objects(),
            client.write(KEY, {}, 0),
            anext(client.watch(0)),
            client.list_machines(),
        ):
            with self.assertRaises(UnauthorizedError):
                await request
        self.assertEqual((self.pauses, self.store.revision), ([], 0))

    async def test_unavailable_store_fails_requests_after_bounded_retries(self) -> None:
        self.store.inject(FaultPlan(down=True))
        for request in (self.client.list_objects(), self.client.write(KEY, {}, 0)):
            self.pauses.clear()
            with self.assertRaises(StoreUnavailableError):
                await request
            self.assertEqual(len(self.pauses), ATTEMPTS - 1)
        self.on_pause = lambda: self.store.inject(FaultPlan())
        self.assertEqual(await self.client.write(KEY, {}, 0), 1)

    async def test_closed_port_is_reported_as_unavailable(self) -> None:
        await self.server.stop()
        with self.assertRaises(StoreUnavailableError) as caught:
            await self.client.write(KEY, {}, 0)
        self.assertIn("check the platform's address", str(caught.exception))

    async def test_timed_out_write_has_unknown_outcome_and_may_take_effect_later(self) -> None:
        client = await self.make_client(timeout=0.05)
        changed = asyncio.Event()
        self.store.inject(FaultPlan(delay_seconds=1.0))
        with self.assertRaises(OutcomeUnknownError):
            await client.write(KEY, {}, 0)
        self.assertEqual((self.store.revision, self.pauses), (0, []))
        with self.assertRaises(StoreUnavailableError):
            await client.read(KEY)
        self.store.add_listener(changed.set)
        self.gate.set()
        await changed.wait()
        self.assertEqual(self.store.revision, 1)

    async def test_write_with_lost_response_has_unknown_outcome_and_is_not_retried(self) -> None:
        self.store.inject(FaultPlan(lost_answers=3))
        for value, expected in (({"port": 80}, 0), ({"port": 81}, 1), (None, 2)):
            with self.assertRaises(OutcomeUnknownError):
                await self.client.write(KEY, value, expected)
            self.assertEqual(self.store.revision, expected + 1)
        self.assertEqual(self.pauses, [])

    async def test_operator_resolves_lost_responses_over_http(self) -> None:
        writer = OperatorWriter(self.client, Random(3), self.make_retrier())
        actions: tuple[Callable[[], object], ...] = (
            lambda: writer.create_object(KEY, {"port": 80}),
            lambda: writer.update_object(KEY, lambda value: {**value, "port": 81}),
            lambda: writer.delete_object(KEY),
        )
        for action, revision in zip(actions, (1, 2, 4), strict=True):
            self.store.inject(FaultPlan(lost_answers=2))
            self.assertEqual((await action()).revision, revision)
            self.assertEqual(self.store.revision, revision)
            self.store.inject(FaultPlan())

    async def test_malformed_requests_are_rejected_with_a_reason(self) -> None:
        headers = {"Authorization": f"Bearer {TOKEN}"}
        async with aiohttp.ClientSession(f"http://{self.address}", headers=headers) as session:
            for method, path, body, status in (
                ("PUT", "/v1/objects/x", {}, 428),
                ("GET", "/v1/watch?revision=x", None, 400),
                ("GET", "/v1/watch", None, 400),
                ("POST", "/v1/machines", {"action": "dance", "node_id": "n"}, 400),
                ("POST", "/v1/machines", [], 400),
                ("POST", "/v1/faults", {"lost_answer_probability": 2}, 400),
                ("POST", "/v1/faults", {"unknown": 2}, 400),
            ):
                async with session.request(method, path, json=body) as response:
                    self.assertEqual((path, response.status), (path, status))
                    self.assertIn("error", await response.json())

    async def test_faults_are_set_over_http_also_while_down(self) -> None:
        headers = {"Authorization": f"Bearer {TOKEN}"}
        async with aiohttp.ClientSession(f"http://{self.address}", headers=headers) as session:
            for plan in (FaultPlan(down=True, lost_answers=2), FaultPlan()):
                body = {"down": plan.down, "lost_answers": plan.lost_answers}
                async with session.post("/v1/faults", json=body) as response:
                    self.assertEqual(response.status, 200)
                self.assertEqual(self.store.faults.plan, plan)

    async def test_machines_are_listed_and_unknown_ones_must_register(self) -> None:
        address = SocketAddress("127.0.0.1", 9)
        machine = Machine(NodeId("n1"), Zone("z1", "r1"), address, address, address)
        for report in (self.client.heartbeat_machine, self.client.leave_machine):
            with self.assertRaises(MachineNotRegisteredError):
                await report(machine.node_id)
        await self.client.register_machine(machine)
        await self.client.heartbeat_machine(machine.node_id)
        self.assertEqual((await self.client.list_machines()).live, (machine,))
        await self.client.leave_machine(machine.node_id)
        self.assertEqual((await self.client.list_machines()).leaving, (machine,))

    async def test_failed_tls_handshake_is_a_tls_error_without_retry(self) -> None:
        client = await self.make_client(scheme="https")
        for request in (client.write(KEY, {}, 0), anext(client.watch(0))):
            with self.assertRaises(TlsConfigurationError):
                await request
        self.assertEqual(self.pauses, [])

    async def test_port_in_use_is_reported(self) -> None:
        with self.assertRaises(OSError):
            await PlatformServer(self.store, TOKEN, self.address).start()

    def test_unreadable_certificate_names_the_file(self) -> None:
        files = TlsFiles(authority=Path("no-such-file.pem"))
        with self.assertRaisesRegex(TlsConfigurationError, "no-such-file"):
            client_tls_context(files)


class WatchTest(PlatformTestCase):
    def write(self, number: int) -> None:
        found = self.store.read("tenant/a").found
        self.store.write("tenant/a", {"n": number}, found.revision if found else 0)

    async def take(self, start: int, count: int) -> list[int]:
        """Return the revisions of the first `count` changes after `start`."""
        revisions: list[int] = []
        async with aclosing(self.client.watch(start)) as batches:
            async for batch in batches:
                revisions.extend(change.revision for change in batch.changes)
                if len(revisions) >= count:
                    return revisions
        return revisions

    async def test_watch_of_a_discarded_revision_fails(self) -> None:
        for number in range(HISTORY_LIMIT + 5):
            self.write(number)
        with self.assertRaises(WatchGoneError):
            await self.take(4, 1)
        self.assertEqual(await self.take(5, HISTORY_LIMIT), list(range(6, HISTORY_LIMIT + 6)))

    async def test_watch_limit_is_reported_and_retried_after_the_given_time(self) -> None:
        watches = [self.client.watch(0) for _ in range(WATCH_LIMIT)]
        for watch in watches:
            await anext(watch)
        with self.assertRaises(TooManyReadersError) as caught:
            await self.take(0, 1)
        self.assertEqual(self.pauses, [caught.exception.retry_after] * (ATTEMPTS - 1))
        for watch in watches:
            await watch.aclose()

    async def test_closed_watch_is_removed_from_the_store(self) -> None:
        watch = self.client.watch(0)
        await anext(watch)
        self.assertEqual(self.store.watch_count, 1)
        await watch.aclose()
        async with asyncio.timeout(5):
            while self.store.watch_count:
                await asyncio.sleep(0)

    async def test_disconnections_neither_lose_nor_repeat_a_change(self) -> None:
        cuts = 0

        def write_while_disconnected() -> None:
            self.write(self.store.revision)

        self.on_pause = write_while_disconnected
        revisions: list[int] = []
        self.write(0)
        async with aclosing(self.client.watch(0)) as batches:
            async for batch in batches:
                revisions.extend(change.revision for change in batch.changes)
                if cuts == 5:
                    break
                cuts += 1
                self.write(cuts)
                self.server.drop_watches()
        self.assertEqual(revisions, list(range(1, revisions[-1] + 1)))
        self.assertGreaterEqual(len(self.pauses), 5)

    async def test_watch_resumes_after_an_outage_and_fails_if_it_lasts(self) -> None:
        self.write(0)
        async with aclosing(self.client.watch(0)) as batches:
            await anext(batches)
            self.store.inject(FaultPlan(down=True))
            self.write(1)
            self.on_pause = lambda: self.store.inject(FaultPlan())
            changes: tuple[StoredObject, ...] = ()
            while not changes:
                changes = (await anext(batches)).changes
            self.assertEqual([change.revision for change in changes], [2])
            self.on_pause = lambda: None
            self.store.inject(FaultPlan(down=True))
            with self.assertRaises(StoreUnavailableError):
                while True:
                    await anext(batches)

    async def test_watch_delivers_large_batches_and_filters_by_prefix(self) -> None:
        self.store.write("tenant/big", {"text": "x" * 300_000}, 0)
        self.write(1)
        self.assertEqual(await self.take(0, 2), [1, 2])
        async with aclosing(self.client.watch(0, "tenant/a")) as batches:
            batch = await anext(batches)
        self.assertEqual([change.key for change in batch.changes], ["tenant/a"])

    async def test_watch_without_keepalives_is_reopened(self) -> None:
        self.server = PlatformServer(self.store, TOKEN, ANY_PORT, keepalive_seconds=60.0)
        self.address = await self.server.start()
        self.addAsyncCleanup(self.server.stop)
        client = await self.make_client(silence=0.05)
        async with aclosing(client.watch(0)) as batches:
            for _ in range(3):
                await anext(batches)
        self.assertEqual(len(self.pauses), 2)

    async def test_incomplete_last_line_is_dropped(self) -> None:
        line = b'{"revision": 1, "changes": []}\n'
        opened = 0

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            nonlocal opened
            opened += 1
            await reader.readuntil(b"\r\n\r\n")
            writer.write(b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + line + line[:9])
            await writer.drain()
            writer.close()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        async with server:
            self.address = SocketAddress(*server.sockets[0].getsockname()[:2])
            client = await self.make_client()
            async with aclosing(client.watch(0)) as batches:
                seen = [await anext(batches) for _ in range(3)]
        self.assertEqual(([batch.revision for batch in seen], opened), ([1, 1, 1], 3))


class StatusTest(PlatformTestCase):
    async def test_error_statuses_map_to_their_errors(self) -> None:
        expected: dict[bytes, type[PlatformError]] = {
            b"400 Bad Request": RequestRefusedError,
            b"403 Forbidden": UnauthorizedError,
            b"429 Too Many Requests": TooManyReadersError,
            b"502 Bad Gateway": OutcomeUnknownError,
            b"503 Service Unavailable": StoreUnavailableError,
        }
        for status, error in expected.items():
            await self._assert_write_fails(status, error)

    async def _assert_write_fails(self, status: bytes, error: type[PlatformError]) -> None:
        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(b"HTTP/1.1 " + status + b"\r\nContent-Length: 0\r\n\r\n")
            await writer.drain()
            writer.close()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        async with server:
            self.address = SocketAddress(*server.sockets[0].getsockname()[:2])
            client = await self.make_client()
            with self.assertRaises(error):
                await client.write("tenant/a", {}, 0)
