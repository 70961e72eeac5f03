"""`beamloom run` as processes: traffic over loopback, planned stops and failures at start."""

import asyncio
import json
import os
import re
import signal
import sys

from beamloom.cli.main import main
from tests.functional.node_case import TIMEOUT_SECONDS, NodeTestCase

PROGRAM = "import sys; from beamloom.cli.main import main; sys.exit(main())"
SERVICE = "tcp://10.0.0.1:80"
VIRTUAL = {"ip": "10.0.0.1", "protocol": "tcp", "port": 80}
ADDRESS = re.compile(r"127\.0\.0\.1:\d+")


class Program:
    """One `beamloom` process whose output is read line by line."""

    def __init__(self, process: asyncio.subprocess.Process) -> None:
        self.process = process

    async def wait_for_line(self, containing: str) -> str:
        """Return the next line of output or log that contains a text; skip other lines."""
        async with asyncio.timeout(TIMEOUT_SECONDS):
            while line := (await self.stream().readline()).decode():
                if containing in line:
                    return line
        raise AssertionError(f"the process ended before it wrote {containing!r}")

    def stream(self) -> asyncio.StreamReader:
        assert self.process.stdout is not None
        return self.process.stdout

    async def stop(self) -> tuple[int, str]:
        """Send SIGTERM; return the exit status and the rest of the output."""
        self.process.send_signal(signal.SIGTERM)
        return await self.wait()

    async def wait(self) -> tuple[int, str]:
        """Wait for the exit; return the exit status and the rest of the output."""
        async with asyncio.timeout(TIMEOUT_SECONDS):
            rest = await self.stream().read()
            return await self.process.wait(), rest.decode()


class RunCommandsTest(NodeTestCase):
    async def start_program(self, *arguments: str) -> Program:
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-c",
            PROGRAM,
            *arguments,
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.STDOUT,
            env={**os.environ, "PYTHONPATH": os.pathsep.join(sys.path)},
        )
        self.addAsyncCleanup(self.kill, process)
        return Program(process)

    async def kill(self, process: asyncio.subprocess.Process) -> None:
        if process.returncode is None:
            process.kill()
        await process.communicate()

    async def start_balancer(self, name: str, gateway: str, data: str) -> Program:
        path = self.write_settings(name, data=data)
        text = path.read_text().replace("127.0.0.1:9", gateway)
        path.write_text(text + '\n[log]\nformat = "json"\n')
        program = await self.start_program("run", "balancer", "--settings", str(path))
        await program.wait_for_line("admin API on")
        return program

    async def test_stream_through_all_processes_and_planned_stops(self) -> None:
        fabric = await self.start_program("run", "fabric")
        backend = await self.start_program("run", "backend", "t/s/b", "--service", SERVICE)
        clients, gateway, admin = ADDRESS.findall(await fabric.wait_for_line("listens"))
        data, health = ADDRESS.findall(await backend.wait_for_line("listens"))
        await self.client.write("tenant/t", {}, 0)
        await self.client.write("service/t/s", VIRTUAL, 0)
        value = {"address": data, "health": health, "zone": "laucala"}
        await self.client.write("backend/t/s/b", value, 0)
        balancer = await self.start_balancer("one", gateway, "127.0.0.1:0")
        await self.wait_for_machines(1)
        live = (await self.client.list_machines()).live
        listed = {"balancers": [str(machine.data_address) for machine in live]}
        async with self.http.put(f"http://{admin}/balancers", json=listed) as answer:
            self.assertEqual(answer.status, 200)
        stream = ("--local", "198.18.0.1:1024", "--interval", "0.05", "--updates", "10")
        target = ("--fabric", clients, "--service", SERVICE)
        client = await self.start_program("run", "client", *target, *stream)
        status, output = await client.wait()
        outcome = json.loads(output)
        self.assertEqual((status, outcome["broken"], outcome["backends"]), (0, False, ["t/s/b"]))
        self.assertGreaterEqual(outcome["updates_answered"], 10)
        for program in (backend, balancer, fabric):
            self.assertEqual((await program.stop())[0], 0)
        self.assertEqual(len((await self.client.list_machines()).leaving), 1)

    async def wait_for_machines(self, count: int) -> None:
        async with asyncio.timeout(TIMEOUT_SECONDS):
            while len((await self.client.list_machines()).live) < count:
                await asyncio.sleep(0.02)

    async def test_platform_process_serves_a_token_holder(self) -> None:
        token = str(self.folder / "platform.token")
        platform = await self.start_program("run", "platform", "--token-file", token)
        (address,) = ADDRESS.findall(await platform.wait_for_line("listens"))
        access = ("--platform", f"http://{address}", "--platform-token-file", token)
        self.assertEqual(await asyncio.to_thread(main, ("tenant", "create", "t", *access)), 0)
        self.assertEqual((await platform.stop())[0], 0)

    async def test_failures_at_start_print_one_line_each_and_exit_with_1(self) -> None:
        (self.folder / "fleet.key").write_bytes(b"short")
        (self.folder / "hash.key").unlink()
        path = self.write_settings("one")
        program = await self.start_program("run", "balancer", "--settings", str(path))
        status, output = await program.wait()
        lines = output.splitlines()
        self.assertEqual((status, len(lines)), (1, 2), lines)
        self.assertIn("the key has 5 bytes; make a file of 32 to 64", lines[0])
        self.assertIn("No such file", lines[1])
