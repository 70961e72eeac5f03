"""A short soak in which nodes of an older version are replaced one by one."""

import subprocess
import tempfile
from pathlib import Path

from tests.soak.kept_soak import KeptSoakCase

ROOT = Path(__file__).resolve().parents[2]
FORMER_COMMIT = "f0d207eb326d5d788c5b92ef20051b3e8a5423e2"
SECONDS = 40.0
NODES = 5
SEED = 7
MINIMUM_FLOWS = 200


class UpgradeSoakTest(KeptSoakCase):
    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.former = Path(folder.name) / "former"
        self.run_git("worktree", "add", "--detach", str(self.former), FORMER_COMMIT)
        self.addCleanup(self.run_git, "worktree", "remove", "--force", str(self.former))

    def run_git(self, *arguments: str) -> None:
        """Run git in this repository; the history must contain FORMER_COMMIT."""
        subprocess.run(("git", "-C", str(ROOT), *arguments), check=True, capture_output=True)

    def test_old_and_new_nodes_serve_side_by_side(self) -> None:
        package = self.former / "src" / "beamloom"
        result = self.run_soak(SEED, SECONDS, NODES, former_package=package)
        self.assertEqual(result.counters["upgrades"], NODES)
        self.assertGreater(result.flows["done"], MINIMUM_FLOWS)
