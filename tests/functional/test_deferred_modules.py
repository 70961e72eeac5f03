"""Deferred modules are not imported by a start, and work when they are accessed."""

import unittest

from tests.functional.bare_program import run_bare

DEFERRED_MODULES = {
    "asyncio.sslproto",
    "concurrent.futures",
    "inspect",
    "linecache",
    "logging",
    "subprocess",
    "traceback",
}


LOAD_NODE = """
from beamloom.runtime.start import load
load()
import asyncio, sys
"""


def run_program(code: str) -> str:
    """Run a program after importing a node; return its standard output and error."""
    return run_bare(LOAD_NODE + code)


class DeferredModulesTest(unittest.TestCase):
    def test_a_running_loop_imports_no_deferred_module(self) -> None:
        printed = run_program(
            "async def serve():\n"
            "    async with asyncio.TaskGroup() as group:\n"
            "        group.create_task(asyncio.sleep(0))\n"
            "    await asyncio.wait({asyncio.create_task(asyncio.sleep(0))})\n"
            "    server = await asyncio.get_running_loop().create_server(\n"
            "        asyncio.Protocol, '127.0.0.1', 0)\n"
            "    address = server.sockets[0].getsockname()\n"
            "    await asyncio.get_running_loop().create_connection(asyncio.Protocol, *address)\n"
            "    server.close()\n"
            "asyncio.run(serve())\n"
            "print(' '.join(sys.modules))\n"
        )
        self.assertEqual(set(printed.split()) & DEFERRED_MODULES, set())

    def test_an_error_in_a_callback_is_logged_with_its_traceback(self) -> None:
        printed = run_program(
            "def fail():\n"
            "    raise ValueError('on purpose')\n"
            "async def serve():\n"
            "    asyncio.get_running_loop().call_soon(fail)\n"
            "    await asyncio.sleep(0.01)\n"
            "asyncio.run(serve())\n"
        )
        self.assertIn("Exception in callback fail()", printed)
        self.assertIn("ValueError: on purpose", printed)

    def test_deferred_names_equal_those_of_the_modules(self) -> None:
        printed = run_program(
            "import concurrent.futures, logging, subprocess, traceback\n"
            "from asyncio import base_events, tasks\n"
            "assert tasks.FIRST_COMPLETED == concurrent.futures.FIRST_COMPLETED\n"
            "assert tasks.FIRST_EXCEPTION == concurrent.futures.FIRST_EXCEPTION\n"
            "assert tasks.ALL_COMPLETED == concurrent.futures.ALL_COMPLETED\n"
            "assert base_events.subprocess.Popen is subprocess.Popen\n"
            "assert asyncio.subprocess.PIPE == subprocess.PIPE\n"
            "assert asyncio.subprocess.STDOUT == subprocess.STDOUT\n"
            "assert asyncio.subprocess.DEVNULL == subprocess.DEVNULL\n"
            "assert base_events.traceback.format_list is traceback.format_list\n"
            "from asyncio import futures\n"
            "assert futures.STACK_DEBUG == logging.DEBUG - 1\n"
            "assert asyncio.wrap_future(concurrent.futures.Future(),\n"
            "    loop=asyncio.new_event_loop()) is not None\n"
            "print('alike')\n"
        )
        self.assertEqual(printed.strip(), "alike")

    def test_asyncio_can_use_threads(self) -> None:
        printed = run_program("print(asyncio.run(asyncio.to_thread(sum, [1, 2])))")
        self.assertEqual(printed.strip(), "3")

    def test_a_missing_name_raises_the_error_of_the_module(self) -> None:
        printed = run_program(
            "from asyncio import base_events\n"
            "try:\n"
            "    base_events.subprocess.no_such_name\n"
            "except AttributeError as error:\n"
            "    print(error)\n"
        )
        self.assertIn("module 'subprocess' has no attribute 'no_such_name'", printed)


if __name__ == "__main__":
    unittest.main()
