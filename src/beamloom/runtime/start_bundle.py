"""Imports the modules of a start from one file, which `bundle_writer` writes at build time.

Reading one file takes fewer system calls than searching for each module. The bundle contains
compiled code, which only the same version of the interpreter can use. A bundle that is incomplete
or was made by another version is reported on standard error and ignored; modules are then imported
from where they were installed. The bundle must be in the folder of the installed modules, where
submodules that are not in it are searched for. The folder may be moved.

This module is not in the bundle and imports as few modules as possible.
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

HEADER_LENGTH_BYTES = 8
"""Size of the field at the beginning of the file, the length of the header that follows."""


class BundleFinder:
    """Finds and loads modules from a bundle.

    For each module `index` has the offset and length of its code, its file relative to the folder
    of the standard library or of the bundle, whether it is in the library, and whether it is a
    package. The length is 0 for extension modules, which are loaded from the file.
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
        """Return the specification of a module, or None if the bundle does not have it."""
        entry = self._index.get(name)
        if entry is None:
            return None
        _, length, file, in_library, is_package = entry
        origin = f"{self._library if in_library else self._folder}/{file}"
        if not length:
            loader = ExtensionFileLoader(name, origin)
            return spec_from_file_location(name, origin, loader=loader)
        spec = ModuleSpec(name, self, origin=origin, is_package=is_package)  # type: ignore[arg-type]
        spec.has_location = True
        if spec.submodule_search_locations is not None:
            spec.submodule_search_locations.append(origin.rpartition("/")[0])
        return spec

    def release(self) -> None:
        """Release the bundle's contents; the finder stays referenced by module specifications."""
        self._index = {}
        self._code = memoryview(b"")

    def create_module(self, _spec: ModuleSpec) -> None:
        """Return None, so that the import system creates the module."""

    def exec_module(self, module: "ModuleType") -> None:
        """Execute the code of a module."""
        offset, length, *_ = self._index[module.__name__]
        exec(marshal.loads(self._code[offset : offset + length]), module.__dict__)


def install_bundle(path: str) -> BundleFinder | None:
    """Import modules from a bundle; if it is unusable, print the reason and return None."""
    try:
        finder = read_bundle(path)
    except (OSError, ValueError, EOFError, TypeError) as error:
        sys.stderr.write(f"{path} is not used: {error}; rebuild it with deploy/build.sh\n")
        return None
    sys.meta_path.insert(0, finder)
    return finder


def remove_bundle(finder: BundleFinder | None) -> None:
    """Import modules only from where they were installed, and release the bundle's contents."""
    if finder is not None:
        sys.meta_path.remove(finder)
        finder.release()


def read_bundle(path: str) -> BundleFinder:
    """Read a bundle; raises OSError, ValueError, EOFError or TypeError."""
    with open(path, "rb") as file:
        data = memoryview(file.read())
    header_end = HEADER_LENGTH_BYTES + int.from_bytes(data[:HEADER_LENGTH_BYTES], "little")
    version, code_bytes, index = marshal.loads(data[HEADER_LENGTH_BYTES:header_end])
    if version != sys.version:
        raise ValueError(f"made by Python {version}")
    code = data[header_end:]
    if len(code) != code_bytes:
        raise ValueError(f"{len(code)} bytes of {code_bytes}")
    return BundleFinder(index, code, path.rpartition("/")[0])


def library_folder() -> str:
    """Return the folder of this interpreter's standard library."""
    return os.__file__.rpartition("/")[0]
