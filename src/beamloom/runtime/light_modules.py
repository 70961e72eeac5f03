"""Small stand-ins for `typing`, `json`, `socket`, `signal` and `threading` while a node starts.

Each holds what modules that a node needs before it is ready ask for when they are imported, and
behaves there as the module does; any other name loads the module itself. The modules take a third
of the processor time of a start, most of it for annotations that nobody evaluates, enumerations of
address families and regular expressions.
"""

from __future__ import annotations

import _json
import _signal  # type: ignore[import-not-found]
import _socket
import _thread
import sys
from collections import namedtuple
from collections.abc import Callable, Mapping

Names = dict[str, object]
"""What a stand-in holds, by name."""


class _Anything:
    """Stands for a type in annotations and aliases, whatever is done with it there."""

    def __getitem__(self, _item: object) -> _Anything:
        return self

    def __or__(self, _other: object) -> _Anything:
        return self

    __ror__ = __or__


class _Generic:
    """A base class that may be given parameters, which are forgotten."""

    __slots__ = ()

    def __class_getitem__(cls, _item: object) -> type:
        return cls


_NOT_COPIED = frozenset(
    {"__annotations__", "__module__", "__qualname__", "__slots__", "__orig_bases__"}
)


class _NamedTupleMeta(type):
    """Makes a named tuple of a class's annotations, which are not evaluated for it."""

    def __new__(mcs, name: str, bases: tuple[type, ...], body: dict[str, object]) -> type:
        fields = body.get("__annotations__", {})
        assert isinstance(fields, dict)
        defaults = [body[field] for field in fields if field in body]
        made = namedtuple(name, fields, defaults=defaults, module=str(body["__module__"]))  # type: ignore[misc]
        made.__annotations__ = fields
        if _Generic in bases:
            setattr(made, "__class_getitem__", classmethod(_same_class))  # noqa: B010
        for key, value in body.items():
            if key not in _NOT_COPIED and key not in fields:
                setattr(made, key, value)
        return made


def _same_class(cls: type, _item: object) -> type:
    return cls


class _NamedTuple:
    """What `class Name(NamedTuple)` names as its base."""

    def __mro_entries__(self, _bases: tuple[object, ...]) -> tuple[type, ...]:
        return (_NAMED_TUPLE_BASE,)


_NAMED_TUPLE_BASE = type.__new__(_NamedTupleMeta, "NamedTuple", (), {})


def typing_names() -> Names:
    """Return what stands for `typing`: annotations are for the type checker only."""
    anything = _Anything()
    words = (
        "Any",
        "Awaitable",
        "Callable",
        "Iterable",
        "List",
        "Literal",
        "Optional",
        "Tuple",
        "Type",
    )
    return {
        **dict.fromkeys((*words, "Union"), anything),
        "TYPE_CHECKING": False,
        "Generic": _Generic,
        "NamedTuple": _NamedTuple(),
        "Protocol": _Generic,
        "TypeVar": lambda *_arguments, **_options: anything,
        "cast": lambda _type, value: value,
        "final": lambda decorated: decorated,
    }


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
