"""Installs the program of a soak's nodes as deploy/build.sh and deploy/system.toml do."""

from __future__ import annotations

import os
import shutil
import subprocess
import sys
from collections.abc import Mapping
from pathlib import Path
from typing import NamedTuple

import beamloom
from beamloom.runtime.start import BUNDLE


class NodeProgram(NamedTuple):
    """The command and environment that start a node."""

    command: tuple[str, ...]
    environment: Mapping[str, str]


def install_program(folder: Path, package: Path | None = None) -> NodeProgram:
    """Install a version's package and its start bundle below a folder, by default this version's.

    Libraries are imported from this process's `sys.path`. Raises OSError or CalledProcessError.
    """
    installed = folder / "installed"
    package = package or Path(beamloom.__file__).parent
    shutil.copytree(package, installed / "beamloom", dirs_exist_ok=True)
    module_path = os.pathsep.join([str(installed), *filter(None, sys.path)])
    environment = {**os.environ, "PYTHONPATH": module_path}
    python = (sys.executable, "-S")
    bundle = str(installed / BUNDLE)
    write = (*python, "-m", "beamloom.runtime.bundle_writer", bundle)
    subprocess.run(write, env=environment, check=True)
    start = installed / "beamloom" / "runtime" / "start.py"
    return NodeProgram((*python, str(start)), environment)
