"""Print the processor time of a node's start, split by part, in milliseconds.

Each stage runs as a separate process from the modules that `deploy/build.sh` installed. It includes
the stages before it, so that the difference of the medians is the cost of its own part. The stages
alternate, so that other load on the machine affects all of them. Reading lists and the key from the
store is not measured.

    sh deploy/build.sh && python3 tools/start_cost.py

`--against FOLDER`, the `target/deps` of another tree, measures loading the node of that tree too.
"""

from __future__ import annotations

import argparse
import os
import resource
import statistics
import subprocess
from pathlib import Path
from typing import NamedTuple

ROOT = Path(__file__).resolve().parent.parent
INSTALLED = ROOT / "target" / "deps"
MILLISECONDS = 1000
BUNDLE = """
import gc, os
gc.disable()
from beamloom.runtime.start_bundle import remove_bundle, install_bundle
bundle = install_bundle(os.environ["PYTHONPATH"] + "/start.bundle")
"""
PLACEHOLDERS = f"{BUNDLE}from beamloom.runtime.deferred_modules import deferred\n"
MAIN = f"{PLACEHOLDERS}with deferred():\n    import beamloom.runtime.token_node_main as main\n"
LOOP = f"{MAIN}with deferred(), main._no_collections(), main._missing('ssl'):\n    import asyncio\n"
NODE = f"{MAIN}with main._no_collections():\n    main.load_node()\nremove_bundle(bundle)\n"
NODE_BY_MODULES = """
import runpy  # as `python3 -m` does
import beamloom.runtime.token_node_main as main
with main._no_collections():
    main.load_node()
"""
"""The start of a tree without a bundle."""
PEERS = (
    f"{NODE}import asyncio\n"
    "from beamloom.runtime.gradual_import import import_gradually\n"
    "asyncio.run(import_gradually())"
)


class Stage(NamedTuple):
    """A part of the start, the program up to its end, and the folder of the installed modules."""

    name: str
    program: str
    installed: Path = INSTALLED


STAGES = (
    Stage("interpreter", "pass"),
    Stage("file of all modules", BUNDLE),
    Stage("placeholders", PLACEHOLDERS),
    Stage("first module: settings, packets' socket", MAIN),
    Stage("event loop", LOOP),
    Stage("node", NODE),
    Stage("peers' exchange, after the node is ready", PEERS),
)


def node_stage(folder: Path) -> Stage:
    """Return a stage that loads the node of another tree."""
    has_bundle = (folder / "start.bundle").exists()
    return Stage(f"(node of {folder})", NODE if has_bundle else NODE_BY_MODULES, folder)


def main() -> None:
    """Measure the stages and print the table."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--runs", type=int, default=40)
    parser.add_argument("--against", type=Path, action="append", default=[])
    options = parser.parse_args()
    stages = (*STAGES, *(node_stage(folder.resolve()) for folder in options.against))
    rounds = [[processor_seconds(stage) for stage in stages] for _ in range(options.runs)]
    print("| part | its own, ms | sum, ms | least sum, ms |")
    print("| --- | --- | --- | --- |")
    before = 0.0
    for stage, sums in zip(stages, zip(*rounds, strict=True), strict=True):
        total = MILLISECONDS * statistics.median(sums)
        least = MILLISECONDS * min(sums)
        own = f"{total - before:.0f}" if stage in STAGES else ""
        print(f"| {stage.name} | {own} | {total:.0f} | {least:.0f} |")
        before = total


def processor_seconds(stage: Stage) -> float:
    """Return the processor time of one run of a stage's program, in seconds."""
    began = _children_seconds()
    subprocess.run(
        ["python3", "-S", "-c", stage.program],
        env={**os.environ, "PYTHONPATH": str(stage.installed)},
        check=True,
    )
    return _children_seconds() - began


def _children_seconds() -> float:
    usage = resource.getrusage(resource.RUSAGE_CHILDREN)
    return usage.ru_utime + usage.ru_stime


if __name__ == "__main__":
    main()
