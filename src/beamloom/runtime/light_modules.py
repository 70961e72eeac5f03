"""Small stand-ins for `json`, `socket`, `signal` and `threading` while a node starts.

Each holds what modules that a node needs before it is ready ask for when they are imported, and
behaves there as the module does; any other name loads the module itself. The modules' own time goes
into enumerations of address families and into regular expressions.
"""

from __future__ import annotations

import _json
import _signal  # type: ignore[import-not-found]
import _socket
import _thread
import sys
from collections.abc import Callable, Mapping

from beamloom.runtime.light_types import Names


class _ScannerSettings:
    """What the scanner in C asks of a decoder: the defaults of `json.loads`."""

    strict = True
    object_hook = None
    object_pairs_hook = None
    parse_float = float
    parse_int = int
    parse_constant = {"-Infinity": -float("inf"), "Infinity": float("inf"), "NaN": float("nan")}.get
    memo: Mapping[str, str] = {}


_SPACES = " \t\n\r"
_scan: Callable[[str, int], tuple[object, int]] = _json.make_scanner(
    _ScannerSettings()  # type: ignore[arg-type]
)


def load_json(text: str | bytes) -> object:
    """Do what `json.loads` does; what it would refuse or treat otherwise is left to itself."""
    if isinstance(text, str):
        start = len(text) - len(text.lstrip(_SPACES))
        try:
            value, end = _scan(text, start)
        except StopIteration:
            end = -1
        if end >= 0 and not text[end:].strip(_SPACES):
            return value
    elif not text.startswith((b"\xef\xbb\xbf", b"\xff", b"\xfe", b"\0")) and text[1:2] != b"\0":
        return load_json(text.decode("utf-8", "surrogatepass"))
    import json

    return json.loads(text)


_encode_text: Callable[[str], str] = _json.encode_basestring_ascii


def _refuse(value: object) -> object:
    raise TypeError(f"Object of type {type(value).__name__} is not JSON serializable")


def dump_json(value: object, **options: object) -> str:
    """Do what `json.dumps` does; with options, that itself."""
    if options:
        import json

        return json.dumps(value, **options)  # type: ignore[arg-type]
    encode: Callable[[object, int], tuple[str, ...]] = _json.make_encoder(
        {}, _refuse, _encode_text, None, ": ", ", ", False, False, True
    )
    return "".join(encode(value, 0))


def json_names() -> Names:
    """Return what stands for `json`, whose decoder is imported with regular expressions."""
    return {"loads": load_json, "dumps": dump_json}


class _Socket(_socket.socket):
    """A socket without what `socket` adds for files and for pickling."""

    __slots__ = ("__weakref__",)

    def accept(self) -> tuple[_Socket, object]:
        """Return a new connection and its peer's address."""
        descriptor, address = self._accept()  # type: ignore[attr-defined]
        return _Socket(self.family, self.type, self.proto, fileno=descriptor), address

    def __enter__(self) -> _Socket:
        return self

    def __exit__(self, *_reason: object) -> None:
        self.close()


def socket_names() -> Names:
    """Return what stands for `socket`: numbers in place of enumerations."""
    own = {"SocketType", "dup", "getaddrinfo", "socket"}
    given = {name: value for name, value in vars(_socket).items() if name not in own}
    return {**_public(given), "socket": _Socket, "socketpair": _socket.socketpair}


def signal_names() -> Names:
    """Return what stands for `signal`: numbers in place of enumerations."""
    return _public(vars(_signal))


def threading_names() -> Names:
    """Return what stands for `threading`; a program that has not loaded it has one thread."""
    return {
        "Lock": _thread.allocate_lock,
        "current_thread": lambda: _of_threading("current_thread"),
        "get_ident": _thread.get_ident,
        "local": _thread._local,
        "main_thread": lambda: _of_threading("main_thread"),
    }


def _of_threading(name: str) -> object:
    threading = sys.modules.get("threading")
    return None if threading is None else getattr(threading, name)()


def _public(names: Mapping[str, object]) -> Names:
    return {name: value for name, value in names.items() if not name.startswith("__")}
