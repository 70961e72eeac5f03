"""Imports modules one by one while packets are forwarded.

What the exchange with other nodes takes is imported when a node is ready already. In one piece
that stops a small machine for a quarter of a second, just when the clients of a fleet that has been
killed come back.
"""

from __future__ import annotations

import asyncio
import importlib
from collections.abc import Iterable

PEER_MODULES = (
    "re",
    "tokenize",
    "linecache",
    "ast",
    "dis",
    "inspect",
    "dataclasses",
    "ipaddress",
    "typing",
    "beamloom.model.addresses",
    "beamloom.model.zones",
    "beamloom.model.machines",
    "beamloom.protocol.messages",
    "hashlib",
    "hmac",
    "datetime",
    "threading",
    "cbor2",
    "beamloom.protocol.codec",
    "beamloom.protocol.replay",
    "beamloom.protocol.secret_messages",
    "beamloom.protocol.view_messages",
    "socket",
    "beamloom.runtime.peer_link",
    "beamloom.replication.secret_exchange",
    "beamloom.replication.shared_view",
    "beamloom.node.view_codecs",
    "beamloom.replication.peer_table",
    "beamloom.replication.backend_reports",
    "beamloom.replication.answer_budget",
    "beamloom.replication.pull_choice",
    "beamloom.replication.view_pulls",
    "beamloom.replication.view_exchange",
    "beamloom.replication.fleet_share",
)
"""What joining the peers imports, each after what it needs itself, so that each step is short."""


async def import_gradually(names: Iterable[str] = PEER_MODULES) -> None:
    """Import modules; between any two the loop takes what has arrived."""
    for name in names:
        importlib.import_module(name)
        await asyncio.sleep(0)
