"""Show that the soak fails: run it against nodes that break one promise each, on purpose.

A `sitecustomize` module in a temporary folder patches the nodes' processes; nothing of it reaches
the product. Exit status 1 where a broken build was not noticed.

    .venv/bin/python tools/soak_broken_builds.py
"""

from __future__ import annotations

import asyncio
import os
import sys
import tempfile
from pathlib import Path

from beamloom.soak.run import SoakOptions, run_soak

SECONDS = 75.0
NODES = 5
SEED = 3
SOURCES = str(Path(__file__).resolve().parents[1] / "src")
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
BROKEN_BUILDS = {
    "drain": """
def change(module):
    update = module.BackendTable.update
    def deaf(table, record, revision, now):
        return record.state.value != "draining" and update(table, record, revision, now)
    module.BackendTable.update = deaf
    module.BackendTable.remove = lambda *_: None
patch("beamloom.routing.tokens.backend_table", change)
""",
    "evacuation": """
def change(module):
    module.BackendTable.evacuate = lambda *_: None
patch("beamloom.routing.tokens.backend_table", change)
""",
    "configuration": """
def change(module):
    put = module.RouteTable.put_in_force
    module.RouteTable.put_in_force = lambda table, new: table.version < 0 and put(table, new)
patch("beamloom.routing.tokens.route_table", change)
""",
    "flow": """
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
    "unasked": """
def change(module):
    encode = module.encode_forward
    def alter(command):
        data = encode(command)
        return data[:-1] + b"!" if command.packet.data_length else data
    module.encode_forward = alter
patch("beamloom.platform.packet_layout", change)
""",
    "process": """
import os, threading
threading.Timer(20.0, lambda: os._exit(9)).start()
""",
}


def main() -> int:
    """Run one soak for each broken build; print what was noticed."""
    missed = 0
    for rule, text in BROKEN_BUILDS.items():
        with tempfile.TemporaryDirectory(prefix="broken-soak-") as folder:
            (Path(folder) / "sitecustomize.py").write_text(HEAD + text)
            os.environ["PYTHONPATH"] = os.pathsep.join((folder, SOURCES))
            result = asyncio.run(run_soak(SoakOptions(SEED, SECONDS, NODES, Path(folder))))
        seen = {violation.rule for violation in result.violations}
        noticed = rule in seen
        missed += not noticed
        print(f"{rule:14} {'noticed' if noticed else 'MISSED'}  {sorted(seen)}", flush=True)
    return 1 if missed else 0


if __name__ == "__main__":
    sys.exit(main())
