"""Show that the soak fails: run it against nodes that break one promise each, on purpose.

The program that a soak installs in its temporary folder is patched there, and its modules come from
files of their own; nothing of it reaches the product. Exit status 1 where a broken build was not
noticed.

    .venv/bin/python tools/soak_broken_builds.py [NAME...]
"""

from __future__ import annotations

import asyncio
import sys
import tempfile
from functools import partial
from pathlib import Path
from typing import NamedTuple
from unittest import mock

from beamloom.runtime.start import BUNDLE
from beamloom.soak.program import NodeProgram, install_program
from beamloom.soak.run import SoakOptions, run_soak

SECONDS = 75.0
NODES = 5
SEED = 3
HEAD = """
import importlib.abc, importlib.util, sys

def patch(name, change):
    class Finder(importlib.abc.MetaPathFinder):
        def find_spec(self, wanted, path, target=None):
            if wanted != name:
                return None
            sys.meta_path.remove(self)
            spec = importlib.util.find_spec(name)
            load = spec.loader.exec_module
            def run(module):
                load(module)
                change(module)
            spec.loader.exec_module = run
            return spec
    sys.meta_path.insert(0, Finder())
"""


class BrokenBuild(NamedTuple):
    """A patch of the nodes and the rules of which one must be seen to break.

    Only faults of `kinds` strike, beside planned changes; all kinds where none is named.
    """

    rules: frozenset[str]
    patch: str
    kinds: frozenset[str] = frozenset()


TIMELY = frozenset({"drain", "evacuation", "configuration"})
"""What nodes in touch owe within a bound; which of them shows is a matter of chance."""
PATIENT_CALLS = """
def change(module):
    call = module.HttpConnection.call
    def patient(connection, method, path, limits, *rest, **named):
        limits = limits._replace(deadline_seconds=3600.0, progress_seconds=3600.0)
        return call(connection, method, path, limits, *rest, **named)
    module.HttpConnection.call = patient
patch("beamloom.runtime.http_client", change)
"""
NEVER_STALE = """
def trust(module):
    module.StoreCallSchedule._is_stale = lambda *_: False
patch("beamloom.replication.store_call_schedule", trust)
"""
FIRST_READERS_ONLY = """
def change(module):
    advance = module.ReaderRole.advance
    def fixed(role, now, *, joined=True):
        if now - role.__dict__.setdefault("first_at", now) > 4.0:
            return False
        return advance(role, now, joined=joined)
    module.ReaderRole.advance = fixed
patch("beamloom.replication.reader_role", change)
"""
LARGE_READERS_ONLY = """
def change(module):
    advance = module.ReaderRole.advance
    def ranked(role, now, *, joined=True):
        return role.reader_id < "6" and advance(role, now, joined=joined)
    module.ReaderRole.advance = ranked
patch("beamloom.replication.reader_role", change)
"""
DEAF_TO_STOPS = """
import signal
take = signal.signal
signal.signal = lambda number, act: take(number, signal.SIG_IGN if number == 15 else act)
"""
BROKEN_BUILDS = {
    "drain": BrokenBuild(
        frozenset({"drain"}),
        """
def change(module):
    update = module.BackendTable.update
    def deaf(table, record, revision, now):
        return record.state.value != "draining" and update(table, record, revision, now)
    module.BackendTable.update = deaf
    module.BackendTable.remove = lambda *_: None
patch("beamloom.routing.tokens.backend_table", change)
""",
    ),
    "evacuation": BrokenBuild(
        frozenset({"evacuation"}),
        """
def change(module):
    module.BackendTable.evacuate = lambda *_: None
patch("beamloom.routing.tokens.backend_table", change)
""",
    ),
    "configuration": BrokenBuild(
        frozenset({"configuration"}),
        """
def change(module):
    put = module.RouteTable.activate
    module.RouteTable.activate = lambda table, new: table.version < 0 and put(table, new)
patch("beamloom.routing.tokens.route_table", change)
""",
    ),
    "flow": BrokenBuild(
        frozenset({"flow"}),
        """
def change(module):
    handle = module.TokenRouter.handle
    def reset(router, packet, now):
        command = handle(router, packet, now)
        plain = packet.kind is module.PacketKind.DATA and not packet.data_length
        if plain and packet.flow[5] % 16 == 7:
            return module.ResetFlow(packet.flow, module.RefusalReason.NO_BACKEND)
        return command
    module.TokenRouter.handle = reset
patch("beamloom.routing.tokens.router", change)
""",
    ),
    "unasked": BrokenBuild(
        frozenset({"unasked"}),
        """
def change(module):
    encode = module.encode_forward
    def alter(command):
        data = encode(command)
        return data[:-1] + b"!" if command.packet.data_length else data
    module.encode_forward = alter
patch("beamloom.platform.packet_layout", change)
""",
    ),
    "process": BrokenBuild(
        frozenset({"process"}),
        """
import os, threading
threading.Timer(20.0, lambda: os._exit(9)).start()
""",
    ),
    "silence": BrokenBuild(TIMELY, NEVER_STALE + PATIENT_CALLS, frozenset({"silence_all"})),
    "turned_away": BrokenBuild(
        TIMELY,
        NEVER_STALE + FIRST_READERS_ONLY,
        frozenset({"some_refused", "some_throttled", "some_unanswered"}),
    ),
    "capacities": BrokenBuild(
        TIMELY, NEVER_STALE + LARGE_READERS_ONLY, frozenset({"large_refused"})
    ),
    "roll": BrokenBuild(frozenset({"stop"}), DEAF_TO_STOPS, frozenset({"roll"})),
    "cold": BrokenBuild(
        frozenset({"cold"}),
        """
def change(module):
    module.ColdStartGate.allows = lambda *_: True
patch("beamloom.routing.tokens.cold_starts", change)
""",
        frozenset({"release"}),
    ),
}


def main(names: list[str]) -> int:
    """Run one soak for each broken build, or each named one; print what was noticed."""
    missed = 0
    for name in names or BROKEN_BUILDS:
        build = BROKEN_BUILDS[name]
        seen = _rules_broken(build)
        noticed = bool(build.rules & seen)
        missed += not noticed
        print(f"{name:14} {'noticed' if noticed else 'MISSED'}  {sorted(seen)}", flush=True)
    return 1 if missed else 0


def _rules_broken(build: BrokenBuild) -> set[str]:
    with tempfile.TemporaryDirectory(prefix="broken-soak-") as folder:
        options = SoakOptions(SEED, SECONDS, NODES, Path(folder), build.kinds)
        install = partial(_install_broken, build.patch)
        with mock.patch("beamloom.soak.harness.install_program", install):
            result = asyncio.run(run_soak(options))
    return {violation.rule for violation in result.violations}


def _install_broken(patch: str, folder: Path) -> NodeProgram:
    """Install the program, with a patch before its first line."""
    program = install_program(folder)
    start = Path(program.command[-1])
    start.write_text(HEAD + patch + start.read_text())
    (folder / "installed" / BUNDLE).unlink()  # its finder would be asked before the patch's
    return program


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
