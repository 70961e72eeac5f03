"""Imports modules one by one while packets are forwarded.

The modules for the exchange with peers are imported after a node is ready. Importing them in one
step would block the event loop for long on a small machine.
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
    "beamloom.protocol.opening_messages",
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
    "beamloom.replication.message_checks",
    "beamloom.replication.message_delays",
    "beamloom.replication.opening_queries",
    "beamloom.replication.view_exchange",
    "beamloom.replication.fleet_share",
)
"""Modules for the exchange with peers, each after its dependencies, so that each step is short."""


async def import_gradually(names: Iterable[str] = PEER_MODULES) -> None:
    """Import modules and yield to the event loop after each."""
    for name in names:
        importlib.import_module(name)
        await asyncio.sleep(0)
