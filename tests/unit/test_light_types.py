"""The stand-ins for `typing` and `enum` make types that behave as the modules' own do."""

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
    """Return a class that is defined by a text with the names of a module."""
    scope: dict[str, object] = {**names, "__name__": "module"}
    exec(text, scope)
    return scope[name]


def raised(act: typing.Callable[[], object]) -> type[BaseException] | None:
    """Return what kind of error an action ends with."""
    try:
        act()
    except Exception as error:
        return type(error)
    return None


class NamedTupleTest(unittest.TestCase):
    def test_records_are_alike(self) -> None:
        described = []
        for names in (vars(typing), light_types.typing_names()):
            record = define(RECORD, names, "Record")
            one = record("a", (1, 2))
            described.append(
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
        self.assertEqual(described[0], described[1])

    def test_wrong_use_is_refused_alike(self) -> None:
        kinds = []
        for names in (vars(typing), light_types.typing_names()):
            record = define(RECORD, names, "Record")
            one = record("a", ())
            kinds.append(
                [
                    raised(lambda record=record: record("a")),
                    raised(lambda record=record: record("a", (), 1.0, 2)),
                    raised(lambda record=record: record("a", (), weigth=1.0)),
                    raised(lambda record=record: record._make(["a"])),
                    raised(lambda one=one: one._replace(weigth=1.0)),
                    raised(lambda one=one: setattr(one, "name", "b")),
                    raised(lambda one=one: setattr(one, "other", "b")),
                ]
            )
        self.assertEqual(kinds[0], kinds[1])
        self.assertNotIn(None, kinds[0])

    def test_a_record_of_many_fields_and_one_of_none(self) -> None:
        for text, name in ((LONG, "Long"), ("class Empty(NamedTuple): pass", "Empty")):
            made = [
                repr(define(text, names, name)())
                for names in (vars(typing), light_types.typing_names())
            ]
            self.assertEqual(made[0], made[1])

    def test_a_class_pattern_matches_by_position(self) -> None:
        record = define(RECORD, light_types.typing_names(), "Record")
        match record("a", (1,)):
            case record(name, values):
                self.assertEqual((name, values), ("a", (1,)))
            case _:
                self.fail("no match")


class EnumTest(unittest.TestCase):
    def test_plain_enumerations_are_alike(self) -> None:
        described = []
        for names in (vars(enum), light_types.enum_names()):
            state = define(STATE, names, "State")
            described.append(
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
                    raised(lambda state=state: state("unknown")),
                    raised(lambda state=state: state["UNKNOWN"]),
                    raised(lambda state=state: state.UNKNOWN),
                )
            )
        self.assertEqual(described[0], described[1])

    def test_values_that_are_given_by_number(self) -> None:
        text = "class Mode(Enum):\n    FIRST = auto()\n    SECOND = auto()\n"
        for names in (vars(enum), light_types.enum_names()):
            mode = define(text, names, "Mode")
            self.assertEqual([member.value for member in mode], [1, 2])


if __name__ == "__main__":
    unittest.main()
