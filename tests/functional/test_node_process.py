"""Balancers started from settings files: admin API, faults, key rotation and planned stops."""

import asyncio
import json
from pathlib import Path
from unittest import mock

from beamloom.admission.retry_budget import MINIMUM_RETRIES
from beamloom.model.addresses import SocketAddress
from beamloom.object_api.errors import PlatformError
from beamloom.protocol.codec import KeyRing
from beamloom.protocol.events import TimerExpired
from beamloom.runtime.errors import (
    AddressUnavailableError,
    AdminTlsError,
    BrokenComponentError,
    SecretFileError,
)
from beamloom.runtime.faults import FaultSource
from beamloom.runtime.node_process import new_node_id
from beamloom.runtime.secrets import read_fleet_keys
from beamloom.settings.node_file import load_node_settings
from beamloom.standins.platform_faults import FaultPlan
from tests.functional.node_case import FLEET_KEY, NodeTestCase

ROOT = Path(__file__).resolve().parents[2]
BACKEND_ADDRESS = "127.0.0.1:9"
FLOW_QUERY = "client=198.18.0.1:1024&service=10.0.0.1:80"
SOURCE_ADDRESS = SocketAddress("127.0.0.1", 9)


class StartTest(NodeTestCase):
    async def test_an_address_in_use_is_reported_with_its_setting(self) -> None:
        first = await self.start_node("one")
        taken = str(first.balancer.core.options.machine.data_address)
        for setting, arguments in (
            ("data_address", {"data": taken}),
            ("admin_address", {"admin": str(first.admin_address)}),
        ):
            node = self.make_node(self.write_settings("two", **arguments))  # type: ignore[arg-type]
            with self.subTest(setting), self.assertRaises(AddressUnavailableError) as caught:
                await node.start()
            self.assertIn(f"node.{setting} 127.0.0.1", str(caught.exception))

    async def test_all_invalid_key_and_token_files_are_reported(self) -> None:
        (self.folder / "fleet.key").write_bytes(b"short")
        (self.folder / "hash.key").write_bytes(bytes(65))
        (self.folder / "platform.token").unlink()
        (self.folder / "admin.token").write_text("two\nlines")
        with self.assertRaises(ExceptionGroup) as caught:
            await self.start_node("one")
        faults = [str(fault) for fault in caught.exception.exceptions]
        self.assertEqual(len(faults), 4)
        for fault, part in zip(
            faults, ("5 bytes", "65 bytes", "No such file", "one line"), strict=True
        ):
            self.assertIn(part, fault)

    async def test_an_unusable_admin_certificate_is_reported(self) -> None:
        path = self.write_settings("one")
        files = 'certificate_file = "admin.pem"\nkey_file = "admin.key"\n'
        path.write_text(path.read_text().replace("[admin]\n", "[admin]\n" + files))
        for content in (None, b"not PEM"):
            if content is not None:
                (self.folder / "admin.pem").write_bytes(content)
            with self.subTest(content), self.assertRaises(AdminTlsError) as caught:
                await self.make_node(path).start()
            self.assertIn("admin.pem", str(caught.exception))

    async def test_a_node_waits_for_an_unavailable_platform(self) -> None:
        self.store.inject(FaultPlan(down=True))
        node = await self.start_node("one")
        running = asyncio.create_task(node.run())
        await self.eventually(lambda: node.machines.last_failure is not None)
        status, text = await self.get(node, "/readyz", token=None)
        self.assertEqual(status, 503)
        self.assertIn("store is unavailable", json.loads(text)["reason"])
        self.assertEqual((await self.get(node, "/healthz", token=None))[0], 200)
        self.store.inject(FaultPlan())
        await self.eventually(lambda: node.readiness().ready)
        self.assertEqual((await self.get(node, "/readyz", token=None))[0], 200)
        node.request_stop()
        self.assertEqual(await running, 0)

    def test_each_start_has_a_different_id(self) -> None:
        self.assertNotEqual(new_node_id("one", 1), new_node_id("one", 2))


class AdminTest(NodeTestCase):
    async def test_all_but_health_require_the_token(self) -> None:
        node = await self.start_node("one")
        for path in ("/metrics", "/v1/status", "/v1/in-force?revision=1", "/v1/unknown"):
            for token in (None, "wrong", ""):
                self.assertEqual((await self.get(node, path, token))[0], 401, path)
        self.assertEqual(node.admin.counters["unauthorized"], 12)
        self.assertEqual((await self.get(node, "/v1/unknown"))[0], 404)
        for query in ("", "?revision=0", "?revision=x", "?revision=-1"):
            self.assertEqual((await self.get(node, f"/v1/in-force{query}"))[0], 400)

    async def test_without_a_token_file_only_health_is_answered(self) -> None:
        path = self.write_settings("one")
        path.write_text(path.read_text().replace('token_file = "admin.token"', ""))
        node = self.make_node(path)
        await node.start()
        self.assertEqual((await self.get(node, "/healthz", token=None))[0], 200)
        for token in (None, "", "None"):
            self.assertEqual((await self.get(node, "/v1/status", token))[0], 401)

    async def test_status_metrics_and_explanations(self) -> None:
        await self.client.write("tenant/t", {}, 0)
        await self.client.write("service/t/s", {"ip": "10.0.0.1", "protocol": "tcp", "port": 80}, 0)
        backend = {"address": BACKEND_ADDRESS, "health": BACKEND_ADDRESS, "zone": "z"}
        await self.client.write("backend/t/s/b", backend | {"state": "draining"}, 0)
        values = {"values": {"flow.idle_timeout": 60.0}}
        revision = await self.client.write("settings/tenant/t", values, 0)
        first, second = await self.start_two()
        await self.wait_in_force(second, revision)
        status = json.loads((await self.get(second, "/v1/status"))[1])
        self.assertEqual(status["members"], {"alive": sorted([first.node_id, second.node_id])})
        self.assertEqual(status["problems"], [])
        metrics = (await self.get(second, "/metrics"))[1]
        self.assertIn('beamloom_members{state="alive"} 2.0', metrics)
        self.assertIn('beamloom_control_sent_messages_total{priority="membership"}', metrics)
        explained = await self.get(
            second, "/v1/explain/setting?name=flow.idle_timeout&at=tenant/t/service/s"
        )
        answer = json.loads(explained[1])
        self.assertEqual((answer["set_by"], answer["value"]), ("settings/tenant/t", 60.0))
        self.assertEqual(answer["since_revision"], revision)
        backend_answer = json.loads((await self.get(second, "/v1/explain/backend?name=t/s/b"))[1])
        self.assertEqual(
            (backend_answer["new_flows"], backend_answer["reason"]),
            (False, "an operator drains it"),
        )
        flow = json.loads((await self.get(second, f"/v1/explain/flow?{FLOW_QUERY}"))[1])
        self.assertEqual((flow["service"], flow["role"], flow["backend"]), ("t/s", "none", None))
        self.assertIn(flow["decided_by"], (first.node_id, second.node_id))
        for query in (
            "",
            FLOW_QUERY + "0000",
            FLOW_QUERY.replace("198.18.0.1", "[::1]"),
            FLOW_QUERY + "&protocol=icmp",
        ):
            self.assertEqual((await self.get(second, f"/v1/explain/flow?{query}"))[0], 400, query)
        for query in ("setting?name=no.such", "backend?name=t/s/x", "backend?name=t"):
            self.assertEqual((await self.get(second, f"/v1/explain/{query}"))[0], 404)

    async def test_metrics_of_tenants_and_backends(self) -> None:
        await self.client.write("tenant/t", {}, 0)
        await self.client.write("service/t/s", {"ip": "10.0.0.1", "protocol": "tcp", "port": 80}, 0)
        backend = {"address": BACKEND_ADDRESS, "health": BACKEND_ADDRESS, "zone": "z"}
        await self.client.write("backend/t/s/b", backend, 0)
        values = {"values": {"limit.open_flows": 1}}
        revision = await self.client.write("settings/tenant/t", values, 0)
        node = await self.start_node("one")
        await self.wait_in_force(node, revision)
        core = node.balancer.core
        number = core.configuration.configuration.services["t/s"].backends[0].backend_number
        for _ in range(3):
            core.admission.admit_flow("t", 0.0)
        core.watchers.observe_refusal(number, 0.0)
        core.forwarder.routes.meters["t"].packets += 5
        for _ in range(MINIMUM_RETRIES + 2):
            core.gate.take_retry(core.configuration.configuration.services["t/s"], 0.0)
        metrics = (await self.get(node, "/metrics"))[1].splitlines()
        for line in (
            'beamloom_tenant_open_flows{tenant="t"} 1.0',
            'beamloom_tenant_open_flow_quota{tenant="t"} 1.0',
            'beamloom_tenant_flows_admitted_total{tenant="t"} 1.0',
            'beamloom_tenant_flows_refused_total{decision="refuse_open_flows",tenant="t"} 2.0',
            'beamloom_tenant_packets_total{tenant="t"} 5.0',
            'beamloom_tenant_blocked{tenant="t"} 0.0',
            'beamloom_retries_refused_total{service="t/s"} 2.0',
            "beamloom_backends_watched 1.0",
            "beamloom_backend_refusals_seen_total 1.0",
            "beamloom_backend_reports_contradicted 0.0",
        ):
            self.assertIn(line, metrics)
        self.assertFalse(
            [line for line in metrics if line.startswith("beamloom_tenant_flow_rate{")]
        )

    async def test_in_force_everywhere_requires_every_node(self) -> None:
        first, _ = await self.start_two()
        newest = await self.client.write("tenant/t", {}, 0)
        async with asyncio.timeout(20):
            while True:
                answer = json.loads((await self.get(first, f"/v1/in-force?revision={newest}"))[1])
                if answer["everywhere"]:
                    break
        self.assertEqual((answer["members_in_force"], answer["not_in_force"]), (2, []))
        later = json.loads((await self.get(first, "/v1/in-force?revision=1000000"))[1])
        self.assertEqual((later["everywhere"], len(later["not_in_force"])), (False, 2))

    async def test_an_exception_in_a_handler_is_counted_and_answered(self) -> None:
        node = await self.start_node("one")
        with mock.patch.object(node.balancer.core.membership, "snapshot", side_effect=KeyError):
            self.assertEqual((await self.get(node, "/metrics"))[0], 500)
        self.assertEqual(node.balancer.faults.counts[FaultSource.ADMIN_REQUEST], 1)

    async def test_the_operators_page_lists_every_metric(self) -> None:
        node = await self.start_node("one")
        text = (await self.get(node, "/metrics"))[1]
        names = {line.split()[2] for line in text.splitlines() if line.startswith("# TYPE")}
        page = (ROOT / "docs/operators/running.md").read_text(encoding="utf-8")
        bare = {name.removeprefix("beamloom_").removesuffix("_total") for name in names}
        self.assertEqual({name for name in bare if f"`{name}`" not in page}, set())
        self.assertGreater(len(bare), 40)


class FaultTest(NodeTestCase):
    async def test_packet_and_control_faults_are_dropped_and_counted(self) -> None:
        node = await self.start_node("one")
        balancer = node.balancer
        with (
            mock.patch.object(balancer.core, "packet_received", side_effect=ZeroDivisionError),
            mock.patch.object(balancer.core, "handle", side_effect=ZeroDivisionError),
        ):
            for _ in range(3):
                balancer._packet_received(b"", SOURCE_ADDRESS, from_peer=False)
            balancer._control_received(b"", SOURCE_ADDRESS)
        counts = balancer.faults.counts
        self.assertEqual((counts[FaultSource.PACKET], counts[FaultSource.CONTROL_DATAGRAM]), (3, 1))
        self.assertFalse(balancer.stopped.is_set())
        lines = [json.loads(line) for line in self.log_output.getvalue().splitlines()]
        faults = [line for line in lines if line["event"] == "fault"]
        self.assertEqual([line["subject"] for line in faults], ["packet", "control_datagram"])
        self.assertIn("Traceback", faults[0]["exception"])

    async def test_an_exception_in_a_component_ends_the_process(self) -> None:
        node = await self.start_node("one")
        running = asyncio.create_task(node.run())
        with mock.patch.object(node.balancer.core, "handle", side_effect=ZeroDivisionError("x")):
            node.balancer.deliver(TimerExpired())
        with self.assertRaises(BrokenComponentError) as caught:
            await running
        self.assertIn("ZeroDivisionError: x", str(caught.exception))
        self.assertEqual(node.balancer.faults.counts[FaultSource.COMPONENT], 1)

    async def test_an_exception_in_a_task_ends_the_process(self) -> None:
        node = await self.start_node("one")
        node.machines._client = mock.Mock()
        node.machines._client.register_machine = mock.AsyncMock(side_effect=ZeroDivisionError)
        with self.assertRaises(BrokenComponentError):
            await node.run()

    async def test_platform_failures_of_the_machine_list_are_not_fatal(self) -> None:
        node = await self.start_node("one")
        node.machines._client = mock.Mock()
        node.machines._client.register_machine = mock.AsyncMock(side_effect=PlatformError("x"))
        await node.machines.update()
        await node.machines.update()
        self.assertEqual(node.machines.counters["report_failed"], 2)
        self.assertEqual(self.log_output.getvalue().count('"unreachable"'), 1)


class StopTest(NodeTestCase):
    async def test_planned_stop_leaves_the_fleet_and_the_list(self) -> None:
        _, second = await self.start_two()
        running = asyncio.create_task(second.run())
        await self.eventually(lambda: second.machines.counters["list_done"] > 0)
        second.request_stop()
        self.assertEqual(await running, 0)
        left = (await self.client.list_machines()).leaving
        self.assertEqual([machine.node_id for machine in left], [second.node_id])
        await second.close()

    async def test_second_signal_stops_at_once(self) -> None:
        node = await self.start_node("one")
        with mock.patch.object(node.balancer, "deliver"):
            running = asyncio.create_task(node.run())
            node.request_stop()
            node.request_stop()
            self.assertEqual(await running, 1)

    async def test_keys_rotate_while_nodes_exchange_messages(self) -> None:
        old, new = FLEET_KEY, bytes(40)
        (self.folder / "next.key").write_bytes(old)
        self.key_files = ("fleet.key", "next.key")
        nodes = await self.start_two()
        for number, contents in enumerate(((old, new), (new, old), (new, new))):
            for name, content in zip(self.key_files, contents, strict=True):
                (self.folder / name).write_bytes(content)
            for node in nodes:
                node.reload_keys()
                newest = await self.client.write(f"tenant/{number}{node.node_id}", {}, 0)
                for other in nodes:
                    await self.wait_in_force(other, newest)
        for node in nodes:
            self.assertEqual(node.balancer.core.channel.counters["authentication"], 0)

    async def test_keys_rotate_without_a_restart_and_invalid_files_change_nothing(self) -> None:
        node = await self.start_node("one")
        channel = node.balancer.core.channel
        (self.folder / "fleet.key").write_bytes(b"short")
        node.reload_keys()
        self.assertEqual(channel._keys, KeyRing((FLEET_KEY,)))
        (self.folder / "fleet.key").write_bytes(bytes(40))
        node.reload_keys()
        self.assertEqual(channel._keys, KeyRing((bytes(40),)))
        (self.folder / "fleet.key").unlink()
        with self.assertRaises(ExceptionGroup) as caught:
            read_fleet_keys(load_node_settings(self.folder / "one.toml"), self.folder)
        self.assertIsInstance(caught.exception.exceptions[0], SecretFileError)
