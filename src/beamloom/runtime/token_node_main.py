"""The program that the platform starts: `python3 -m beamloom.runtime.token_node_main`."""

from __future__ import annotations

import asyncio
import sys

from beamloom.platform.errors import PlatformSettingsError
from beamloom.platform.node_settings import read_settings, settings_path
from beamloom.runtime.token_node import TokenNode
from beamloom.settings.token_node import TokenNodeSettings

EXIT_SETTINGS = 2


def main() -> int:
    """Run one node; return the exit status."""
    try:
        settings = read_settings(settings_path())
    except PlatformSettingsError as error:
        print(error, file=sys.stderr)
        return EXIT_SETTINGS
    asyncio.run(_run(settings))
    return 0


async def _run(settings: TokenNodeSettings) -> None:
    await TokenNode(settings).run()


if __name__ == "__main__":
    sys.exit(main())
