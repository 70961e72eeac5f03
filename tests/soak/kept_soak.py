"""Runs a soak of a test; the nodes' logs are kept if it reports a violation."""

import asyncio
import json
import re
import shutil
import tempfile
import unittest
from collections.abc import Iterator
from pathlib import Path

from beamloom.soak.run import SoakOptions, SoakResult, run_soak

KEPT_LOGS = Path(__file__).resolve().parents[2] / "build" / "soak-logs"
SHOWN_LINES = 60
FLOW_PATTERN = re.compile(r"\d+(?:\.\d+){3}:\d+")
BACKEND_EVENTS = {"BackendChanged", "BackendDown", "BackendGone", "BackendUp"}


class KeptSoakCase(unittest.TestCase):
    """A test that runs a soak; logs of a failed one are kept in KEPT_LOGS."""

    def run_soak(
        self,
        seed: int,
        seconds: float,
        nodes: int,
        *,
        congests: bool = False,
        former_package: Path | None = None,
    ) -> SoakResult:
        """Run a soak; fail with its faults and with log lines if it reports a violation."""
        with tempfile.TemporaryDirectory() as name:
            folder = Path(name)
            options = SoakOptions(
                seed, seconds, nodes, folder, congests=congests, former_package=former_package
            )
            result = asyncio.run(run_soak(options))
            if result.violations:
                self.fail(self._describe(result, folder))
        return result

    def _describe(self, result: SoakResult, folder: Path) -> str:
        kept = KEPT_LOGS / self.id()
        shutil.rmtree(kept, ignore_errors=True)
        kept.mkdir(parents=True)
        for log in folder.glob("*.log"):
            shutil.copy(log, kept)
        lines = list(_lines_of_violations(result, folder))[:SHOWN_LINES]
        return "\n".join(
            [f"{result.violations}", f"faults: {result.faults}", f"logs: {kept}", *lines]
        )


def _lines_of_violations(result: SoakResult, folder: Path) -> Iterator[str]:
    """Yield the log lines about the flows of violations and about their backends."""
    flows = {flow for one in result.violations for flow in FLOW_PATTERN.findall(one.detail)}
    lines = [line for log in sorted(folder.glob("*.log")) for line in _read_lines(log)]
    own = [line for line in lines if str(line.get("flow", "")).partition(">")[0] in flows]
    backends = {line["backend"] for line in own if "backend" in line}
    for line in sorted(lines, key=lambda line: float(str(line["time"]))):
        about_backend = line.get("backend") in backends and line["event"] in BACKEND_EVENTS
        if line in own or about_backend:
            yield json.dumps(line)


def _read_lines(log: Path) -> Iterator[dict[str, object]]:
    for text in log.read_text(errors="replace").splitlines():
        try:
            line = json.loads(text)
        except ValueError:
            continue  # the process was killed while it wrote this line
        if isinstance(line, dict) and "event" in line:
            yield line
