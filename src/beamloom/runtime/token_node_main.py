"""The program that the platform starts: `python3 -m beamloom.runtime.token_node_main`."""

from __future__ import annotations

import functools
import sys

from beamloom.platform.errors import PlatformSettingsError
from beamloom.platform.node_settings import read_settings, settings_path
from beamloom.runtime.bound_socket import bind_datagrams

EXIT_SETTINGS = 2


def main() -> int:
    """Run one node; return the exit status.

    The packets' socket is bound before most modules are imported: what arrives meanwhile waits
    there and is answered as soon as the node is ready.
    """
    read = functools.partial(read_settings, settings_path())
    try:
        settings = read()
        packets = bind_datagrams(settings.packets)
    except (PlatformSettingsError, OSError) as error:
        print(error, file=sys.stderr)
        return EXIT_SETTINGS
    import asyncio

    from beamloom.runtime.token_node import TokenNode

    async def run() -> None:
        await TokenNode(settings, read, packets).run()

    asyncio.run(run())
    return 0


if __name__ == "__main__":
    sys.exit(main())
