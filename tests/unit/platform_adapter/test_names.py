"""No module outside the adapter uses the platform's names."""

import ast
import unittest
from collections.abc import Iterator
from pathlib import Path

PACKAGE = Path(__file__).resolve().parents[3] / "src" / "beamloom"
ADAPTER = PACKAGE / "platform"
MAXIMUM_LINES = 620
PLATFORM_NAMES = (
    "BEAMLOOM_CONFIG",
    "beamloom/objects",
    "beamloom/readiness",
    "bind-addrs",
    "config-apply-ms",
    "contact-ms",
    "datagram-addr",
    "drain-ms",
    "flow-max-s",
    "hostname",
    "idle-timeout-ms",
    "node-name",
    "path-prefix",
    "port-range",
    "wait-ms",
    "warmup-left-ms",
)


def texts(source: str) -> Iterator[str]:
    """Yield the string literals of a module, including docstrings."""
    for node in ast.walk(ast.parse(source)):
        if isinstance(node, ast.Constant) and isinstance(node.value, str):
            yield node.value


class PlatformNamesTest(unittest.TestCase):
    def test_only_the_adapter_uses_them(self) -> None:
        modules = [path for path in PACKAGE.rglob("*.py") if ADAPTER not in path.parents]
        self.assertGreater(len(modules), 100)
        for path in modules:
            found = {
                name for text in texts(path.read_text()) for name in PLATFORM_NAMES if name in text
            }
            with self.subTest(module=path.relative_to(PACKAGE)):
                self.assertEqual(found, set())

    def test_the_adapter_uses_all_of_them(self) -> None:
        known = " ".join(text for path in ADAPTER.glob("*.py") for text in texts(path.read_text()))
        self.assertEqual([name for name in PLATFORM_NAMES if name not in known], [])

    def test_the_adapter_stays_small(self) -> None:
        lines = sum(len(path.read_text().splitlines()) for path in ADAPTER.glob("*.py"))
        self.assertLessEqual(lines, MAXIMUM_LINES)
