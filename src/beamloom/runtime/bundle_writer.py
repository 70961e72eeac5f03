"""Makes the bundle of a start: `python3 -m beamloom.runtime.bundle_writer FILE`.

FILE lies in the folder that holds the installed modules; others that are neither there nor in the
standard library stay out of it. Which modules a start imports is found by a start without a bundle,
in a process of its own.
"""

from __future__ import annotations

import importlib
import marshal
import subprocess
import sys
from pathlib import Path
from typing import TYPE_CHECKING

from beamloom.runtime.start_bundle import LENGTH_BYTES, library_folder

if TYPE_CHECKING:
    from beamloom.runtime.start_bundle import Index

PROGRAM = "beamloom.runtime.token_node_main"
LIST_MODULES = """
import sys
import beamloom.runtime.start_bundle  # what is loaded before the bundle is no use in it
before = set(sys.modules)
from beamloom.runtime.start import load
load()
print(*(name for name in sys.modules if name not in before))
"""


def modules_of_a_start() -> list[str]:
    """Return the names of all modules that a start imports once it can read a bundle."""
    run = subprocess.run(
        [sys.executable, "-S", "-c", LIST_MODULES], capture_output=True, text=True, check=True
    )
    return run.stdout.split()


def write_bundle(path: Path) -> None:
    """Write the bundle for this interpreter; raises OSError, ValueError or CalledProcessError."""
    folder, library = path.absolute().parent, Path(library_folder())
    index: Index = {}
    code = b""
    for name in modules_of_a_start():
        spec = None if name == "__main__" else importlib.import_module(name).__spec__
        if spec is None or spec.origin is None or not spec.has_location:
            continue  # built in or frozen: its own way is the shortest
        file = Path(spec.origin)
        root = folder if file.is_relative_to(folder) else library
        if not file.is_relative_to(root):
            continue
        compiled = b""
        if file.suffix == ".py":
            source = file.read_bytes()
            compiled = marshal.dumps(compile(source, spec.origin, "exec", dont_inherit=True))
        is_package = spec.submodule_search_locations is not None
        below = str(file.relative_to(root))
        index[name] = (len(code), len(compiled), below, root is library, is_package)
        code += compiled
    if PROGRAM not in index:
        raise ValueError(f"{PROGRAM} is not in {folder}; write the bundle where it lies")
    head = marshal.dumps((sys.version, len(code), index))
    path.write_bytes(len(head).to_bytes(LENGTH_BYTES, "little") + head + code)


if __name__ == "__main__":
    write_bundle(Path(sys.argv[1]))
