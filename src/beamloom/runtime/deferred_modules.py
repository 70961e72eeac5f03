"""Modules of the standard library that are imported at first use, not when a node starts.

A node's modules and `asyncio` import modules that they need only for errors, debugging, child
processes or annotations, which would delay the start. Within `deferred`, placeholders replace them
in `sys.modules`. A placeholder imports its module at the first access to an attribute that it does
not have itself.
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
"""The documented value of `logging.DEBUG`, which asyncio reads when it is imported."""
SUBPROCESS_CONSTANTS = {"PIPE": -1, "STDOUT": -2, "DEVNULL": -3}
"""Constants of `subprocess` that asyncio reads when it is imported."""
WAIT_CONSTANTS = ("FIRST_COMPLETED", "FIRST_EXCEPTION", "ALL_COMPLETED")
"""Constants of `concurrent.futures` that asyncio copies; the value of each is its name."""
FUTURES_MODULE = "concurrent.futures"


class DeferredModule(ModuleType):
    """Replaces a module until an attribute is accessed that is not among `attributes`."""

    def __init__(self, name: str, **attributes: object) -> None:
        super().__init__(name)
        self.__dict__.update(attributes)

    def __getattr__(self, name: str) -> object:
        if name.startswith("__"):  # looked up by the import system, not by a user
            raise AttributeError(name)
        if sys.modules.get(self.__name__) is self:  # still within `deferred`
            del sys.modules[self.__name__]
        return getattr(importlib.import_module(self.__name__), name)


class DeferredLogger:
    """Replaces a logger; `debug` calls do not import `logging`."""

    def __init__(self, name: str) -> None:
        self._name = name

    def debug(self, *arguments: object, **options: object) -> None:
        """Log a debug message if `logging` has been imported."""
        if "logging" in sys.modules:
            self.__getattr__("debug")(*arguments, **options)

    def __getattr__(self, name: str) -> Callable[..., object]:
        method: Callable[..., object] = getattr(
            importlib.import_module("logging").getLogger(self._name), name
        )
        return method


@contextmanager
def deferred() -> Iterator[None]:
    """Replace modules that are not imported yet; modules imported within keep the placeholders."""
    placeholders = {
        name: placeholder for name, placeholder in _PLACEHOLDERS.items() if name not in sys.modules
    }
    if FUTURES_MODULE in placeholders:
        # The import system sets a submodule on its package only when it imports the submodule.
        importlib.import_module("concurrent").__dict__["futures"] = placeholders[FUTURES_MODULE]
    sys.modules.update(placeholders)
    try:
        yield
    finally:
        for name, placeholder in placeholders.items():
            if sys.modules.get(name) is placeholder:
                del sys.modules[name]


def _make_placeholders() -> tuple[DeferredModule, ...]:
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
        DeferredModule("subprocess", **SUBPROCESS_CONSTANTS),
        DeferredModule("traceback", extract_stack=_extract_stack),
        DeferredModule(FUTURES_MODULE, **{name: name for name in WAIT_CONSTANTS}),
    )


def _extract_stack(*arguments: object, **options: object) -> object:
    """Call `traceback.extract_stack`, which asyncio's C extension looks up when it is imported."""
    return importlib.import_module("traceback").extract_stack(*arguments, **options)


_PLACEHOLDERS = {module.__name__: module for module in _make_placeholders()}
