"""Print the processor time of a node's start, split by part, in milliseconds.

Each stage runs as a process of its own, from what `deploy/build.sh` has installed, and does what
the stages before it do and one thing more; the difference of medians is what that costs. Stages
take turns, so that what else the machine does meets all of them. Lists and the key that a node then
reads from the store are not among them.

    sh deploy/build.sh && python3 tools/start_cost.py
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
MAIN = "import beamloom.runtime.token_node_main as main"
MILLISECONDS = 1000


class Stage(NamedTuple):
    """A part of a start, and a program that ends with it."""

    name: str
    program: str


STAGES = (
    Stage("interpreter", "pass"),
    Stage("first module: settings, packets' socket", MAIN),
    Stage(
        "event loop",
        f"{MAIN}\nwith main._no_collections(), main._missing('ssl'), main.deferred():\n"
        "    import asyncio",
    ),
    Stage("node", f"{MAIN}\nwith main._no_collections():\n    main.load_node()"),
    Stage(
        "peers' exchange, after the node is ready",
        f"{MAIN}\nwith main._no_collections():\n    main.load_node()\n"
        "import asyncio\n"
        "from beamloom.runtime.gradual_import import import_gradually\n"
        "asyncio.run(import_gradually())",
    ),
)


def main() -> None:
    """Measure and print."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--runs", type=int, default=40)
    runs = parser.parse_args().runs
    rounds = [[processor_seconds(stage.program) for stage in STAGES] for _ in range(runs)]
    print("| part | its own, ms | sum, ms | least sum, ms |")
    print("| --- | --- | --- | --- |")
    before = 0.0
    for stage, sums in zip(STAGES, zip(*rounds, strict=True), strict=True):
        total = MILLISECONDS * statistics.median(sums)
        least = MILLISECONDS * min(sums)
        print(f"| {stage.name} | {total - before:.0f} | {total:.0f} | {least:.0f} |")
        before = total


def processor_seconds(program: str) -> float:
    """Return the processor time of one run of a program, in seconds."""
    began = _children_seconds()
    subprocess.run(
        ["python3", "-S", "-c", program],
        env={**os.environ, "PYTHONPATH": str(INSTALLED)},
        check=True,
    )
    return _children_seconds() - began


def _children_seconds() -> float:
    usage = resource.getrusage(resource.RUSAGE_CHILDREN)
    return usage.ru_utime + usage.ru_stime


if __name__ == "__main__":
    main()
