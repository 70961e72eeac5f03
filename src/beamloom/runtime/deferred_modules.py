"""Modules of the standard library that are imported at first use, not when a node starts.

A node's modules and `asyncio` import what they need for errors, debugging, child processes or
annotations only. That is half the processor time of a start, and a node that starts answers nobody.
While `deferred` is entered, placeholders stand for it; a placeholder loads its module at the first
look-up of a name that it does not hold itself. The same placeholder stands each time.
"""

from __future__ import annotations

import importlib
import sys
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from types import ModuleType

from beamloom.runtime.light_modules import (
    json_names,
    signal_names,
    socket_names,
    threading_names,
)
from beamloom.runtime.light_types import enum_names, typing_names

DEBUG_LEVEL = 10
"""`logging.DEBUG`, which asyncio reads when it is imported; the value is documented."""
CHILD_PROCESS_NAMES = {"PIPE": -1, "STDOUT": -2, "DEVNULL": -3}
"""What asyncio copies from `subprocess` into defaults; a node starts no process."""
WAIT_NAMES = ("FIRST_COMPLETED", "FIRST_EXCEPTION", "ALL_COMPLETED")
"""What asyncio copies from `concurrent.futures`; there, too, each value is its own name."""
FUTURES = "concurrent.futures"


class DeferredModule(ModuleType):
    """Stands for a module until a name is asked for that is not among those given."""

    def __init__(self, name: str, **given: object) -> None:
        super().__init__(name)
        self.__dict__.update(given)

    def __getattr__(self, name: str) -> object:
        if name.startswith("__"):  # asked by the import system itself, which loads nothing by it
            raise AttributeError(name)
        if sys.modules.get(self.__name__) is self:  # asked by a module that is being imported
            del sys.modules[self.__name__]
        return getattr(importlib.import_module(self.__name__), name)


class DeferredLogger:
    """Stands for a logger; lines of a level that is off by default load nothing."""

    def __init__(self, name: str) -> None:
        self._name = name

    def debug(self, *arguments: object, **options: object) -> None:
        """Log, where the program has loaded `logging` to see such lines."""
        if "logging" in sys.modules:
            self.__getattr__("debug")(*arguments, **options)

    def __getattr__(self, name: str) -> Callable[..., object]:
        method: Callable[..., object] = getattr(
            importlib.import_module("logging").getLogger(self._name), name
        )
        return method


@contextmanager
def deferred() -> Iterator[None]:
    """Let placeholders stand for the modules that are not loaded yet; afterwards for nobody new."""
    placeholders = {
        name: placeholder for name, placeholder in _PLACEHOLDERS.items() if name not in sys.modules
    }
    if FUTURES in placeholders:
        # The import system sets a submodule on its package only when it loads it.
        importlib.import_module("concurrent").__dict__["futures"] = placeholders[FUTURES]
    sys.modules.update(placeholders)
    try:
        yield
    finally:
        for name, placeholder in placeholders.items():
            if sys.modules.get(name) is placeholder:
                del sys.modules[name]


def _placeholders() -> tuple[DeferredModule, ...]:
    return (
        DeferredModule("enum", **enum_names()),
        DeferredModule("json", **json_names()),
        DeferredModule("signal", **signal_names()),
        DeferredModule("socket", **socket_names()),
        DeferredModule("threading", **threading_names()),
        DeferredModule("typing", **typing_names()),
        DeferredModule("asyncio.sslproto"),
        DeferredModule("inspect"),
        DeferredModule("linecache"),
        DeferredModule("logging", getLogger=DeferredLogger, DEBUG=DEBUG_LEVEL),
        DeferredModule("subprocess", **CHILD_PROCESS_NAMES),
        DeferredModule("traceback", extract_stack=_extract_stack),
        DeferredModule(FUTURES, **{name: name for name in WAIT_NAMES}),
    )


def _extract_stack(*arguments: object, **options: object) -> object:
    """Do what `traceback.extract_stack` does; asyncio's C part copies the function itself."""
    return importlib.import_module("traceback").extract_stack(*arguments, **options)


_PLACEHOLDERS = {module.__name__: module for module in _placeholders()}
