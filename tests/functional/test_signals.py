"""Signals during the start and the stop of a node must not end it.

Signals are blocked until the handlers are installed, and again while the interpreter shuts down.
While the interpreter itself starts, only the parent process can block them.
"""

import asyncio
import os
import shutil
import signal
import subprocess
import sys
import time
from collections.abc import Callable
from pathlib import Path
from unittest import mock

import beamloom.runtime.start
from beamloom.runtime.signal_mask import HANDLED_SIGNALS, block_signals, unblock_signals
from beamloom.soak.nodes import holds
from beamloom.soak.program import install_program
from tests.functional.node_case import NodeTestCase
from tests.functional.token_node_case import TokenNodeCase

SEND_INTERVAL_SECONDS = 0.0005
MAXIMUM_EXIT_SECONDS = 12.0
NEVER_READY_SECONDS = 2.0
"""Less than a node that was ready keeps forwarding if no router probes it."""
STARTS = 3
PRINT_BLOCKED = """
import _signal
print(*sorted(map(int, _signal.pthread_sigmask(_signal.SIG_BLOCK, ()))))
raise SystemExit
"""
BALANCER = "import sys; from beamloom.cli.main import main; sys.exit(main())"


def wait_until_blocked(node: subprocess.Popen[bytes]) -> None:
    """Return as soon as a process blocks or handles SIGHUP, or has ended."""
    end = time.monotonic() + MAXIMUM_EXIT_SECONDS
    while not holds(node.pid, signal.SIGHUP) and node.poll() is None and time.monotonic() < end:
        pass


def flood(node: subprocess.Popen[bytes], is_done: Callable[[], bool] = lambda: False) -> None:
    """Send SIGHUP repeatedly until `is_done`, the end of the process or a timeout."""
    end = time.monotonic() + MAXIMUM_EXIT_SECONDS
    while node.poll() is None and not is_done() and time.monotonic() < end:
        node.send_signal(signal.SIGHUP)
        time.sleep(SEND_INTERVAL_SECONDS)


class SignalsTest(TokenNodeCase):
    network = "127.61.31"
    program = ("-m", "beamloom.runtime.token_node_main")

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.add_endpoint(1)
        self.configure(1, "tracker")

    async def start_flooded(self) -> subprocess.Popen[bytes]:
        """Start a node and send it SIGHUP repeatedly, from its first own line until it is ready."""
        node = self.start_node(1)
        await asyncio.to_thread(wait_until_blocked, node)
        await asyncio.to_thread(flood, node, lambda: '"Ready"' in self.logs())
        return node

    async def assert_survives(self, starts: int) -> None:
        for _ in range(starts):
            node = await self.start_flooded()
            self.assertIsNone(node.poll(), self.logs())
            await self.wait_for_line(1, "SettingsReloaded")
            node.send_signal(signal.SIGTERM)
            await asyncio.to_thread(flood, node)
            self.assertEqual(await asyncio.to_thread(node.wait, 1.0), 0, self.logs())
            self.assertNotIn("Traceback", self.logs())

    async def test_reload_signals_during_start_and_stop_do_not_end_a_node(self) -> None:
        await self.assert_survives(STARTS)

    async def test_reload_signals_do_not_end_a_node_started_as_deployed(self) -> None:
        self.start_as_deployed()
        await self.assert_survives(STARTS)

    def start_as_deployed(self) -> None:
        program = install_program(self.folder)
        self.program = program.command[1:]
        self.enterContext(mock.patch.dict(os.environ, program.environment))

    async def test_a_stop_while_a_node_starts_is_a_planned_one(self) -> None:
        """A node that was never ready stops at once with exit status 0."""
        self.start_as_deployed()
        for part in range(STARTS):
            node = self.start_node(1)
            await asyncio.to_thread(wait_until_blocked, node)
            await asyncio.sleep(0.02 * part)
            asked_at = time.monotonic()
            node.send_signal(signal.SIGTERM)
            status = await asyncio.to_thread(node.wait, MAXIMUM_EXIT_SECONDS)
            self.assertEqual(status, 0, self.logs())
            self.assertLess(time.monotonic() - asked_at, NEVER_READY_SECONDS)

    async def test_a_stop_while_the_store_does_not_answer_is_immediate(self) -> None:
        self.store.faults.unavailable = True
        node = self.start_node(1)
        await self.wait_until_ready(1, status=503)
        self.stop(node)
        status = await asyncio.to_thread(node.wait, NEVER_READY_SECONDS)
        self.assertEqual(status, 0, self.logs())

    async def test_signals_are_blocked_before_any_import_of_the_node(self) -> None:
        """start.py blocks the signals before it imports the `beamloom` package."""
        package = self.folder / "beamloom"
        start = package / "runtime" / "start.py"
        start.parent.mkdir(parents=True)
        shutil.copyfile(Path(beamloom.runtime.start.__file__), start)
        (package / "__init__.py").write_text(PRINT_BLOCKED)
        run = await asyncio.to_thread(
            subprocess.run,
            [sys.executable, "-S", str(start)],
            capture_output=True,
            text=True,
            timeout=MAXIMUM_EXIT_SECONDS,
            check=False,
        )
        self.assertEqual(
            run.stdout.split(), [str(int(number)) for number in sorted(HANDLED_SIGNALS)]
        )

    async def test_signals_blocked_by_the_parent_process_are_handled_later(self) -> None:
        """Signals sent before the first own line stay pending until the handlers are installed."""
        block_signals()
        self.addCleanup(unblock_signals)
        node = self.start_node(1)
        unblock_signals()
        self.assertTrue(all(holds(node.pid, signal.Signals(number)) for number in HANDLED_SIGNALS))
        node.send_signal(signal.SIGHUP)
        await self.wait_until_ready(1)
        await self.wait_for_line(1, "SettingsReloaded")
        node.send_signal(signal.SIGTERM)
        self.assertEqual(await asyncio.to_thread(node.wait, MAXIMUM_EXIT_SECONDS), 0)


class BalancerSignalsTest(NodeTestCase):
    """The same for `beamloom run balancer`, which reads its key files again on SIGHUP."""

    async def test_reload_signals_during_start_and_stop_do_not_end_a_balancer(self) -> None:
        path = self.write_settings("one")
        log = self.folder / "one.log"
        with log.open("wb") as output:
            node = subprocess.Popen(
                [sys.executable, "-c", BALANCER, "run", "balancer", "--settings", str(path)],
                stdout=output,
                stderr=subprocess.STDOUT,
                env={**os.environ, "PYTHONPATH": os.pathsep.join(sys.path)},
            )
        self.addCleanup(node.wait)
        self.addCleanup(node.kill)
        await asyncio.to_thread(wait_until_blocked, node)
        await asyncio.to_thread(flood, node, lambda: b"key_files_read" in log.read_bytes())
        self.assertIsNone(node.poll(), log.read_text())
        node.send_signal(signal.SIGTERM)
        await asyncio.to_thread(flood, node)
        self.assertEqual(await asyncio.to_thread(node.wait, 1.0), 0, log.read_text())
