"""Lightweight substitutes for `json`, `socket`, `signal` and `threading` while a node starts.

Each has the names that a node's modules access before the node is ready, and these behave as in the
module itself; any other name imports the module. This saves the creation of enumerations and the
compilation of regular expressions.
"""

from __future__ import annotations

import _json
import _signal  # type: ignore[import-not-found]
import _socket
import _thread
import sys
from collections.abc import Callable, Mapping

from beamloom.runtime.light_types import Namespace


class _ScannerSettings:
    """The decoder attributes that the C scanner reads, with the defaults of `json.loads`."""

    strict = True
    object_hook = None
    object_pairs_hook = None
    parse_float = float
    parse_int = int
    parse_constant = {"-Infinity": -float("inf"), "Infinity": float("inf"), "NaN": float("nan")}.get
    memo: Mapping[str, str] = {}


_WHITESPACE = " \t\n\r"
_scan_json: Callable[[str, int], tuple[object, int]] = _json.make_scanner(
    _ScannerSettings()  # type: ignore[arg-type]
)


def load_json(text: str | bytes) -> object:
    """Decode as `json.loads`, which is called for invalid input and other encodings than UTF-8."""
    if isinstance(text, str):
        start = len(text) - len(text.lstrip(_WHITESPACE))
        try:
            value, end = _scan_json(text, start)
        except (StopIteration, SystemError):
            # The scanner takes the class of its errors from `json.decoder`. If that is not loaded,
            # it fails without an exception, which the interpreter reports as SystemError.
            end = -1
        if end >= 0 and not text[end:].strip(_WHITESPACE):
            return value
    elif not text.startswith((b"\xef\xbb\xbf", b"\xff", b"\xfe", b"\0")) and text[1:2] != b"\0":
        return load_json(text.decode("utf-8", "surrogatepass"))
    import json

    return json.loads(text)


_encode_text: Callable[[str], str] = _json.encode_basestring_ascii


def _raise_not_serializable(value: object) -> object:
    raise TypeError(f"Object of type {type(value).__name__} is not JSON serializable")


def dump_json(value: object, **options: object) -> str:
    """Encode as `json.dumps`, which is called if there are options."""
    if options:
        import json

        return json.dumps(value, **options)  # type: ignore[arg-type]
    encode: Callable[[object, int], tuple[str, ...]] = _json.make_encoder(
        {}, _raise_not_serializable, _encode_text, None, ": ", ", ", False, False, True
    )
    return "".join(encode(value, 0))


def json_names() -> Namespace:
    """Return the substitute for `json`, whose import compiles regular expressions."""
    return {"loads": load_json, "dumps": dump_json}


class _Socket(_socket.socket):
    """A socket without the support of `socket.socket` for files and pickling."""

    __slots__ = ("__weakref__",)

    def accept(self) -> tuple[_Socket, object]:
        """Return a new connection and the address of its peer."""
        descriptor, address = self._accept()  # type: ignore[attr-defined]
        return _Socket(self.family, self.type, self.proto, fileno=descriptor), address

    def __enter__(self) -> _Socket:
        return self

    def __exit__(self, *_reason: object) -> None:
        self.close()


def socket_names() -> Namespace:
    """Return the substitute for `socket`: numbers in place of enumerations."""
    replaced = {"SocketType", "dup", "getaddrinfo", "socket"}
    copied = {name: value for name, value in vars(_socket).items() if name not in replaced}
    return {**_public(copied), "socket": _Socket, "socketpair": _socket.socketpair}


def signal_names() -> Namespace:
    """Return the substitute for `signal`: numbers in place of enumerations."""
    return _public(vars(_signal))


def threading_names() -> Namespace:
    """Return the substitute for `threading`.

    `current_thread` and `main_thread` return None, and are thus equal, until `threading` is
    imported: the process is assumed to have one thread until then.
    """
    return {
        "Lock": _thread.allocate_lock,
        "current_thread": lambda: _call_if_imported("current_thread"),
        "get_ident": _thread.get_ident,
        "local": _thread._local,
        "main_thread": lambda: _call_if_imported("main_thread"),
    }


def _call_if_imported(name: str) -> object:
    threading = sys.modules.get("threading")
    return None if threading is None else getattr(threading, name)()


def _public(names: Mapping[str, object]) -> Namespace:
    return {name: value for name, value in names.items() if not name.startswith("__")}
