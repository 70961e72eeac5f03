"""The nodes as processes of the deploy file, and the routers that hand packets to them."""

from __future__ import annotations

import asyncio
import contextlib
import hashlib
import json
import os
import shlex
import signal
import socket
import subprocess
import tomllib
from pathlib import Path
from typing import Any

from review.testbed.packets import FlowKey
from review.testbed.record import Record

ROOT = Path(__file__).resolve().parents[2]
READINESS_PATH = "/beamloom/readiness"
PROBE_SECONDS = 0.5
MISSES = 2
PORTS = range(21_000, 29_000, 20)
PORTS_PER_MACHINE = 20
START_SECONDS = 15.0
END_SECONDS = 7.0
REGION = "region"


class Machine:
    """One machine of the system with its process."""

    def __init__(self, number: int, zone: str, first_port: int, store: tuple[str, int]) -> None:
        self.host = f"127.0.1.{number}"
        self.name = f"front-{zone}-{number}"
        self.zone = zone
        self.first_port = first_port
        self.store = store
        self.process: subprocess.Popen[bytes] | None = None
        self.ready = False
        self.misses = MISSES
        self.disturbed_at = float("-inf")

    @property
    def packets(self) -> tuple[str, int]:
        """The address to which routers send packets."""
        return (self.host, self.first_port)

    @property
    def readiness(self) -> tuple[str, int]:
        """The address at which readiness is asked."""
        return (self.host, self.first_port + 1)

    def fields(self, seeds: list[str], zones: list[str], *, bootstrap: bool) -> dict[str, Any]:
        """Return the fields of the settings, as on the users' pages."""
        return {
            "node-name": self.name,
            "role": "balancer",
            "machine-class": "front",
            "serves": ["front", "control"],
            "ip": self.host,
            "zone": self.zone,
            "region": REGION,
            "port-range": [self.first_port + 4, self.first_port + 15],
            "seeds": seeds,
            "bootstrap": bootstrap,
            "in-tolerance": False,
            "discovery": "platform",
            "entry-kind": "announcement",
            "heartbeat-ms": 1200,
            "contracts": ["base", "drain", "config", "cost", "recover", "flows", "platform"],
            "hash": "steady",
            "access-mode": "echo",
            "zones": dict.fromkeys(zones, REGION),
            "bind-addrs": {
                "datagram-addr": f"{self.host}:{self.first_port}",
                "readiness": f"{self.host}:{self.first_port + 1}",
                "control": f"{self.host}:{self.first_port + 2}",
            },
            "limits": {
                "cpu-share": 0.774,
                "cores": 1,
                "memory-mb": 300,
                "max-fds": 4100,
                "link-mbps": 1000.0,
                "disk-mb": 0,
            },
            "fault-tolerance": {"machines": 1, "zones": 0, "regions": 0},
            "bounds": {
                "seed-lag-s": 3,
                "reuse-after-s": 2,
                "contact-ms": 4000,
                "ack-ms": 5000,
                "catch-up-s": 4,
                "drain-ms": 3000,
                "grace-s": 6,
                "loss-slack-ms": 200,
                "config-apply-ms": 3000,
                "rollback-slack-ms": 250,
                "max-stretch-ms": 12000,
                "recovery-s": 12,
                "flow-ms": 2000,
                "flow-max-s": 60,
            },
            "platform": {
                "address": f"{self.store[0]}:{self.store[1]}",
                "access-mode": "objects",
                "writes-per-s": 400,
                "reads-per-s": 2000,
                "history-s": 20,
                "value-bytes": 1048576,
                "ttl-min-ms": 1000,
            },
        }


class Fleet:
    """All machines, and one router for each zone; clients of a zone reach the nodes through it."""

    def __init__(self, machines: list[Machine], folder: Path, record: Record) -> None:
        self.machines = machines
        self._folder = folder
        self._record = record
        self._router = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._probes: list[asyncio.Task[None]] = []
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        self._role = deploy["roles"]["balancer"]
        self.bootstrap = True

    @property
    def zones(self) -> list[str]:
        """The zones of the machines."""
        return sorted({machine.zone for machine in self.machines})

    def start(self, machine: Machine) -> None:
        """Start the process of a machine with its present settings."""
        self.write_settings(machine)
        environment = {name: os.environ[name] for name in ("PATH", "HOME") if name in os.environ}
        environment |= {"LANG": "C.UTF-8", "BEAMLOOM_CONFIG": str(self.settings_path(machine))}
        environment |= {name: str(value) for name, value in self._role.get("env", {}).items()}
        environment["PYTHONPATH"] = "target/deps"
        with (self._folder / f"{machine.name}.log").open("ab") as log:
            machine.process = subprocess.Popen(
                shlex.split(self._role["run"]), cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        machine.disturbed_at = self._record.now

    def settings_path(self, machine: Machine) -> Path:
        """Return the path of a machine's settings file."""
        return self._folder / f"{machine.name}.json"

    def write_settings(self, machine: Machine) -> None:
        """Lay out the settings of a machine; the template of the deploy file is all fields."""
        seeds = [f"{one.host}:{one.first_port + 2}" for one in self.machines[:3]]
        fields = machine.fields(seeds, self.zones, bootstrap=self.bootstrap)
        temporary = self.settings_path(machine).with_suffix(".new")
        temporary.write_text(json.dumps(fields))
        temporary.replace(self.settings_path(machine))

    async def start_all(self) -> None:
        """Start every machine and wait until all are ready; raises TimeoutError."""
        for machine in self.machines:
            self.start(machine)
        self._probes = [asyncio.create_task(self._probe(machine)) for machine in self.machines]
        async with asyncio.timeout(START_SECONDS):
            while not all(machine.ready for machine in self.machines):
                await asyncio.sleep(0.1)
        self.bootstrap = False

    async def end_all(self) -> None:
        """End all processes, and wait for them."""
        for probe in self._probes:
            probe.cancel()
        for machine in self.machines:
            if machine.process is not None and machine.process.poll() is None:
                machine.process.send_signal(signal.SIGCONT)
                machine.process.terminate()
        await asyncio.gather(*(asyncio.to_thread(_wait, machine) for machine in self.machines))
        self._router.close()

    def route(self, data: bytes, key: FlowKey, zone: str) -> None:
        """Hand a client's packet to a node of its zone, or of all zones where none is in."""
        own = [machine for machine in self.machines if machine.zone == zone]
        inside = [machine for machine in own if machine.ready]
        if inside and len(inside) < len(own) / 2:
            inside = own
        inside = inside or [machine for machine in self.machines if machine.ready]
        if inside:
            picked = max(inside, key=lambda machine: _weight(machine, key))
            with contextlib.suppress(OSError):
                self._router.sendto(data, picked.packets)

    async def _probe(self, machine: Machine) -> None:
        while True:
            answered = await self._is_ready(machine)
            machine.misses = 0 if answered else machine.misses + 1
            if answered != machine.ready and (answered or machine.misses >= MISSES):
                machine.ready = answered
                self._record.add(f"{machine.name} is {'in' if answered else 'out'}")
            await asyncio.sleep(PROBE_SECONDS)

    async def _is_ready(self, machine: Machine) -> bool:
        try:
            async with asyncio.timeout(PROBE_SECONDS):
                reader, writer = await asyncio.open_connection(*machine.readiness)
                writer.write(f"GET {READINESS_PATH} HTTP/1.1\r\nHost: node\r\n\r\n".encode())
                line = await reader.readline()
                writer.close()
                return b" 200 " in line
        except (OSError, TimeoutError):
            return False


def _weight(machine: Machine, key: FlowKey) -> bytes:
    text = f"{machine.host} {key}".encode()
    return hashlib.blake2s(text, digest_size=8).digest()


def _wait(machine: Machine) -> None:
    if machine.process is None:
        return
    try:
        machine.process.wait(END_SECONDS)
    except subprocess.TimeoutExpired:
        machine.process.kill()
        machine.process.wait()


def find_ports(hosts: list[str], seed: int) -> int:
    """Return the first of a run of ports that are free at all these hosts."""
    candidates = list(PORTS)
    for step in range(len(candidates)):
        first = candidates[(seed + step) % len(candidates)]
        if all(_are_free(host, first) for host in hosts):
            return first
    raise OSError("no free ports; end other processes first")


def _are_free(host: str, first: int) -> bool:
    for port in range(first, first + PORTS_PER_MACHINE):
        for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
            with socket.socket(socket.AF_INET, kind) as probe:
                try:
                    probe.bind((host, port))
                except OSError:
                    return False
    return True
