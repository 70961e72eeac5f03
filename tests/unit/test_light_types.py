"""Types created by the substitutes for `typing` and `enum`, compared with those of the modules."""

import enum
import typing
import unittest
from collections.abc import Mapping

from beamloom.runtime import light_types

RECORD = """
T = TypeVar('T')
class Record(NamedTuple, Generic[T]):
    'A record.'
    name: str
    values: 'tuple[T, ...]'
    weight: 'float | None' = None
    @property
    def size(self): return len(self.values)
    @classmethod
    def empty(cls): return cls('', ())
"""
LONG = "class Long(NamedTuple):\n" + "".join(f"    field_{n}: int = {n}\n" for n in range(20))
STATE = """
class State(Enum):
    'States.'
    READY = 'ready'
    LEAVING = 'leaving'
    GONE = 'leaving'
    def upper(self): return self.value.upper()
"""


def define(text: str, names: Mapping[str, object], name: str) -> typing.Any:  # noqa: ANN401
    """Return the class `name` that is defined by the code `text` with the names of a module."""
    scope: dict[str, object] = {**names, "__name__": "module"}
    exec(text, scope)
    return scope[name]


def raised_type(action: typing.Callable[[], object]) -> type[BaseException] | None:
    """Return the type of the exception that an action raises, or None."""
    try:
        action()
    except Exception as error:
        return type(error)
    return None


class NamedTupleTest(unittest.TestCase):
    def test_named_tuples_match_typing(self) -> None:
        results = []
        for names in (vars(typing), light_types.typing_names()):
            record = define(RECORD, names, "Record")
            one = record("a", (1, 2))
            results.append(
                (
                    (record.__name__, record.__module__, record.__doc__, record.__match_args__),
                    (record._fields, record._field_defaults),
                    (one, one.name, one.values, one.weight, one.size, record.empty()),
                    (repr(one), hash(one), one == ("a", (1, 2), None)),
                    one._replace(weight=2.0),
                    record._make(["b", (), 1.0]),
                    record(values=(3,), name="c")._asdict(),
                    record[int]("b", ()),
                )
            )
        self.assertEqual(results[0], results[1])

    def test_invalid_use_raises_the_same_errors(self) -> None:
        error_types = []
        for names in (vars(typing), light_types.typing_names()):
            record = define(RECORD, names, "Record")
            one = record("a", ())
            error_types.append(
                [
                    raised_type(lambda record=record: record("a")),
                    raised_type(lambda record=record: record("a", (), 1.0, 2)),
                    raised_type(lambda record=record: record("a", (), weigth=1.0)),
                    raised_type(lambda record=record: record._make(["a"])),
                    raised_type(lambda one=one: one._replace(weigth=1.0)),
                    raised_type(lambda one=one: setattr(one, "name", "b")),
                    raised_type(lambda one=one: setattr(one, "other", "b")),
                ]
            )
        self.assertEqual(error_types[0], error_types[1])
        self.assertNotIn(None, error_types[0])

    def test_named_tuples_with_many_fields_and_without_fields(self) -> None:
        for text, name in ((LONG, "Long"), ("class Empty(NamedTuple): pass", "Empty")):
            results = [
                repr(define(text, names, name)())
                for names in (vars(typing), light_types.typing_names())
            ]
            self.assertEqual(results[0], results[1])

    def test_a_class_pattern_matches_by_position(self) -> None:
        record = define(RECORD, light_types.typing_names(), "Record")
        match record("a", (1,)):
            case record(name, values):
                self.assertEqual((name, values), ("a", (1,)))
            case _:
                self.fail("no match")


class EnumTest(unittest.TestCase):
    def test_enumerations_match_enum(self) -> None:
        results = []
        for names in (vars(enum), light_types.enum_names()):
            state = define(STATE, names, "State")
            results.append(
                (
                    [(member.name, member.value, member.upper()) for member in state],
                    (len(state), state("leaving") is state.GONE is state.LEAVING),
                    state["READY"] is state.READY is state("ready"),
                    (repr(state.READY), str(state.GONE), f"{state.READY}"),
                    (
                        state.READY == "ready",
                        state.READY in {state.READY},
                        isinstance(state.READY, state),
                    ),
                    (state.__doc__, state.__name__, state.__module__),
                    raised_type(lambda state=state: state("unknown")),
                    raised_type(lambda state=state: state["UNKNOWN"]),
                    raised_type(lambda state=state: state.UNKNOWN),
                )
            )
        self.assertEqual(results[0], results[1])

    def test_auto_values(self) -> None:
        text = "class Mode(Enum):\n    FIRST = auto()\n    SECOND = auto()\n"
        for names in (vars(enum), light_types.enum_names()):
            mode = define(text, names, "Mode")
            self.assertEqual([member.value for member in mode], [1, 2])


if __name__ == "__main__":
    unittest.main()
