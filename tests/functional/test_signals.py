"""Signals at every moment of a node's life.

What operators saw: a node to which its platform told, right after a planned restart, that its
settings have changed was gone (exit status -1), and with it all that it was about to serve; and one
that had stopped as planned seemed to have been killed.

Why: the node's handlers were installed when all of its modules had been imported, and the
interpreter takes them back as it shuts down. Before and after, the default action of SIGHUP and
SIGTERM ends a process. On a small or busy machine that is seconds of each start.

The evidence: SIGHUP at moments after a node was made, 4 tries at each, beside 4 other busy
processes. Started as deployed it ended the node in all tries until 50 ms and in some until 80 ms;
started by `python -m`, in all until 100 ms and some until 200 ms. A bare interpreter that blocks
signals in its first line is ended until 12 ms. SIGHUP every 0.5 ms from SIGTERM on: status -1.

Signals are blocked from the first own line to the handlers, and again from the end of service to
that of the process. What is sent while the interpreter itself still starts, no program can take,
unless whoever starts it blocks the signals: what is blocked then is obeyed as well.
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

GAP_SECONDS = 0.0005
LONGEST_END_SECONDS = 12.0
NEVER_READY_SECONDS = 2.0
"""Less than a node forwards on for where no router asks it."""
STARTS = 3
TELL_BLOCKED = """
import _signal
print(*sorted(map(int, _signal.pthread_sigmask(_signal.SIG_BLOCK, ()))))
raise SystemExit
"""
BALANCER = "import sys; from beamloom.cli.main import main; sys.exit(main())"


def wait_until_held(node: subprocess.Popen[bytes]) -> None:
    """Return as soon as the program has run its first line, or has ended."""
    end = time.monotonic() + LONGEST_END_SECONDS
    while not holds(node.pid, signal.SIGHUP) and node.poll() is None and time.monotonic() < end:
        pass


def flood(node: subprocess.Popen[bytes], is_enough: Callable[[], bool] = lambda: False) -> None:
    """Send SIGHUP all the time, until it is enough, the process has ended or it takes long."""
    end = time.monotonic() + LONGEST_END_SECONDS
    while node.poll() is None and not is_enough() and time.monotonic() < end:
        node.send_signal(signal.SIGHUP)
        time.sleep(GAP_SECONDS)


class SignalsTest(TokenNodeCase):
    network = "127.61.31"

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.add_endpoint(1)
        self.configure(1, "tracker")

    async def start_flooded(self) -> subprocess.Popen[bytes]:
        """Start a node that gets SIGHUP all the time from its first own line until it is ready."""
        node = self.start_node(1)
        await asyncio.to_thread(wait_until_held, node)
        await asyncio.to_thread(flood, node, lambda: '"Ready"' in self.logs())
        return node

    async def assert_lives_through(self, starts: int) -> None:
        for _ in range(starts):
            node = await self.start_flooded()
            self.assertIsNone(node.poll(), self.logs())
            await self.wait_for_line(1, "SettingsReloaded")
            node.send_signal(signal.SIGTERM)
            await asyncio.to_thread(flood, node)
            self.assertEqual(await asyncio.to_thread(node.wait, 1.0), 0, self.logs())
            self.assertNotIn("Traceback", self.logs())

    async def test_reloads_end_no_node_from_its_first_own_line_on(self) -> None:
        await self.assert_lives_through(STARTS)

    async def test_nor_one_that_is_started_as_deployed(self) -> None:
        self.start_as_deployed()
        await self.assert_lives_through(STARTS)

    def start_as_deployed(self) -> None:
        program = install_program(self.folder)
        self.program = program.command[1:]
        self.enterContext(mock.patch.dict(os.environ, program.environment))

    async def test_a_stop_while_a_node_starts_is_a_planned_one(self) -> None:
        """It waits for nobody: a node that was never ready has nothing to hand over."""
        self.start_as_deployed()
        for part in range(STARTS):
            node = self.start_node(1)
            await asyncio.to_thread(wait_until_held, node)
            await asyncio.sleep(0.02 * part)
            asked_at = time.monotonic()
            node.send_signal(signal.SIGTERM)
            status = await asyncio.to_thread(node.wait, LONGEST_END_SECONDS)
            self.assertEqual(status, 0, self.logs())
            self.assertLess(time.monotonic() - asked_at, NEVER_READY_SECONDS)

    async def test_nor_does_one_wait_that_the_store_leaves_without_an_answer(self) -> None:
        self.store.faults.unavailable = True
        node = self.start_node(1)
        await self.wait_until_ready(1, status=503)
        self.stop(node)
        status = await asyncio.to_thread(node.wait, NEVER_READY_SECONDS)
        self.assertEqual(status, 0, self.logs())

    async def test_nothing_of_a_start_comes_before(self) -> None:
        """As deployed: the signals are blocked before the first module of the node is imported."""
        package = self.folder / "beamloom"
        start = package / "runtime" / "start.py"
        start.parent.mkdir(parents=True)
        shutil.copyfile(Path(beamloom.runtime.start.__file__), start)
        (package / "__init__.py").write_text(TELL_BLOCKED)
        run = await asyncio.to_thread(
            subprocess.run,
            [sys.executable, "-S", str(start)],
            capture_output=True,
            text=True,
            timeout=LONGEST_END_SECONDS,
            check=False,
        )
        self.assertEqual(
            run.stdout.split(), [str(int(number)) for number in sorted(HANDLED_SIGNALS)]
        )

    async def test_whoever_starts_a_node_may_block_the_signals(self) -> None:
        """What came before its first own line is obeyed then: no moment is left."""
        block_signals()
        self.addCleanup(unblock_signals)
        node = self.start_node(1)
        unblock_signals()
        self.assertTrue(all(holds(node.pid, signal.Signals(number)) for number in HANDLED_SIGNALS))
        node.send_signal(signal.SIGHUP)
        await self.wait_until_ready(1)
        await self.wait_for_line(1, "SettingsReloaded")
        node.send_signal(signal.SIGTERM)
        self.assertEqual(await asyncio.to_thread(node.wait, LONGEST_END_SECONDS), 0)


class BalancerSignalsTest(NodeTestCase):
    """The same of `beamloom run balancer`, which reads its key files anew."""

    async def test_reloads_end_no_balancer_from_its_first_own_line_on(self) -> None:
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
        await asyncio.to_thread(wait_until_held, node)
        await asyncio.to_thread(flood, node, lambda: b"key_files_read" in log.read_bytes())
        self.assertIsNone(node.poll(), log.read_text())
        node.send_signal(signal.SIGTERM)
        await asyncio.to_thread(flood, node)
        self.assertEqual(await asyncio.to_thread(node.wait, 1.0), 0, log.read_text())
