"""Substitutes for modules of the standard library, compared with the modules themselves."""

import json
import math
import socket
import typing
import unittest
from collections.abc import Callable

from beamloom.runtime import light_modules

VALID_TEXTS: tuple[str | bytes, ...] = (
    '{"a": [1, 2.5, -3e4, true, false, null, "\\u00e9\\n"], "b": {}}',
    ' \n\t{"a": 1}\r\n ',
    b'{"name": "caf\xc3\xa9"}',
    "[]",
    '"text"',
    "NaN",
    "-Infinity",
    b'\xef\xbb\xbf{"mark": 1}',
    '{"a": 1}'.encode("utf-16"),
    '{"a": 1}'.encode("utf-32-be"),
)
INVALID_TEXTS: tuple[str | bytes, ...] = (
    "",
    "  ",
    "{",
    '{"a": 1} rest',
    "nonsense",
    '{"a": \x01}',
    '\ufeff{"a": 1}',
    b"\xff\xfe{",
    b'{"a": "\xff"}',
)


def outcome(load: Callable[[str | bytes], object], text: str | bytes) -> str:
    """Return the `repr` of a decoded text, or the type and message of the error."""
    try:
        return repr(load(text))
    except ValueError as error:
        return f"{type(error).__name__}: {error}"


class JsonTest(unittest.TestCase):
    def test_decoding_matches_json(self) -> None:
        for text in (*VALID_TEXTS, *INVALID_TEXTS):
            with self.subTest(text=text):
                expected = outcome(json.loads, text)
                self.assertEqual(outcome(light_modules.load_json, text), expected)

    def test_encoding_matches_json(self) -> None:
        for value in ({"a": [1, 2.5, True, None, "é\n\ud800"]}, [], "x", math.inf, {1: 2}, (1, 2)):
            with self.subTest(value=value):
                self.assertEqual(light_modules.dump_json(value), json.dumps(value))
        options = {"sort_keys": True, "separators": (",", ":")}
        encoded = light_modules.dump_json({"b": 1, "a": 2}, **options)
        self.assertEqual(encoded, '{"a":2,"b":1}')

    def test_values_that_cannot_be_encoded_raise(self) -> None:
        cycle: list[object] = []
        cycle.append(cycle)
        for value, error in ((object(), TypeError), ({1, 2}, TypeError), (cycle, ValueError)):
            with self.assertRaises(error):
                light_modules.dump_json(value)


class SocketTest(unittest.TestCase):
    def test_a_connection_is_accepted(self) -> None:
        names = light_modules.socket_names()
        socket_class: typing.Any = names["socket"]
        with socket_class(socket.AF_INET, socket.SOCK_STREAM) as listener:
            listener.bind(("127.0.0.1", 0))
            listener.listen()
            with socket_class(names["AF_INET"], names["SOCK_STREAM"]) as client:
                client.connect(listener.getsockname())
                accepted, address = listener.accept()
                with accepted:
                    self.assertEqual(address, client.getsockname())
                    accepted.sendall(b"hello")
                    self.assertEqual(client.recv(10), b"hello")
        self.assertEqual(listener.fileno(), -1)

    def test_constants_and_errors_equal_those_of_socket(self) -> None:
        names = light_modules.socket_names()
        shared = [name for name in names if name.isupper() and hasattr(socket, name)]
        self.assertGreater(len(shared), 100)
        for name in shared:
            self.assertEqual(names[name], getattr(socket, name), name)
        for name in ("error", "gaierror", "herror", "timeout"):
            self.assertIs(names[name], getattr(socket, name), name)
        self.assertNotIn(
            "getaddrinfo",
            names,
            "the getaddrinfo of the socket module returns enumeration members",
        )


if __name__ == "__main__":
    unittest.main()
