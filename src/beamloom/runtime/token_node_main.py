"""The program of a token node: `python3 -m beamloom.runtime.token_node_main`.

The platform starts it by way of start.py, which takes less time.
"""

from __future__ import annotations

from beamloom.runtime.signal_mask import block_signals

if __name__ == "__main__":
    block_signals()  # before what takes the most time of a start

import functools
import gc
import os
import sys
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from typing import TYPE_CHECKING

from beamloom.platform.errors import PlatformSettingsError
from beamloom.platform.node_settings import read_settings, settings_path
from beamloom.runtime import IMPORTED_AT_PROCESSOR_SECONDS, IMPORTED_AT_SECONDS
from beamloom.runtime.bound_socket import bind_datagrams
from beamloom.runtime.deferred_modules import deferred
from beamloom.runtime.start_timeline import begin_timeline, note_now
from beamloom.settings.mechanisms import UnknownMechanismError, read_mechanisms

if TYPE_CHECKING:
    from beamloom.runtime.token_node import TokenNode

EXIT_SETTINGS = 2
FULL_COLLECTION_THRESHOLD = 1000
"""Collections of the middle generation before a full one. A full one looks through all open flows,
and packets wait meanwhile; next to nothing that a node makes is freed by it.
"""


def main(on_loaded: Callable[[], None] = lambda: None) -> int:
    """Run one node; return the exit status. `on_loaded` is called when all is imported.

    The packets' socket is bound before most modules are imported: what arrives meanwhile waits
    there and is answered as soon as the node is ready.
    """
    timeline = begin_timeline(IMPORTED_AT_SECONDS, IMPORTED_AT_PROCESSOR_SECONDS)
    read = functools.partial(read_settings, settings_path())
    try:
        mechanisms = read_mechanisms(os.environ)
        settings = read()
        note_now(timeline, "settings")
        packets = bind_datagrams(settings.packets)
        note_now(timeline, "socket")
    except (PlatformSettingsError, UnknownMechanismError, OSError) as error:
        print(error, file=sys.stderr)
        return EXIT_SETTINGS
    with _no_collections():
        token_node = load_node()
        on_loaded()
    note_now(timeline, "modules")
    import asyncio

    async def run() -> None:
        await token_node(settings, read, packets, mechanisms, timeline).run()

    asyncio.run(run())
    return 0


def load_node() -> type[TokenNode]:
    """Import all that a node needs before it is ready, and nothing else."""
    with deferred():
        with _missing("ssl"):
            import asyncio  # noqa: F401

        from beamloom.runtime.token_node import TokenNode

    return TokenNode


@contextmanager
def _missing(module: str) -> Iterator[None]:
    """Let a module be missing: asyncio does without `ssl`, which takes a tenth of a start."""
    sys.modules[module] = None  # type: ignore[assignment]
    try:
        yield
    finally:
        del sys.modules[module]


@contextmanager
def _no_collections() -> Iterator[None]:
    """Let no garbage be collected: what imports make stays, and is not looked through again."""
    gc.disable()
    try:
        yield
    finally:
        gc.freeze()
        collect_rarely()
        gc.enable()


def collect_rarely() -> None:
    """Let collections look through all objects only after very many of the younger ones."""
    young, middle, _ = gc.get_threshold()
    gc.set_threshold(young, middle, FULL_COLLECTION_THRESHOLD)


if __name__ == "__main__":
    sys.exit(main())
