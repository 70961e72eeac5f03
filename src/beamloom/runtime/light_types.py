"""Small stand-ins for `typing` and `enum` while a node starts; see light_modules.py.

Most of what a start spent on these was the making of types: a named tuple compiled each of its
annotations and its constructor, an enumeration set a dozen attributes for each member. Those made
here behave alike where a node uses them, and a look-up of a member runs no code in Python.
"""

from __future__ import annotations

from _collections import _tuplegetter  # type: ignore[import-not-found]
from collections import namedtuple
from collections.abc import Callable, Iterable, Iterator
from types import FunctionType

TYPE_CHECKING = False
if TYPE_CHECKING:
    from typing import Any

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
_make = tuple.__new__
_NEW: tuple[Callable[..., object], ...] = (
    lambda c: _make(c, ()),
    lambda c, f0: _make(c, (f0,)),
    lambda c, f0, f1: _make(c, (f0, f1)),
    lambda c, f0, f1, f2: _make(c, (f0, f1, f2)),
    lambda c, f0, f1, f2, f3: _make(c, (f0, f1, f2, f3)),
    lambda c, f0, f1, f2, f3, f4: _make(c, (f0, f1, f2, f3, f4)),
    lambda c, f0, f1, f2, f3, f4, f5: _make(c, (f0, f1, f2, f3, f4, f5)),
    lambda c, f0, f1, f2, f3, f4, f5, f6: _make(c, (f0, f1, f2, f3, f4, f5, f6)),
)
"""Constructors by number of fields, named anew for each type: `namedtuple` compiles one for each,
which is most of its cost.
"""


class _Record(tuple[object, ...]):
    """What all named tuples that are made here have in common, by `_fields`."""

    __slots__ = ()
    _fields: tuple[str, ...] = ()
    _field_defaults: dict[str, object] = {}

    @classmethod
    def _make(cls, values: Iterable[object]) -> _Record:
        made = tuple.__new__(cls, values)
        if len(made) != len(cls._fields):
            raise TypeError(f"Expected {len(cls._fields)} arguments, got {len(made)}")
        return made

    def _asdict(self) -> dict[str, object]:
        return dict(zip(self._fields, self, strict=True))

    def _replace(self, **changed: object) -> _Record:
        made = self._make(map(changed.pop, self._fields, self))
        if changed:
            raise ValueError(f"Got unexpected field names: {list(changed)!r}")
        return made

    def __repr__(self) -> str:
        fields = ", ".join(f"{name}={value!r}" for name, value in self._asdict().items())
        return f"{type(self).__name__}({fields})"

    def __getnewargs__(self) -> tuple[object, ...]:
        return tuple(self)

    @classmethod
    def __class_getitem__(cls, _item: object) -> type:  # type: ignore[override]
        return cls


class _NamedTupleMeta(type):
    """Makes a named tuple of a class's annotations, which are not evaluated for it."""

    def __new__(mcs, name: str, bases: tuple[type, ...], body: dict[str, Any]) -> type:
        types = body.get("__annotations__", {})
        fields = tuple(types)
        defaults = {field: body[field] for field in fields if field in body}
        if len(fields) >= len(_NEW):
            made = namedtuple(name, fields, defaults=defaults.values(), module=body["__module__"])  # type: ignore[misc]
            made.__annotations__ = types
            for key, value in body.items():
                if key not in _NOT_COPIED and key not in types:
                    setattr(made, key, value)
            return made
        own = {
            **body,
            **{field: _tuplegetter(place, "") for place, field in enumerate(fields)},
            "__match_args__": fields,
            "__new__": _constructor(fields, tuple(defaults.values())),
            "__slots__": (),
            "_field_defaults": defaults,
            "_fields": fields,
        }
        return type(name, (_Record,), own)


def _constructor(fields: tuple[str, ...], defaults: tuple[object, ...]) -> FunctionType:
    template = _NEW[len(fields)]
    code = template.__code__.replace(
        co_varnames=("_cls", *fields), co_name="__new__", co_qualname="__new__"
    )
    return FunctionType(code, template.__globals__, "__new__", defaults)


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


class _EnumMeta(type):
    """Makes members of the plain values in a class's body; they stay as they are."""

    _members: dict[str, Any]

    def __new__(mcs, name: str, bases: tuple[type, ...], body: dict[str, Any]) -> _EnumMeta:
        values = {key: value for key, value in body.items() if _is_member(key, value)}
        made = super().__new__(
            mcs, name, bases, {key: value for key, value in body.items() if key not in values}
        )
        made._members = {}
        by_value: dict[object, object] = {}
        for number, (key, value) in enumerate(values.items(), 1):
            given = number if value is _AUTO else value
            member = by_value.get(given)
            if member is None:
                member = by_value[given] = object.__new__(made)  # type: ignore[arg-type]
                member.__dict__.update(name=key, value=given, _name_=key, _value_=given)
            made._members[key] = member
            type.__setattr__(made, key, member)
        return made

    def __call__(cls, value: object) -> object:
        """Return the member of a value; raises ValueError."""
        for member in cls._members.values():
            if member.value == value:
                return member
        raise ValueError(f"{value!r} is not a valid {cls.__qualname__}")

    def __getitem__(cls, name: str) -> object:
        return cls._members[name]

    def __iter__(cls) -> Iterator[object]:
        return iter(dict.fromkeys(cls._members.values()))

    def __len__(cls) -> int:
        return len(dict.fromkeys(cls._members.values()))


def _is_member(name: str, value: object) -> bool:
    return not name.startswith("_") and not hasattr(value, "__get__")


class _Enum(metaclass=_EnumMeta):
    """An enumeration of plain values; its members are compared by identity."""

    def __repr__(self) -> str:
        return f"<{type(self).__name__}.{self.name}: {self.value!r}>"  # type: ignore[attr-defined]

    def __str__(self) -> str:
        return f"{type(self).__name__}.{self.name}"  # type: ignore[attr-defined]


_AUTO = object()


def enum_names() -> Names:
    """Return what stands for `enum`, of which a start needs plain enumerations."""
    return {"Enum": _Enum, "auto": lambda: _AUTO}
