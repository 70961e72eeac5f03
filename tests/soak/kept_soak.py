"""Runs a soak of a test; the nodes' logs are kept if it reports a violation."""

import asyncio
import shutil
import tempfile
import unittest
from itertools import islice
from pathlib import Path

from beamloom.soak.run import SoakOptions, SoakResult, run_soak
from beamloom.soak.violation_logs import lines_of_violations

KEPT_LOGS = Path(__file__).resolve().parents[2] / "build" / "soak-logs"
SHOWN_LINES = 60


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
        lines = islice(lines_of_violations(result.violations, folder), SHOWN_LINES)
        summary = (f"{result.violations}", f"faults: {result.faults}", f"logs: {kept}")
        return "\n".join((*summary, *lines))
