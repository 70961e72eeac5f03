"""Runs programs as the platform starts a node: without `site`, with what the tests can import."""

import os
import subprocess
import sys


def run_bare(code: str) -> str:
    """Run a program; return what it printed to both its outputs. Raises where it fails."""
    run = subprocess.run(
        [sys.executable, "-S", "-c", code],
        env={**os.environ, "PYTHONPATH": os.pathsep.join(filter(None, sys.path))},
        capture_output=True,
        text=True,
        timeout=20,
        check=True,
    )
    return run.stdout + run.stderr
