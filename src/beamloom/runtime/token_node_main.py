"""The program that the platform starts: `python3 -m beamloom.runtime.token_node_main`."""

from __future__ import annotations

import asyncio
import functools
import sys

from beamloom.platform.errors import PlatformSettingsError
from beamloom.platform.node_settings import read_settings, settings_path
from beamloom.runtime.token_node import TokenNode

EXIT_SETTINGS = 2


def main() -> int:
    """Run one node; return the exit status."""
    try:
        asyncio.run(_run())
    except PlatformSettingsError as error:
        print(error, file=sys.stderr)
        return EXIT_SETTINGS
    return 0


async def _run() -> None:
    node = TokenNode(functools.partial(read_settings, settings_path()))
    await node.run()


if __name__ == "__main__":
    sys.exit(main())
