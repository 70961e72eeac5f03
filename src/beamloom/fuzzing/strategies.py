"""Hypothesis strategies for the arguments of each subject's actions.

Only modules that need hypothesis anyway may import this one.
"""

from __future__ import annotations

import math
import random
from collections.abc import Mapping

import cbor2
from hypothesis import strategies as st

from beamloom.fuzzing.catalogue import SubjectName
from beamloom.fuzzing.subjects.codec import GOOD_BACKEND, PARSERS
from beamloom.fuzzing.subjects.settings import NAMES, SCOPES
from beamloom.platform.store_encoding import encode_backend
from beamloom.protocol.messages import MESSAGE_TYPES
from beamloom.routing.hashing import PARTITION_COUNT
from beamloom.settings.declarations import DECLARATIONS, SettingDeclaration, SettingType
from beamloom.simulation.deployment import VAKATALE
from beamloom.standins.another_writer import make_content

Arguments = Mapping[str, st.SearchStrategy[object]]
"""Strategies for the arguments of one action, by the argument's name."""
Actions = Mapping[str, Arguments]
"""Strategies for the arguments of each action, by the action's name."""

BEGIN = "begin"
"""The action that comes first and only once, in subjects that have it."""


def _seconds(shortest: float, longest: float) -> st.SearchStrategy[object]:
    """Draw times in steps of 0.25 s, which keeps tokens short."""
    quarters = st.integers(int(shortest * 4), int(longest * 4))
    return quarters.map(lambda count: count / 4)


def _hundredths(lowest: int, highest: int) -> st.SearchStrategy[object]:
    return st.integers(lowest, highest).map(lambda count: count / 100)


_NODE: Arguments = {"node": st.integers(0, 5)}
_SERVICE: Arguments = {"service": st.integers(0, len(VAKATALE.services) - 1)}
_SCOPE: Arguments = {"scope": st.integers(0, 1), "bound": _hundredths(2, 30)}

FLEET: Actions = {
    BEGIN: {
        "seed": st.integers(1, 1000),
        "nodes": st.integers(2, 4),
        "failures": st.booleans(),
    },
    "let_time_pass": {"seconds": _seconds(0.25, 8.0)},
    "open_streams": {**_SERVICE, "count": st.integers(1, 10)},
    "send_requests": {**_SERVICE, "count": st.integers(1, 10)},
    "start_node": {},
    "stop_node": _NODE,
    "crash_node": _NODE,
    "pause_node": {**_NODE, "seconds": _seconds(0.5, 20.0)},
    "isolate_node": {**_NODE, "seconds": _seconds(0.5, 20.0)},
    "deafen_node": {**_NODE, "seconds": _seconds(0.5, 20.0)},
    "lose_datagrams": {"loss": _hundredths(1, 20), "seconds": _seconds(1.0, 20.0)},
    "drain_backend": {**_SERVICE, "backend": st.integers(0, 6)},
    "add_backend": {**_SERVICE, "cold_seconds": _seconds(0.0, 20.0)},
    "change_setting": _SCOPE,
    "race_operators": _SCOPE,
    "stop_store": {"seconds": _seconds(1.0, 20.0)},
    "slow_store": {"delay": _seconds(0.25, 3.0), "seconds": _seconds(1.0, 20.0)},
    "lose_store_answers": {"seconds": _seconds(1.0, 20.0)},
}

_CHOICES = sorted({choice for item in DECLARATIONS.values() for choice in item.choices})
_ARBITRARY_VALUES: st.SearchStrategy[object] = st.one_of(
    st.booleans(),
    st.integers(-1, 200),
    st.sampled_from([0.01, 0.5, 1.5, 1e13, -0.5]),
    st.sampled_from([*_CHOICES, "", "other"]),
    st.none(),
)


def _valid_values(declaration: SettingDeclaration) -> st.SearchStrategy[object]:
    """Draw valid values: any choice, any boolean, or the finite bounds and the default."""
    if declaration.choices:
        return st.sampled_from(declaration.choices)
    if declaration.value_type is SettingType.BOOLEAN:
        return st.booleans()
    bounds = (declaration.minimum, declaration.maximum)
    numbers = [bound for bound in bounds if math.isfinite(bound)]
    if declaration.value_type is SettingType.INTEGER:
        numbers = [int(bound) for bound in numbers]
    return st.sampled_from([*numbers, declaration.default])


def _override(index: int) -> st.SearchStrategy[object]:
    """Draw the index of a setting in `NAMES` and a valid or arbitrary value for it."""
    valid = _valid_values(DECLARATIONS[NAMES[index]])
    return st.tuples(st.just(index), valid | valid | _ARBITRARY_VALUES).map(list)


_SCOPE_INDEX: Arguments = {"scope": st.integers(0, len(SCOPES) - 1)}
_SCOPE_OVERRIDE: Arguments = {
    **_SCOPE_INDEX,
    "override": st.integers(0, len(NAMES) - 1).flatmap(_override),
}
SETTINGS: Actions = {
    "set_value": _SCOPE_OVERRIDE,
    "clear_value": {**_SCOPE_INDEX, "name": st.integers(0, len(NAMES) - 1)},
    "delete_scope": _SCOPE_INDEX,
    "repeat_old_change": _SCOPE_OVERRIDE,
}

_KEY: Arguments = {"key": st.integers(0, 1)}
STORE: Actions = {
    "create": _KEY,
    "update": _KEY,
    "delete": _KEY,
    "inject": {
        "down": st.booleans(),
        "delay": _seconds(0.0, 1.0),
        "lost_answers": st.integers(0, 3),
    },
    "let_time_pass": {"seconds": _hundredths(1, 200)},
}

# Few keys, so that most steps affect entries of earlier steps.
_FLOW_KEYS = st.builds(
    lambda low, high: low + high * PARTITION_COUNT, st.integers(0, 3), st.integers(0, 7)
)
FLOW_TABLE: Actions = {
    "insert": {
        "key": _FLOW_KEYS,
        "backend": st.integers(0, 3),
        "flags": st.integers(0, 127),
        "deadline": _seconds(0.0, 10.0),
        "now": _seconds(0.0, 10.0),
    },
    "remove": {"key": _FLOW_KEYS},
    "expire": {"now": _seconds(0.0, 10.0)},
    "scan_partition": {"partition": st.integers(0, 4)},
    "scan_backend": {"backend": st.integers(0, 4)},
}

_CLIENT: Arguments = {"client": st.integers(1, 12)}
_ROUTER: Arguments = {"node": st.integers(0, 1)}
_BACKEND: Arguments = {"number": st.integers(0, 5)}
_DESTINATION: Arguments = {"destination": st.integers(0, 2)}
TOKEN_ROUTER: Actions = {
    "add": {**_BACKEND, "service": st.integers(0, 1)},
    "drain": _BACKEND,
    "remove": _BACKEND,
    "route": {**_DESTINATION, "service": st.integers(0, 1)},
    "open": {**_CLIENT, **_DESTINATION, **_ROUTER},
    "send": {**_CLIENT, **_ROUTER, "size": st.integers(0, 99)},
    "forge": {
        **_CLIENT,
        **_DESTINATION,
        **_ROUTER,
        "token": st.integers(0, 0xFFFF_FFFF),
    },
    "wait": {"tenths": st.integers(0, 299)},
}

_CBOR_ITEMS = st.recursive(
    st.none() | st.booleans() | st.integers() | st.text(max_size=8) | st.binary(max_size=24),
    lambda inner: st.lists(inner, max_size=5) | st.dictionaries(st.text(max_size=4), inner),
    max_leaves=8,
)
_MESSAGES = st.builds(
    lambda kind, values: [kind, *values],
    st.sampled_from(sorted(MESSAGE_TYPES)),
    st.lists(_CBOR_ITEMS, max_size=8),
)
_ENVELOPES = st.builds(
    lambda messages: cbor2.dumps([1, "node-1", 1, 1, messages]), st.lists(_MESSAGES, max_size=3)
)
_TOML_TOKENS = (
    "[node] [[zones]] [[tenants]] [[tenants.services]] [fleet] name id zone region networks "
    'ip port settings = "a" 1 true []'
)
_DRAWN_TOML_TOKENS = st.sampled_from([*_TOML_TOKENS.split(), "\n", "\n"])
_TOML_FILES = st.lists(_DRAWN_TOML_TOKENS, max_size=24).map(lambda words: " ".join(words).encode())
_JSON_TOKENS = (
    '{ } [ ] : , {} [] null 1 -1 1e400 "revision" "objects" "object" "changes" "key" "value" '
    '"live" "leaving" "data_address"'
)
_DRAWN_JSON_TOKENS = st.sampled_from(_JSON_TOKENS.split())
_JSON_BODIES = st.lists(_DRAWN_JSON_TOKENS, max_size=24).map(lambda words: "".join(words).encode())
_PACKETS = st.builds(
    lambda first, rest: bytes((first,)) + rest,
    st.sampled_from([0x45, 0x60, 0x46, 0x00]),
    st.binary(max_size=120),
)
_FOREIGN_CONTENTS = st.integers(0, (1 << 32) - 1).map(
    lambda seed: make_content(encode_backend(GOOD_BACKEND), random.Random(seed))
)
_BYTES = st.one_of(
    st.binary(max_size=200), _ENVELOPES, _TOML_FILES, _JSON_BODIES, _PACKETS, _FOREIGN_CONTENTS
)
CODEC: Actions = {
    "parse": {
        "parser": st.sampled_from(sorted(PARSERS)),
        "data": _BYTES.map(bytes.hex),
    }
}

STRATEGIES: Mapping[SubjectName, Actions] = {
    SubjectName.FLEET: FLEET,
    SubjectName.SETTINGS: SETTINGS,
    SubjectName.STORE: STORE,
    SubjectName.FLOW_TABLE: FLOW_TABLE,
    SubjectName.TOKEN_ROUTER: TOKEN_ROUTER,
    SubjectName.CODEC: CODEC,
}
