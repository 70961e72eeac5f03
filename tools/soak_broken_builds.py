"""Check that the soak detects broken builds: run it on nodes that each break one rule.

The patch is applied to the program in the soak's temporary folder, where modules are imported from
their files instead of the bundle. The exit status is 1 if a broken build was not detected.

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
PATCH_FUNCTION = """
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
    """A patch of the nodes and the rules, of which the soak must report at least one as broken.

    With `kinds`, only these kinds of fault are injected, besides planned changes.
    """

    rules: frozenset[str]
    patch: str
    kinds: frozenset[str] = frozenset()


TIME_LIMIT_RULES = frozenset({"drain", "evacuation", "configuration"})
"""Rules with a time limit; the random faults determine which of them is broken."""
LONG_CALL_TIMEOUTS = """
def change(module):
    call = module.HttpConnection.call
    def call_for_an_hour(connection, method, path, limits, *rest, **named):
        limits = limits._replace(deadline_seconds=3600.0, progress_seconds=3600.0)
        return call(connection, method, path, limits, *rest, **named)
    module.HttpConnection.call = call_for_an_hour
patch("beamloom.runtime.http_client", change)
"""
NEVER_STALE = """
def change(module):
    module.StoreCallSchedule._is_stale = lambda *_: False
patch("beamloom.replication.store_call_schedule", change)
"""
FIRST_READERS_ONLY = """
def change(module):
    advance = module.ReaderRole.advance
    def advance_at_first(role, now, *, joined=True):
        if now - role.__dict__.setdefault("first_at", now) > 4.0:
            return False
        return advance(role, now, joined=joined)
    module.ReaderRole.advance = advance_at_first
patch("beamloom.replication.reader_role", change)
"""
LARGE_READERS_ONLY = """
def change(module):
    advance = module.ReaderRole.advance
    def advance_if_large(role, now, *, joined=True):
        return role.reader_id < "6" and advance(role, now, joined=joined)
    module.ReaderRole.advance = advance_if_large
patch("beamloom.replication.reader_role", change)
"""
IGNORE_SIGTERM = """
import signal
set_handler = signal.signal
signal.signal = lambda number, act: set_handler(number, signal.SIG_IGN if number == 15 else act)
"""
BROKEN_BUILDS = {
    "drain": BrokenBuild(
        frozenset({"drain"}),
        """
def change(module):
    update = module.BackendTable.update
    def ignore_draining(table, record, revision, now):
        return record.state.value != "draining" and update(table, record, revision, now)
    module.BackendTable.update = ignore_draining
    module.BackendTable.remove = lambda *_, **__: None
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
    "copies": BrokenBuild(
        frozenset({"flow"}),
        """
def change(module):
    module.TokenRouter._may_move = lambda router, flow: not flow.opened
    module._has_wrong_token = lambda *_: False
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
    "damaged": BrokenBuild(
        frozenset({"process"}),
        """
def change(module):
    parse = module.parse_answer
    def fail(body, member, entry):
        try:
            module.json.loads(body.decode())
        except (ValueError, RecursionError):
            raise SystemError("an answer that is not JSON")
        return parse(body, member, entry)
    module.parse_answer = fail
patch("beamloom.replication.object_answers", change)
""",
    ),
    "silence": BrokenBuild(
        TIME_LIMIT_RULES, NEVER_STALE + LONG_CALL_TIMEOUTS, frozenset({"silence_all"})
    ),
    "turned_away": BrokenBuild(
        TIME_LIMIT_RULES,
        NEVER_STALE + FIRST_READERS_ONLY,
        frozenset({"some_refused", "some_throttled", "some_unanswered"}),
    ),
    "capacities": BrokenBuild(
        TIME_LIMIT_RULES, NEVER_STALE + LARGE_READERS_ONLY, frozenset({"large_refused"})
    ),
    "roll": BrokenBuild(frozenset({"stop"}), IGNORE_SIGTERM, frozenset({"roll"})),
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
    """Run one soak for each broken build, or for the named ones; print the rules reported."""
    undetected = 0
    for name in names or BROKEN_BUILDS:
        build = BROKEN_BUILDS[name]
        seen = _rules_broken(build)
        detected = bool(build.rules & seen)
        undetected += not detected
        print(f"{name:14} {'noticed' if detected else 'MISSED'}  {sorted(seen)}", flush=True)
    return 1 if undetected else 0


def _rules_broken(build: BrokenBuild) -> set[str]:
    with tempfile.TemporaryDirectory(prefix="broken-soak-") as folder:
        options = SoakOptions(SEED, SECONDS, NODES, Path(folder), build.kinds)
        install = partial(_install_broken, build.patch)
        with mock.patch("beamloom.soak.harness.install_program", install):
            result = asyncio.run(run_soak(options))
    return {violation.rule for violation in result.violations}


def _install_broken(patch: str, folder: Path) -> NodeProgram:
    """Install the program with the patch before its first line."""
    program = install_program(folder)
    start = Path(program.command[-1])
    start.write_text(PATCH_FUNCTION + patch + start.read_text())
    (folder / "installed" / BUNDLE).unlink()  # its finder would come before that of the patch
    return program


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
