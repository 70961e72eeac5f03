"""`beamloom settings` against the platform's stand-in over HTTP."""

import asyncio
import io
import json
import tempfile
from contextlib import redirect_stderr, redirect_stdout
from pathlib import Path

from beamloom.cli.main import main
from beamloom.standins.platform_faults import FaultPlan
from tests.functional.platform_case import HISTORY_LIMIT, TOKEN, PlatformTestCase

SERVICE = "tenant/t/service/s"
ADDRESS = {"ip": "10.0.0.1", "protocol": "tcp", "port": 80}


class SettingsCommandsTest(PlatformTestCase):
    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.token_file = Path(folder.name) / "token"
        self.token_file.write_text(TOKEN + "\n")
        await self.client.write("tenant/t", {}, 0)
        await self.client.write("service/t/s", ADDRESS, 0)

    async def run_command(self, *arguments: str) -> tuple[int, str, str]:
        access = (
            "--platform",
            f"http://{self.address}",
            "--platform-token-file",
            str(self.token_file),
        )
        output, errors = io.StringIO(), io.StringIO()
        with redirect_stdout(output), redirect_stderr(errors):
            status = await asyncio.to_thread(main, ("settings", *arguments, *access))
        return status, output.getvalue(), errors.getvalue()

    async def rows(self, *arguments: str) -> list[dict[str, object]]:
        status, output, errors = await self.run_command(*arguments, "--format", "json")
        self.assertEqual((status, errors), (0, ""))
        rows: list[dict[str, object]] = json.loads(output)
        return rows

    async def test_wrong_token_or_unavailable_platform_changes_nothing(self) -> None:
        before = self.store.revision
        self.token_file.write_text("wrong")
        status, _, errors = await self.run_command("set", "request.repeat", "never")
        self.assertEqual((status, len(errors.splitlines())), (1, 1))
        self.assertIn("token", errors)
        self.token_file.write_text(TOKEN)
        self.store.inject(FaultPlan(down=True))
        status, _, errors = await self.run_command("set", "request.repeat", "never")
        self.assertEqual((status, len(errors.splitlines())), (1, 1))
        self.assertIn("nothing was changed", errors)
        self.assertEqual(self.store.revision, before)

    async def test_missing_tenant_or_service_is_rejected(self) -> None:
        for at in ("tenant/u", "tenant/t/service/x"):
            status, _, errors = await self.run_command("set", "request.repeat", "never", "--at", at)
            self.assertEqual(status, 1)
            self.assertIn("create it first", errors)

    async def test_lost_answer_is_resolved(self) -> None:
        self.store.inject(FaultPlan(lost_answers=1))
        status, output, errors = await self.run_command("set", "request.repeat", "never")
        self.assertEqual((status, errors), (0, ""))
        self.assertIn("accepted at revision 3", output)

    async def test_value_is_inherited_overridden_and_inherited_again(self) -> None:
        name = "flow.idle_timeout"
        await self.run_command("set", name, "100", "--at", "tenant/t")
        await self.run_command("set", name, "50", "--at", SERVICE)
        (own,) = await self.rows("get", name, "--at", SERVICE)
        self.assertEqual((own["value"], own["level"], own["since_revision"]), (50.0, "service", 4))
        await self.run_command("unset", name, "--at", SERVICE)
        (inherited,) = await self.rows("get", name, "--at", SERVICE)
        self.assertEqual((inherited["value"], inherited["scope_key"]), (100.0, "settings/tenant/t"))
        (default,) = await self.rows("get", name)
        self.assertEqual((default["value"], default["level"]), (3600.0, "default"))
        (shown,) = await self.rows("tree")
        self.assertEqual((shown["scope"], shown["value"]), ("tenant/t", 100.0))

    async def test_history_shows_the_changes_that_the_store_keeps(self) -> None:
        for value in ("10", "20"):
            await self.run_command("set", "flow.idle_timeout", value)
        kept = [row["values"] for row in await self.rows("history")]
        self.assertEqual(kept, [{"flow.idle_timeout": 10.0}, {"flow.idle_timeout": 20.0}])
        for number in range(HISTORY_LIMIT):
            await self.client.write(f"tenant/t{number}", {}, 0)
        kept = [row["values"] for row in await self.rows("history")]
        self.assertEqual(kept, [{"flow.idle_timeout": 20.0}])

    async def test_value_of_a_newer_version_can_be_removed(self) -> None:
        await self.client.write("settings/global", {"values": {"flow.newer": 1}}, 0)
        status, _, errors = await self.run_command("unset", "flow.newer")
        self.assertEqual((status, errors), (0, ""))
        found = (await self.client.read("settings/global")).found
        assert found is not None and found.value is not None
        self.assertEqual(found.value["values"], {})
        status, _, errors = await self.run_command("unset", "flow.never")
        self.assertEqual(status, 1)
        self.assertIn("there is no setting", errors)
