"""Token nodes as processes: started, signalled and restarted by the soak."""

from __future__ import annotations

import os
import signal
import subprocess
import sys
import urllib.error
import urllib.request
from pathlib import Path

from beamloom.platform.node_settings import SETTINGS_VARIABLE
from beamloom.platform.store_encoding import encode_settings
from beamloom.platform.store_objects import READINESS_PATH
from beamloom.settings.token_node import TokenNodeSettings

READINESS_SECONDS = 0.4


class NodeProcess:
    """One node's process; its log is kept in the soak's folder over all of its starts."""

    def __init__(self, settings: TokenNodeSettings, folder: Path) -> None:
        self.name = settings.node
        self.host = settings.host
        self.misses = 2
        self._readiness = settings.readiness
        self._settings = folder / f"{settings.node}.toml"
        self._log_path = folder / f"{settings.node}.log"
        self._process: subprocess.Popen[bytes] | None = None
        self._settings.write_text(encode_settings(settings), encoding="utf-8")

    @property
    def running(self) -> bool:
        """Whether there is a process."""
        return self._process is not None and self._process.poll() is None

    @property
    def exit_status(self) -> int | None:
        """How the last process ended; None while it runs."""
        return None if self._process is None else self._process.poll()

    def start(self) -> None:
        """Start the process, unless it runs."""
        if self.running:
            return
        with self._log_path.open("ab") as log:
            self._process = subprocess.Popen(
                [sys.executable, "-m", "beamloom.runtime.token_node_main"],
                env={**os.environ, SETTINGS_VARIABLE: str(self._settings)},
                stdout=log,
                stderr=subprocess.STDOUT,
            )

    def send(self, number: signal.Signals) -> None:
        """Send a signal to the process, if it runs."""
        if self._process is not None and self.running:
            self._process.send_signal(number)

    def end(self) -> None:
        """End the process for good."""
        if self._process is None:
            return
        self.send(signal.SIGCONT)
        self.send(signal.SIGKILL)
        self._process.wait()

    def is_ready(self) -> bool:
        """Ask its readiness address, as the platform's routers do; blocks for a moment."""
        url = f"http://{self._readiness.text}{READINESS_PATH}"
        try:
            with urllib.request.urlopen(url, timeout=READINESS_SECONDS) as answer:
                return bool(answer.status == 200)
        except (urllib.error.URLError, OSError):
            return False
