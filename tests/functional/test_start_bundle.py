"""Nodes that start from a bundle of modules, and from an unusable one."""

import asyncio
import os
import shutil
import signal
import subprocess
import sys
from pathlib import Path

import beamloom
from beamloom.routing.tokens.records import BackendState
from beamloom.runtime.start import BUNDLE
from beamloom.standins.token_client import FlowState
from tests.functional.test_token_node import (
    MAXIMUM_PROPAGATION_SECONDS,
    MAXIMUM_STOP_SECONDS,
    READER_ELECTION_SECONDS,
)
from tests.functional.token_node_case import METRICS_PORT, TokenNodeCase

DROP_BUNDLE = """
import sys
from beamloom.runtime.start_bundle import remove_bundle, install_bundle
finder = install_bundle(sys.argv[1])
from beamloom.runtime import token_node_main
is_from_it = token_node_main.__loader__ is finder
remove_bundle(finder)
import asyncio  # is in the bundle, and is now imported from its own file
print(is_from_it, len(finder._code), finder not in sys.meta_path)
"""
UNNEEDED_MODULES = {
    "argparse",
    "enum",
    "json",
    "logging",
    "re",
    "runpy",
    "socket",
    "threading",
    "typing",
}
LIST_MODULES = "from beamloom.runtime.start import load; load()\nimport sys; print(*sys.modules)"


def environment_with(folder: Path) -> dict[str, str]:
    """Return an environment in which modules are imported from `folder` first."""
    found = os.pathsep.join([str(folder), *filter(None, sys.path)])
    return {**os.environ, "PYTHONPATH": found}


class StartBundleTest(TokenNodeCase):
    network = "127.61.8"

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.installed = self.folder / "installed"
        package = Path(beamloom.__file__).parent
        shutil.copytree(package, self.installed / "beamloom")
        self.bundle = self.installed / BUNDLE
        await self.run_python("-m", "beamloom.runtime.bundle_writer", str(self.bundle))
        self.program = ("-S", str(self.installed / "beamloom" / "runtime" / "start.py"))
        self.add_endpoint(1)
        self.configure(1, "tracker")

    async def run_python(self, *arguments: str) -> str:
        run = await asyncio.to_thread(
            subprocess.run,
            [sys.executable, "-S", *arguments],
            env=environment_with(self.installed),
            capture_output=True,
            text=True,
            timeout=20,
            check=True,
        )
        return run.stdout

    def start(self, number: int) -> None:
        self.start_node(number, environment_with(self.installed))

    async def serve(self, number: int, port: int) -> None:
        flows = [self.new_flow(port + offset) for offset in range(4)]
        await self.play(number, flows)
        self.assertEqual({flow.state for flow in flows}, {FlowState.DONE})

    async def test_two_nodes_serve_and_exchange_changes(self) -> None:
        leaving = self.add_endpoint(2)
        for number in (1, 2):
            self.start(number)
            await self.wait_until_ready(number)
        await self.serve(1, 2000)
        await asyncio.sleep(READER_ELECTION_SECONDS)
        self.store.faults.refused_hosts = {f"{self.network}.1"}
        self.announce(leaving, "tracker", BackendState.DRAINING)

        def has_received_change() -> bool:
            changes = [line for line in self.lines(1) if line.get("source") == "peer"]
            return "draining" in [line.get("state") for line in changes]

        await self.wait_until(has_received_change, MAXIMUM_PROPAGATION_SECONDS)
        await self.serve(2, 2100)
        self.assertNotIn("is not used", self.logs())

    async def test_metrics_reload_and_stop_with_modules_imported_after_the_start(self) -> None:
        self.start(1)
        await self.wait_until_ready(1)
        await self.serve(1, 2000)
        status, text = await self.get(1, METRICS_PORT, "/metrics")
        self.assertEqual(status, 200)
        self.assertIn('beamloom_starts_total{event="forwarded"} 1.0', text)
        node, path = self.nodes["node-1"], self.write_settings(1)
        path.write_text(path.read_text() + "\n[bounds]\ndrain-ms = 9000\n")
        node.send_signal(signal.SIGHUP)
        await self.wait_for_line(1, "SettingsReloaded")
        path.write_text("{nonsense")
        node.send_signal(signal.SIGHUP)
        await self.wait_for_line(1, "SettingsRefused")
        self.stop(node)
        self.assertEqual(await asyncio.to_thread(node.wait, MAXIMUM_STOP_SECONDS), 0)
        self.assertNotIn("Traceback", self.logs())

    async def test_a_moved_bundle_is_used(self) -> None:
        """Modules that are not in the bundle are imported from the folder to which it was moved."""
        moved = self.folder / "moved"
        self.installed.rename(moved)
        self.installed = moved
        self.program = ("-S", str(moved / "beamloom" / "runtime" / "start.py"))
        self.start(1)
        await self.wait_until_ready(1)
        await self.serve(1, 2000)

    async def test_a_bundle_outside_the_folder_of_the_modules_is_not_written(self) -> None:
        outside = self.folder / "apart" / BUNDLE
        outside.parent.mkdir()
        with self.assertRaises(subprocess.CalledProcessError) as caught:
            await self.run_python("-m", "beamloom.runtime.bundle_writer", str(outside))
        self.assertIn("write the bundle where it lies", caught.exception.stderr)
        self.assertFalse(outside.exists())

    async def test_an_unusable_bundle_is_reported_and_ignored(self) -> None:
        whole = self.bundle.read_bytes()
        other = whole.replace(sys.version.encode(), b"x" * len(sys.version), 1)
        for number, (content, reason) in enumerate(
            ((whole[:-1], "bytes of"), (other, "made by Python xxx"), (b"", ""), (None, "No such"))
        ):
            with self.subTest(reason=reason):
                self.bundle.unlink()
                if content is not None:
                    self.bundle.write_bytes(content)
                self.start(number + 1)
                await self.wait_until_ready(number + 1)
                log = (self.folder / f"node-{number + 1}.log").read_text()
                self.assertIn(f"{BUNDLE} is not used: ", log)
                self.assertIn(reason, log)
                self.assertIn("deploy/build.sh", log)
                self.bundle.write_bytes(whole)

    async def test_the_contents_of_the_bundle_are_released(self) -> None:
        printed = await self.run_python("-c", DROP_BUNDLE, str(self.bundle))
        self.assertEqual(printed.split(), ["True", "0", "True"])

    async def test_a_start_imports_no_unneeded_module(self) -> None:
        loaded = set((await self.run_python("-c", LIST_MODULES)).split())
        self.assertEqual(loaded & UNNEEDED_MODULES, set())
