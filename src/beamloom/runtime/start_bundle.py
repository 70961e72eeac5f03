"""All modules of a start from one file, which `bundle_writer` makes when a node is built.

A module in a file of its own takes some ten system calls to find and to read; a start has a hundred
of them. The bundle holds their code as the interpreter that made it compiles it. Another
interpreter, or a file that is not whole, is told and passed over: modules then come from where they
were installed. Submodules that are not in the bundle are found there in any case, so the bundle
lies in the folder that the installed modules lie in, wherever that is when a node starts.

This module is read from a file of its own, and imports as little as it can.
"""

import marshal
import os
import sys
from _frozen_importlib import ModuleSpec
from _frozen_importlib_external import ExtensionFileLoader, spec_from_file_location

TYPE_CHECKING = False
if TYPE_CHECKING:
    from collections.abc import Sequence
    from types import ModuleType

    Index = dict[str, tuple[int, int, str, bool, bool]]

LENGTH_BYTES = 8
"""At the beginning of the file: the length of the head that follows."""


class BundleFinder:
    """Finds modules in a bundle.

    `index` has offset and length of each one's code, its file below the folder of the standard
    library or of the bundle, whether it is of the library, and whether it is a package. Of a module
    in C it has the file alone, so that no folder is looked through for it.
    """

    def __init__(self, index: "Index", code: memoryview, folder: str) -> None:
        self._index = index
        self._code = code
        self._folder = folder
        self._library = library_folder()

    def find_spec(
        self,
        name: str,
        _path: "Sequence[str] | None" = None,
        _target: "ModuleType | None" = None,
    ) -> ModuleSpec | None:
        """Return the specification of a module that the bundle holds."""
        entry = self._index.get(name)
        if entry is None:
            return None
        _, length, file, of_library, is_package = entry
        origin = f"{self._library if of_library else self._folder}/{file}"
        if not length:
            loader = ExtensionFileLoader(name, origin)
            return spec_from_file_location(name, origin, loader=loader)
        spec = ModuleSpec(name, self, origin=origin, is_package=is_package)  # type: ignore[arg-type]
        spec.has_location = True
        if spec.submodule_search_locations is not None:
            spec.submodule_search_locations.append(origin.rpartition("/")[0])
        return spec

    def forget(self) -> None:
        """Let go of what was read: the modules' specifications keep this finder for good."""
        self._index = {}
        self._code = memoryview(b"")

    def create_module(self, _spec: ModuleSpec) -> None:
        """Let the import system make the module."""

    def exec_module(self, module: "ModuleType") -> None:
        """Run a module's code."""
        offset, length, *_ = self._index[module.__name__]
        exec(marshal.loads(self._code[offset : offset + length]), module.__dict__)


def use_bundle(path: str) -> BundleFinder | None:
    """Find modules in a bundle from now on; None, with a line on why, where it is of no use."""
    try:
        finder = read_bundle(path)
    except (OSError, ValueError, EOFError, TypeError) as error:
        sys.stderr.write(f"{path} is not used: {error}; build anew with deploy/build.sh\n")
        return None
    sys.meta_path.insert(0, finder)
    return finder


def drop_bundle(finder: BundleFinder | None) -> None:
    """Find modules where they were installed again; what was read goes."""
    if finder is not None:
        sys.meta_path.remove(finder)
        finder.forget()


def read_bundle(path: str) -> BundleFinder:
    """Read a bundle; raises OSError, ValueError, EOFError or TypeError."""
    with open(path, "rb") as file:
        data = memoryview(file.read())
    head_end = LENGTH_BYTES + int.from_bytes(data[:LENGTH_BYTES], "little")
    version, code_bytes, index = marshal.loads(data[LENGTH_BYTES:head_end])
    if version != sys.version:
        raise ValueError(f"made by Python {version}")
    code = data[head_end:]
    if len(code) != code_bytes:
        raise ValueError(f"{len(code)} bytes of {code_bytes}")
    return BundleFinder(index, code, path.rpartition("/")[0])


def library_folder() -> str:
    """Return where this interpreter's standard library lies."""
    return os.__file__.rpartition("/")[0]
