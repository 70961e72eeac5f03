"""`beamloom tenant|service|backend|status|explain` against nodes and the platform's stand-in."""

import asyncio
import io
import json
from contextlib import redirect_stderr, redirect_stdout

from beamloom.cli.main import main
from beamloom.model.contracts import BackendOperatingStatus
from beamloom.runtime.node_process import NodeProcess
from beamloom.standins.platform_faults import FaultPlan
from tests.functional.node_case import NodeTestCase

BACKEND = ("--address", "127.0.0.1:9", "--health", "127.0.0.1:9", "--zone", "laucala")


class ObjectCommandsTest(NodeTestCase):
    async def run_command(self, *arguments: str) -> tuple[int, str, str]:
        output, errors = io.StringIO(), io.StringIO()
        with redirect_stdout(output), redirect_stderr(errors):
            status = await asyncio.to_thread(main, arguments)
        return status, output.getvalue(), errors.getvalue()

    async def run_on_platform(self, *arguments: str) -> tuple[int, str, str]:
        access = ("--platform", f"http://{self.address}")
        token = ("--platform-token-file", str(self.folder / "platform.token"))
        return await self.run_command(*arguments, *access, *token)

    async def run_on_node(self, node: NodeProcess, *arguments: str) -> tuple[int, str, str]:
        return await self.run_command(*arguments, *self.admin(node))

    def admin(self, node: NodeProcess) -> tuple[str, ...]:
        return (
            "--admin",
            str(node.admin_address),
            "--token-file",
            str(self.folder / "admin.token"),
        )

    async def assert_refused(self, expected: str, *arguments: str, status: int = 1) -> None:
        before = self.store.revision
        found, output, errors = await self.run_on_platform(*arguments)
        self.assertEqual((found, output, len(errors.splitlines())), (status, "", 1), errors)
        self.assertIn(expected, errors)
        self.assertEqual(self.store.revision, before)

    async def create_all(self) -> None:
        for arguments in (
            ("tenant", "create", "t"),
            ("service", "create", "t/s", "--address", "tcp://10.0.0.1:80"),
            ("backend", "create", "t/s/b", *BACKEND),
        ):
            self.assertEqual((await self.run_on_platform(*arguments))[0], 0)

    async def test_rejected_commands_change_nothing_and_print_one_line(self) -> None:
        service = ("service", "create", "t/s", "--address", "tcp://10.0.0.1:80")
        await self.assert_refused("there is no tenant/t: check", *service)
        await self.create_all()
        twice = ("service", "create", "t/z", "--address", "tcp://10.0.0.1:80")
        other = ("service", "create", "o/z", "--address", "tcp://10.0.0.1:80")
        self.assertEqual((await self.run_on_platform("tenant", "create", "o"))[0], 0)
        for expected, arguments in (
            ("tenant/t", ("tenant", "create", "t")),
            ("tcp://10.0.0.1:80 belongs to service t/s", twice),
            ("tcp://10.0.0.1:80 belongs to service t/s", other),
            (
                "not a valid key of a service",
                ("service", "create", "s", "--address", "tcp://10.0.0.1:81"),
            ),
            ("there is no service/t/x", ("backend", "create", "t/x/b", *BACKEND)),
            ("weight = -1", ("backend", "create", "t/s/c", *BACKEND, "--weight=-1")),
            ("delete these first", ("tenant", "delete", "t")),
            ("delete these first", ("service", "delete", "t/s")),
            ("backend drain t/s/b", ("backend", "delete", "t/s/b")),
            ("backend/t/s/x does not exist", ("backend", "drain", "t/s/x")),
            ("backend/t/s/x does not exist", ("backend", "delete", "t/s/x", "--force")),
            ("--admin", ("tenant", "create", "u", "--wait")),
        ):
            with self.subTest(arguments=arguments):
                await self.assert_refused(expected, *arguments)
        without_scheme = ("service", "create", "t/y", "--address", "10.0.0.1:80")
        await self.assert_refused("give tcp://IP:PORT", *without_scheme, status=2)
        self.store.inject(FaultPlan(down=True))
        await self.assert_refused("nothing was changed", "tenant", "create", "u")

    async def test_objects_are_listed_drained_shown_and_deleted(self) -> None:
        await self.create_all()
        rows = json.loads((await self.run_on_platform("backend", "list", "--format", "json"))[1])
        self.assertEqual([(row["name"], row["state"]) for row in rows], [("t/s/b", "active")])
        self.assertEqual((await self.run_on_platform("backend", "drain", "t/s/b"))[0], 0)
        shown = json.loads((await self.run_on_platform("backend", "show", "t/s/b"))[1])
        self.assertEqual((shown["state"], shown["key"]), ("draining", "backend/t/s/b"))
        for arguments in (("backend", "t/s/b"), ("service", "t/s"), ("tenant", "t")):
            self.assertEqual(
                (await self.run_on_platform(arguments[0], "delete", arguments[1]))[0], 0
            )
        self.assertEqual(
            json.loads((await self.run_on_platform("tenant", "list", "--format=json"))[1]), []
        )

    async def test_wait_reports_in_force_only_when_every_node_has_it(self) -> None:
        first, second = await self.start_two()
        waiting = ("--wait", "--wait-seconds", "20", *self.admin(first))
        status, output, errors = await self.run_on_platform("tenant", "create", "t", *waiting)
        self.assertEqual((status, errors), (0, ""))
        self.assertIn("in force on every node (2)", output)
        newest = second.balancer.core.revision_in_force
        self.assertIn(f"accepted at revision {newest}", output)
        values = ("settings", "set", "flow.idle_timeout", "60")
        self.assertIn("in force on every node", (await self.run_on_platform(*values, *waiting))[1])
        unset = ("settings", "unset", "flow.idle_timeout")
        self.assertIn("in force on every node", (await self.run_on_platform(*unset, *waiting))[1])
        second.balancer.close()
        short = ("--wait", "--wait-seconds", "0.5", *self.admin(first))
        status, output, errors = await self.run_on_platform("tenant", "create", "u", *short)
        self.assertEqual(status, 1)
        self.assertIn("accepted at revision", output)
        self.assertNotIn("every node", output)
        self.assertIn("the change stands", errors)

    async def test_status_and_explanations(self) -> None:
        node = await self.start_node("one")
        await self.create_all()
        newest = self.store.revision
        await self.wait_in_force(node, newest)
        status, output, _ = await self.run_on_node(
            node, "status", "--format=json", f"--revision={newest}"
        )
        answer = json.loads(output)
        self.assertEqual((status, answer["in_force"]["everywhere"]), (0, True))
        self.assertEqual(answer["backends"][0]["backend"], "t/s/b")
        self.assertEqual((await self.run_on_node(node, "status", "--revision=1000000"))[0], 1)
        flow = ("explain", "flow", "198.18.0.1:1024", "10.0.0.1:80")
        self.assertIn(node.node_id, (await self.run_on_node(node, *flow))[1])
        name = ("explain", "backend", "t/s/b", "--format=json")
        explanation = json.loads((await self.run_on_node(node, *name))[1])
        self.assertEqual(explanation["watchers"], [node.node_id])
        core = node.balancer.core
        (backend,) = core.configuration.configuration.services["t/s"].backends
        number, clock = backend.backend_number, asyncio.get_running_loop().time
        offline = BackendOperatingStatus.OFFLINE
        await self.eventually(lambda: core.watchers.status(number, clock()).status is offline)
        explanation = json.loads((await self.run_on_node(node, *name))[1])
        self.assertEqual(
            (explanation["operating_status"], explanation["new_flows"]), ("offline", False)
        )
        self.assertIn("health checks fail", explanation["reason"])
        self.assertIn(
            "default", (await self.run_on_node(node, "explain", "setting", "flow.idle_timeout"))[1]
        )

    async def test_error_of_the_admin_api_is_one_line(self) -> None:
        node = await self.start_node("one")
        status, output, errors = await self.run_on_node(node, "explain", "backend", "t/s/b")
        self.assertEqual((status, output, len(errors.splitlines())), (1, "", 1))
        self.assertIn("not in force", errors)
        (self.folder / "admin.token").write_text("wrong")
        status, _, errors = await self.run_on_node(node, "status")
        self.assertEqual((status, len(errors.splitlines())), (1, 1))
        self.assertIn("401", errors)
        await node.close()
        status, _, errors = await self.run_on_node(node, "status")
        self.assertEqual((status, len(errors.splitlines())), (1, 1))
        self.assertIn("check that the node runs", errors)
