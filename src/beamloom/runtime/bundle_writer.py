"""Writes the bundle of a node's startup modules: `python3 -m beamloom.runtime.bundle_writer FILE`.

FILE must be in the folder of the installed modules. Modules from elsewhere, except the standard
library, are left out. The modules are listed by a child process that imports
a node without a bundle.
"""

from __future__ import annotations

import importlib
import marshal
import subprocess
import sys
from pathlib import Path
from typing import TYPE_CHECKING

from beamloom.runtime.start_bundle import HEADER_LENGTH_BYTES, library_folder

if TYPE_CHECKING:
    from beamloom.runtime.start_bundle import Index

PROGRAM_MODULE = "beamloom.runtime.token_node_main"
LIST_MODULES = """
import sys
import beamloom.runtime.start_bundle  # is imported before the bundle can be read
before = set(sys.modules)
from beamloom.runtime.start import load
load()
print(*(name for name in sys.modules if name not in before))
"""


def list_startup_modules() -> list[str]:
    """Return the names of all modules that a start imports after `start_bundle`."""
    result = subprocess.run(
        [sys.executable, "-S", "-c", LIST_MODULES], capture_output=True, text=True, check=True
    )
    return result.stdout.split()


def write_bundle(path: Path) -> None:
    """Write a bundle for this interpreter; raises OSError, ValueError or CalledProcessError."""
    folder, library = path.absolute().parent, Path(library_folder())
    index: Index = {}
    code = b""
    for name in list_startup_modules():
        spec = None if name == "__main__" else importlib.import_module(name).__spec__
        if spec is None or spec.origin is None or not spec.has_location:
            continue  # built-in and frozen modules are imported without reading a file
        file = Path(spec.origin)
        root = folder if file.is_relative_to(folder) else library
        if not file.is_relative_to(root):
            continue
        compiled = b""
        if file.suffix == ".py":
            source = file.read_bytes()
            compiled = marshal.dumps(compile(source, spec.origin, "exec", dont_inherit=True))
        is_package = spec.submodule_search_locations is not None
        relative_path = str(file.relative_to(root))
        index[name] = (len(code), len(compiled), relative_path, root is library, is_package)
        code += compiled
    if PROGRAM_MODULE not in index:
        raise ValueError(f"{PROGRAM_MODULE} is not in {folder}; write the bundle where it lies")
    header = marshal.dumps((sys.version, len(code), index))
    path.write_bytes(len(header).to_bytes(HEADER_LENGTH_BYTES, "little") + header + code)


if __name__ == "__main__":
    write_bundle(Path(sys.argv[1]))
