"""Lightweight substitutes for `typing` and `enum` while a node starts; see light_modules.py.

Creating types with the modules themselves is slow: a named tuple compiles its constructor, and an
enumeration sets many attributes of each member. Types created here behave alike as far as a node
uses them. Enumeration members are plain class attributes.
"""

from __future__ import annotations

from _collections import _tuplegetter  # type: ignore[import-not-found]
from collections import namedtuple
from collections.abc import Callable, Iterable, Iterator
from types import FunctionType

TYPE_CHECKING = False
if TYPE_CHECKING:
    from typing import Any

Namespace = dict[str, object]
"""Attributes of a substitute by name."""


class _AnyType:
    """Replaces any type in annotations and aliases; supports subscripts and unions."""

    def __getitem__(self, _item: object) -> _AnyType:
        return self

    def __or__(self, _other: object) -> _AnyType:
        return self

    __ror__ = __or__


class _Generic:
    """A base class that ignores type parameters."""

    __slots__ = ()

    def __class_getitem__(cls, _item: object) -> type:
        return cls


_NOT_COPIED = frozenset(
    {"__annotations__", "__module__", "__qualname__", "__slots__", "__orig_bases__"}
)
_new_tuple = tuple.__new__
_CONSTRUCTORS: tuple[Callable[..., object], ...] = (
    lambda c: _new_tuple(c, ()),
    lambda c, f0: _new_tuple(c, (f0,)),
    lambda c, f0, f1: _new_tuple(c, (f0, f1)),
    lambda c, f0, f1, f2: _new_tuple(c, (f0, f1, f2)),
    lambda c, f0, f1, f2, f3: _new_tuple(c, (f0, f1, f2, f3)),
    lambda c, f0, f1, f2, f3, f4: _new_tuple(c, (f0, f1, f2, f3, f4)),
    lambda c, f0, f1, f2, f3, f4, f5: _new_tuple(c, (f0, f1, f2, f3, f4, f5)),
    lambda c, f0, f1, f2, f3, f4, f5, f6: _new_tuple(c, (f0, f1, f2, f3, f4, f5, f6)),
)
"""Constructors by number of fields. Each type gets a copy with its field names as parameters, which
is faster than `namedtuple`, whose cost is mostly the compilation of one for each type; types with
more fields use `namedtuple`.
"""


class _TupleBase(tuple[object, ...]):
    """Base class of named tuples with few fields; its methods use `_fields`."""

    __slots__ = ()
    _fields: tuple[str, ...] = ()
    _field_defaults: dict[str, object] = {}

    @classmethod
    def _make(cls, values: Iterable[object]) -> _TupleBase:
        made = tuple.__new__(cls, values)
        if len(made) != len(cls._fields):
            raise TypeError(f"Expected {len(cls._fields)} arguments, got {len(made)}")
        return made

    def _asdict(self) -> dict[str, object]:
        return dict(zip(self._fields, self, strict=True))

    def _replace(self, **changed: object) -> _TupleBase:
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
    """Creates a named tuple from the annotations of a class, without evaluating them."""

    def __new__(mcs, name: str, bases: tuple[type, ...], body: dict[str, Any]) -> type:
        types = body.get("__annotations__", {})
        fields = tuple(types)
        defaults = {field: body[field] for field in fields if field in body}
        if len(fields) >= len(_CONSTRUCTORS):
            made = namedtuple(name, fields, defaults=defaults.values(), module=body["__module__"])  # type: ignore[misc]
            made.__annotations__ = types
            for key, value in body.items():
                if key not in _NOT_COPIED and key not in types:
                    setattr(made, key, value)
            return made
        namespace = {
            **body,
            **{field: _tuplegetter(index, "") for index, field in enumerate(fields)},
            "__match_args__": fields,
            "__new__": _constructor(fields, tuple(defaults.values())),
            "__slots__": (),
            "_field_defaults": defaults,
            "_fields": fields,
        }
        return type(name, (_TupleBase,), namespace)


def _constructor(fields: tuple[str, ...], defaults: tuple[object, ...]) -> FunctionType:
    template = _CONSTRUCTORS[len(fields)]
    code = template.__code__.replace(
        co_varnames=("_cls", *fields), co_name="__new__", co_qualname="__new__"
    )
    return FunctionType(code, template.__globals__, "__new__", defaults)


class _NamedTuple:
    """The substitute for `typing.NamedTuple` in the bases of a class."""

    def __mro_entries__(self, _bases: tuple[object, ...]) -> tuple[type, ...]:
        return (_NAMED_TUPLE_BASE,)


_NAMED_TUPLE_BASE = type.__new__(_NamedTupleMeta, "NamedTuple", (), {})


def typing_names() -> Namespace:
    """Return the substitute for `typing`; type expressions have no effect."""
    any_type = _AnyType()
    names = (
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
        **dict.fromkeys((*names, "Union"), any_type),
        "TYPE_CHECKING": False,
        "Generic": _Generic,
        "NamedTuple": _NamedTuple(),
        "Protocol": _Generic,
        "TypeVar": lambda *_arguments, **_options: any_type,
        "cast": lambda _type, value: value,
        "final": lambda decorated: decorated,
    }


class _EnumMeta(type):
    """Creates an enumeration whose members have the plain values of the class body."""

    _members: dict[str, Any]

    def __new__(mcs, name: str, bases: tuple[type, ...], body: dict[str, Any]) -> _EnumMeta:
        values = {key: value for key, value in body.items() if _is_member(key, value)}
        made = super().__new__(
            mcs, name, bases, {key: value for key, value in body.items() if key not in values}
        )
        made._members = {}
        by_value: dict[object, object] = {}
        for number, (key, value) in enumerate(values.items(), 1):
            member_value = number if value is _AUTO else value
            member = by_value.get(member_value)
            if member is None:
                member = by_value[member_value] = object.__new__(made)  # type: ignore[arg-type]
                member.__dict__.update(
                    name=key, value=member_value, _name_=key, _value_=member_value
                )
            made._members[key] = member
            type.__setattr__(made, key, member)
        return made

    def __call__(cls, value: object) -> object:
        """Return the member with a value; raises ValueError if there is none."""
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
    """Base class of enumerations; members are compared by identity."""

    def __repr__(self) -> str:
        return f"<{type(self).__name__}.{self.name}: {self.value!r}>"  # type: ignore[attr-defined]

    def __str__(self) -> str:
        return f"{type(self).__name__}.{self.name}"  # type: ignore[attr-defined]


_AUTO = object()


def enum_names() -> Namespace:
    """Return the substitute for `enum`, with plain enumerations only."""
    return {"Enum": _Enum, "auto": lambda: _AUTO}
