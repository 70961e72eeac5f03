"""The program of a soak's nodes, installed and started as deploy/build.sh and system.toml say."""

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
    """How a node is started."""

    command: tuple[str, ...]
    environment: Mapping[str, str]


def install_program(folder: Path) -> NodeProgram:
    """Install the sources and the bundle of a start below a folder.

    Libraries are taken from where this process finds them. Raises OSError or CalledProcessError.
    """
    installed = folder / "installed"
    shutil.copytree(Path(beamloom.__file__).parent, installed / "beamloom", dirs_exist_ok=True)
    found = os.pathsep.join([str(installed), *filter(None, sys.path)])
    environment = {**os.environ, "PYTHONPATH": found}
    python = (sys.executable, "-S")
    bundle = str(installed / BUNDLE)
    write = (*python, "-m", "beamloom.runtime.bundle_writer", bundle)
    subprocess.run(write, env=environment, check=True)
    start = installed / "beamloom" / "runtime" / "start.py"
    return NodeProgram((*python, str(start)), environment)
