"""Runs programs without `site`, as the platform starts a node."""

import os
import subprocess
import sys


def run_bare(code: str, stdin: str = "") -> str:
    """Run a program with the import path of the tests; return its standard output and error.

    Raises CalledProcessError or TimeoutExpired.
    """
    result = subprocess.run(
        [sys.executable, "-S", "-c", code],
        env={**os.environ, "PYTHONPATH": os.pathsep.join(filter(None, sys.path))},
        input=stdin,
        capture_output=True,
        text=True,
        timeout=20,
        check=True,
    )
    return result.stdout + result.stderr
