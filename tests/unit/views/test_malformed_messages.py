"""Messages of nodes of other versions, whose fields may hold anything that CBOR can carry."""

import random
import unittest
from contextlib import suppress
from dataclasses import fields, replace

from beamloom.protocol.messages import Message
from beamloom.protocol.opening_messages import OpeningQuery, OpeningReport
from beamloom.protocol.view_messages import (
    AskElsewhere,
    BackendsDown,
    ViewDigest,
    ViewPart,
    ViewRequest,
)
from beamloom.settings.mechanisms import ALL_MECHANISMS
from tests.unit.tokens.builders import backend, make_core

CASES = 4000
USUAL_MESSAGES: tuple[Message, ...] = (
    ViewDigest([[20, 5], [20, 5]], [("5-a", 3)], [("10.0.0.3", 7)], "west", [("b", "r", 1)]),
    ViewRequest(0, -1),
    AskElsewhere(0, ["10.0.0.4"]),
    ViewPart(0, 1, 0, 1, b"\x84"),
    BackendsDown(["i-00000001"]),
    OpeningQuery([b"flow"]),
    OpeningReport([(b"flow", "i-00000001", 7)], [b"other"]),
)
HOST = "10.0.0.1"
ODD_VALUES: tuple[object, ...] = (
    None,
    True,
    -1,
    0,
    1,
    1.5,
    float("nan"),
    float("inf"),
    10**30,
    10**400,
    "",
    "\ud800",
    "10.0.0.2",
    b"",
    b"\xff\x00",
    [],
    {},
    [[]],
    [[1, 2]],
    [["a", 1]],
    [["a", 10**400]],
    [["a", "b", 1]],
    [[9, float("inf")]],
    [[10**400, 0], [0, 0]],
    [None, 1],
    [b"a"],
    [["a"]],
    {1: 2},
)


def make_message(rng: random.Random) -> Message:
    """Return a message of which one field, or each, has an odd value."""
    usual = rng.choice(USUAL_MESSAGES)
    names = [field.name for field in fields(usual)]
    odd = names if rng.random() < 0.2 else [rng.choice(names)]
    return replace(usual, **{name: rng.choice(ODD_VALUES) for name in odd})


class MalformedMessageTest(unittest.TestCase):
    def test_any_message_is_handled_or_raises_a_declared_error(self) -> None:
        """Guards against errors that the driver of the core does not expect."""
        rng = random.Random(47)
        core = make_core(ALL_MECHANISMS, backend(1))
        core.join_peers("10.0.0.9", ())
        for number in range(CASES):
            message = make_message(rng)
            now = 11.0 + number / 100
            with self.subTest(message=ascii(message)[:300]):
                with suppress(TypeError, ValueError):
                    core.handle_message(HOST, message, now)
                core.advance(now)
                core.take_sends()


if __name__ == "__main__":
    unittest.main()
