"""The program that the platform runs: `python3 -S target/deps/beamloom/runtime/start.py`.

It is run as a file to avoid the modules that `python3 -m` imports, which take a tenth of a start.
"""

import _signal  # type: ignore[import-not-found]

if __name__ == "__main__":
    # As `signal_mask.block_signals`, before any other module of the node is imported.
    _signal.pthread_sigmask(_signal.SIG_BLOCK, (_signal.SIGTERM, _signal.SIGINT, _signal.SIGHUP))

import gc
import os
import sys

BUNDLE = "start.bundle"
"""Name of the bundle in the folder that modules are imported from; deploy/build.sh creates it."""
LEVELS_UP = 3
"""Depth of this file below the folder that modules are imported from."""


def load() -> None:
    """Import only the modules that a node needs before it is ready."""
    from beamloom.runtime.deferred_modules import deferred

    with deferred():
        from beamloom.runtime.token_node_main import load_node
    load_node()


def main() -> int:
    """Run one node from the installed files; return the exit status."""
    gc.disable()
    folder = os.path.abspath(__file__).rsplit("/", LEVELS_UP)[0]
    sys.path[0] = folder  # this file's own folder would shadow modules of the same names
    from beamloom.runtime.start_bundle import install_bundle, remove_bundle

    bundle = install_bundle(f"{folder}/{BUNDLE}")
    from beamloom.runtime.deferred_modules import deferred

    with deferred():
        from beamloom.runtime.token_node_main import main as run_node
    return run_node(lambda: remove_bundle(bundle))


if __name__ == "__main__":
    sys.exit(main())
