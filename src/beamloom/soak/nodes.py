"""Token nodes as processes: started, signalled and restarted by the soak."""

from __future__ import annotations

import signal
import subprocess
import time
import urllib.error
import urllib.request
from pathlib import Path

from beamloom.platform.node_settings import SETTINGS_VARIABLE
from beamloom.platform.store_encoding import encode_settings
from beamloom.platform.store_objects import READINESS_PATH
from beamloom.settings.capacity import Capacity
from beamloom.settings.token_node import Endpoint, TokenNodeSettings
from beamloom.simulation.tokens.deployment import ZONES
from beamloom.simulation.tokens.oracle import EVACUATE_SECONDS
from beamloom.soak.cold_openings import COLD_START_LIMITS
from beamloom.soak.program import NodeProgram
from beamloom.units import MILLISECONDS

READINESS_TIMEOUT_SECONDS = 0.4
PACKETS_PORT = 19172
READINESS_PORT = 19167
PEER_PORT = 19720
STOP_SECONDS = 6.0
SMALL_MACHINE = Capacity(cores=0.12, link_megabits=5.0, memory_megabytes=152, descriptors=2870)
LARGE_MACHINE = Capacity(cores=2.0, link_megabits=200.0, memory_megabytes=552, descriptors=8192)
"""Capacities in the nodes' settings: the smallest and largest machines that are deployed."""


def is_large(name: str) -> bool:
    """Whether a node is configured as a large machine; every second one is."""
    return int(name.rpartition("-")[2]) % 2 == 0


def node_settings(network: str, number: int, store_port: int) -> TokenNodeSettings:
    """Return the settings of a node in the soak's loopback network."""
    name, host = f"node-{number}", f"{network}.0.{number}"
    return TokenNodeSettings(
        node=name,
        host=host,
        zone=ZONES[number % len(ZONES)],
        packets=Endpoint(host, PACKETS_PORT),
        readiness=Endpoint(host, READINESS_PORT),
        store=Endpoint(f"{network}.3.{number}", store_port),
        peer_port=PEER_PORT,
        metrics=None,
        seeds=tuple(f"{network}.0.{seed}" for seed in (1, 2, 3)),
        stop_seconds=STOP_SECONDS,
        evacuate_seconds=EVACUATE_SECONDS,
        zones=ZONES,
        capacity=LARGE_MACHINE if is_large(name) else SMALL_MACHINE,
        cold_starts=COLD_START_LIMITS,
    )


class NodeProcess:
    """The process of one node; all of its starts append to one log in the soak's folder.

    Each start runs the `program` of that time. `own_ends` counts the ends with an error before the
    present start.
    """

    def __init__(self, settings: TokenNodeSettings, folder: Path, program: NodeProgram) -> None:
        self.name = settings.node
        self.host = settings.host
        self.misses = 2
        self.starts = 0
        self.own_ends = 0
        self.last_signal = "none"
        self._readiness = settings.readiness
        self._settings_path = folder / f"{settings.node}.toml"
        self._log_path = folder / f"{settings.node}.log"
        self.program = program
        self._process: subprocess.Popen[bytes] | None = None
        self._started_at = 0.0
        self._settings_path.write_text(encode_settings(settings), encoding="utf-8")

    @property
    def running(self) -> bool:
        """Whether the process runs."""
        return self._process is not None and self._process.poll() is None

    @property
    def exit_status(self) -> int | None:
        """Exit status of the last process; None while it runs or before the first start."""
        return None if self._process is None else self._process.poll()

    def start(self) -> None:
        """Start the process unless it is running."""
        if self.running:
            return
        self.own_ends += bool(self.exit_status and self.exit_status > 0)
        self.starts += 1
        with self._log_path.open("ab") as log:
            self._process = subprocess.Popen(
                self.program.command,
                env={**self.program.environment, SETTINGS_VARIABLE: str(self._settings_path)},
                stdout=log,
                stderr=subprocess.STDOUT,
            )
        self._started_at = time.monotonic()
        self.last_signal = "none"

    def send(self, number: signal.Signals) -> None:
        """Send a signal to the process if it is running."""
        if self._process is not None and self.running:
            age = MILLISECONDS * (time.monotonic() - self._started_at)
            self.last_signal = f"{number.name} {age:.0f} ms after its start"
            self._process.send_signal(number)

    def handles_signal(self, number: signal.Signals) -> bool:
        """Whether the process blocks a signal or has a handler for it."""
        return self._process is not None and self.running and holds(self._process.pid, number)

    def end(self) -> None:
        """Kill the process and wait for its end."""
        if self._process is None:
            return
        self.send(signal.SIGCONT)
        self.send(signal.SIGKILL)
        self._process.wait()

    def is_ready(self) -> bool:
        """Request the readiness URL, as the platform's routers do; blocks meanwhile."""
        url = f"http://{self._readiness.text}{READINESS_PATH}"
        try:
            with urllib.request.urlopen(url, timeout=READINESS_TIMEOUT_SECONDS) as answer:
                return bool(answer.status == 200)
        except (urllib.error.URLError, OSError):
            return False


def holds(process_id: int, number: signal.Signals) -> bool:
    """Whether a process blocks a signal or has a handler for it (proc(5), `status`)."""
    try:
        lines = Path(f"/proc/{process_id}/status").read_text().splitlines()
    except OSError:
        return False  # it has ended
    masks = dict(line.split(":\t") for line in lines if line.startswith(("SigBlk", "SigCgt")))
    return any(int(mask, 16) >> (number - 1) & 1 for mask in masks.values())
