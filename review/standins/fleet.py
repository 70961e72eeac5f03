"""The system's own processes, started as deploy/system.toml says, and the routers before them."""

from __future__ import annotations

import asyncio
import hashlib
import json
import os
import signal
import subprocess
import tomllib
from collections.abc import Callable, Sequence
from pathlib import Path
from typing import NamedTuple

from standins.packets import Packet
from standins.record import Record

PROBE_SECONDS = 0.5
PROBE_TIMEOUT_SECONDS = 0.4
MISSES_UNTIL_OUT = 2
WATCH_SECONDS = 0.02
RESTART_SECONDS = 0.5
HEARTBEAT_MS = 1200
DRAIN_MS = 3000
CONTACT_MS = 4000


class Ports(NamedTuple):
    """The port numbers that are the same on all machines."""

    packets: int
    readiness: int
    control: int
    peers: int


class Node:
    """One machine of the system and its process; the platform restarts a process that ended."""

    def __init__(
        self, record: Record, root: Path, folder: Path, name: str, host: str, zone: str
    ) -> None:
        self.name, self.host, self.zone = name, host, zone
        self.misses = MISSES_UNTIL_OUT
        self.own_ends: list[float] = []
        self.disturbed_at: list[float] = []
        self.is_dark = False
        self._record, self._root = record, root
        self._settings = folder / f"{name}.json"
        self._log = folder / f"{name}.log"
        self.process: subprocess.Popen[bytes] | None = None

    def write_settings(
        self, ports: Ports, zones: Sequence[str], seeds: Sequence[str], store: str
    ) -> None:
        """Write the settings of DEPLOY.md, in the form of the template `{{.|json}}`."""
        document = {
            "node-name": self.name,
            "role": "balancer",
            "machine-class": "front",
            "serves": ["front", "control"],
            "ip": self.host,
            "zone": self.zone,
            "region": "suva",
            "zones": dict.fromkeys(zones, "suva"),
            "bind-addrs": {
                "datagram-addr": f"{self.host}:{ports.packets}",
                "readiness": f"{self.host}:{ports.readiness}",
                "control": f"{self.host}:{ports.control}",
            },
            "port-range": [ports.peers, ports.peers + 15],
            "seeds": [f"{seed}:{ports.control}" for seed in seeds],
            "bootstrap": True,
            "in-tolerance": False,
            "limits": {
                "cpu-share": 0.774,
                "cores": 1,
                "memory-mb": 300,
                "max-fds": 4100,
                "link-mbps": 1000.0,
                "disk-mb": 0,
            },
            "data-dir": None,
            "discovery": "platform",
            "entry-kind": "announcement",
            "heartbeat-ms": HEARTBEAT_MS,
            "contracts": ["base", "drain", "config", "cost", "recover", "flows", "platform"],
            "fault-tolerance": {"machines": 1, "zones": 0, "regions": 0},
            "bounds": {
                "seed-lag-s": 3,
                "reuse-after-s": 2,
                "contact-ms": CONTACT_MS,
                "ack-ms": 5000,
                "catch-up-s": 4,
                "drain-ms": DRAIN_MS,
                "grace-s": 6,
                "loss-slack-ms": 200,
                "config-apply-ms": 3000,
                "rollback-slack-ms": 250,
                "max-stretch-ms": 12000,
                "recovery-s": 12,
                "flow-ms": 2000,
                "flow-max-s": 60,
            },
            "hash": "steady",
            "access-mode": "echo",
            "platform": {
                "address": store,
                "access-mode": "objects",
                "writes-per-s": 400,
                "reads-per-s": 2000,
                "history-s": 20,
                "value-bytes": 1048576,
                "ttl-min-ms": 1000,
            },
        }
        self._settings.write_text(json.dumps(document), encoding="utf-8")

    def start(self) -> None:
        """Start the process with the command of the deploy file."""
        deploy = tomllib.loads((self._root / "deploy" / "system.toml").read_text())
        role = deploy["roles"]["balancer"]
        kept = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        environment = {
            **kept,
            **role["env"],
            "PYTHONPATH": str(self._root / "target" / "deps"),
            "BEAMLOOM_CONFIG": str(self._settings),
        }
        with self._log.open("ab") as log:
            self.process = subprocess.Popen(
                role["run"].split(),
                cwd=self._root,
                env=environment,
                stdout=log,
                stderr=subprocess.STDOUT,
            )
        self._record.line("node-started", node=self.name, pid=self.process.pid)

    def send(self, number: signal.Signals) -> None:
        """Send a signal to the process, which counts as a disruption of this machine."""
        if self.process is not None and self.process.poll() is None:
            self.disturbed_at.append(self._record.now())
            self._record.line("signal", node=self.name, signal=number.name)
            self.process.send_signal(number)

    def power_off(self, seconds: float) -> None:
        """Kill the process; the machine is dark for some seconds, then starts it again."""
        self.is_dark = True
        self.send(signal.SIGKILL)
        asyncio.get_running_loop().call_later(seconds, self._power_on)

    def _power_on(self) -> None:
        self.is_dark = False
        self.disturbed_at.append(self._record.now())
        self.start()

    def check(self) -> None:
        """Note an end of the process that nobody caused, and restart it after a short delay."""
        if self.process is None or self.is_dark or self.process.poll() is None:
            return
        status, self.process = self.process.returncode, None
        self.own_ends.append(self._record.now())
        self._record.line("process-ended-by-itself", node=self.name, status=status)
        asyncio.get_running_loop().call_later(RESTART_SECONDS, self.start)

    def end(self) -> None:
        """Kill the process and wait for its end."""
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
        if self.process is not None:
            self.process.wait()

    def last_error(self) -> str:
        """Return the last line of the process's output that names an error."""
        lines = self._log.read_text(errors="replace").splitlines() if self._log.exists() else []
        return next((line.strip(" |") for line in reversed(lines) if "Error: " in line), "none")

    def is_in_touch(self, at: float) -> bool:
        """Whether nothing disturbed this machine in the `contact-ms` before a moment."""
        return not any(at - CONTACT_MS / 1000 <= moment <= at for moment in self.disturbed_at)


class Fleet:
    """All nodes, and the routers that probe them and pick one for each packet."""

    def __init__(self, record: Record, nodes: Sequence[Node], ports: Ports) -> None:
        self.nodes = list(nodes)
        self._ports = ports
        self._record = record
        self._tasks: list[asyncio.Task[None]] = []

    def start(self) -> None:
        """Start all processes, the probes and the platform's watch over the processes."""
        for node in self.nodes:
            node.start()
            self._tasks.append(asyncio.create_task(self._probe(node)))
        self._tasks.append(asyncio.create_task(self._watch_processes()))

    def close(self) -> None:
        """End all tasks and processes."""
        for task in self._tasks:
            task.cancel()
        for node in self.nodes:
            node.end()

    def node_at(self, host: str) -> Node | None:
        """Return the node of an address."""
        return next((node for node in self.nodes if node.host == host), None)

    def router(self, zone: str) -> Callable[[Packet], str]:
        """Return the choice of a zone's routers: `steady`, over the nodes that are in."""

        def pick(packet: Packet) -> str:
            key = f"{packet.src}{packet.dst}"
            return max(
                (node.host for node in self._usable(zone)),
                key=lambda host: hashlib.blake2b(f"{key}{host}".encode()).digest(),
            )

        return pick

    def _usable(self, zone: str) -> list[Node]:
        own = [node for node in self.nodes if node.zone == zone]
        own_in = [node for node in own if node.misses < MISSES_UNTIL_OUT]
        if not own_in:
            others = [node for node in self.nodes if node.misses < MISSES_UNTIL_OUT]
            return others or own
        return own_in if 2 * len(own_in) >= len(own) else own

    async def wait_until_ready(self, seconds: float) -> bool:
        """Wait until the routers use all nodes; return whether they do in time."""
        deadline = asyncio.get_running_loop().time() + seconds
        while any(node.misses for node in self.nodes):
            if asyncio.get_running_loop().time() > deadline:
                return False
            await asyncio.sleep(0.05)
        return True

    async def _probe(self, node: Node) -> None:
        while True:
            ready = await self._is_ready(node)
            before, node.misses = node.misses, 0 if ready else node.misses + 1
            if (before < MISSES_UNTIL_OUT) != (node.misses < MISSES_UNTIL_OUT):
                self._record.line("router", node=node.name, uses=node.misses < MISSES_UNTIL_OUT)
            await asyncio.sleep(PROBE_SECONDS)

    async def _is_ready(self, node: Node) -> bool:
        try:
            async with asyncio.timeout(PROBE_TIMEOUT_SECONDS):
                reader, writer = await asyncio.open_connection(node.host, self._ports.readiness)
                writer.write(b"GET /beamloom/readiness HTTP/1.1\r\nHost: node\r\n\r\n")
                line = await reader.readline()
                writer.close()
        except (OSError, TimeoutError):
            return False
        return b" 200 " in line

    async def _watch_processes(self) -> None:
        while True:
            for node in self.nodes:
                node.check()
            await asyncio.sleep(WATCH_SECONDS)
