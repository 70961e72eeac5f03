"""The program of a token node: `python3 -m beamloom.runtime.token_node_main`.

The platform runs start.py instead, which starts faster.
"""

from __future__ import annotations

from beamloom.runtime.signal_mask import block_signals

if __name__ == "__main__":
    block_signals()  # before the imports, which take most of a start

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
from beamloom.runtime.bound_socket import bind_datagram_socket
from beamloom.runtime.deferred_modules import deferred
from beamloom.runtime.start_timeline import begin_timeline, record_now
from beamloom.settings.mechanisms import UnknownMechanismError, read_mechanisms

if TYPE_CHECKING:
    from beamloom.runtime.token_node import TokenNode

EXIT_SETTINGS = 2
FULL_COLLECTION_THRESHOLD = 1000
"""Collections of the middle generation between full ones. A full collection traverses all open
flows and delays packets meanwhile, and frees almost nothing.
"""


def main(on_loaded: Callable[[], None] = lambda: None) -> int:
    """Run one node; return the exit status. `on_loaded` is called after the imports.

    The packet socket is bound before most modules are imported: its buffer holds the packets that
    arrive until the node is ready.
    """
    timeline = begin_timeline(IMPORTED_AT_SECONDS, IMPORTED_AT_PROCESSOR_SECONDS)
    read = functools.partial(read_settings, settings_path())
    try:
        mechanisms = read_mechanisms(os.environ)
        settings = read()
        record_now(timeline, "settings")
        packets = bind_datagram_socket(settings.packets)
        record_now(timeline, "socket")
    except (PlatformSettingsError, UnknownMechanismError, OSError) as error:
        print(error, file=sys.stderr)
        return EXIT_SETTINGS
    with _no_collections():
        token_node = load_node()
        on_loaded()
    record_now(timeline, "modules")
    import asyncio

    async def run() -> None:
        await token_node(settings, read, packets, mechanisms, timeline).run()

    asyncio.run(run())
    return 0


def load_node() -> type[TokenNode]:
    """Import only the modules that a node needs before it is ready; return the node's class."""
    with deferred():
        with _missing("ssl"):
            import asyncio  # noqa: F401

        from beamloom.runtime.token_node import TokenNode

    return TokenNode


@contextmanager
def _missing(module: str) -> Iterator[None]:
    """Make imports of a module fail: asyncio works without `ssl`, which is slow to import."""
    sys.modules[module] = None  # type: ignore[assignment]
    try:
        yield
    finally:
        del sys.modules[module]


@contextmanager
def _no_collections() -> Iterator[None]:
    """Disable garbage collection, then exempt all existing objects from later collections."""
    gc.disable()
    try:
        yield
    finally:
        gc.freeze()
        collect_rarely()
        gc.enable()


def collect_rarely() -> None:
    """Run a full collection only after FULL_COLLECTION_THRESHOLD of the middle generation."""
    young, middle, _ = gc.get_threshold()
    gc.set_threshold(young, middle, FULL_COLLECTION_THRESHOLD)


if __name__ == "__main__":
    sys.exit(main())
