"""The decision core uses no global random numbers, files or clocks.

import-linter forbids whole modules. This test covers what it cannot see: `random` may be imported
for the type `random.Random`, and builtins such as `open` need no import.
"""

import ast
import unittest
from collections.abc import Iterator
from pathlib import Path

PACKAGE = Path(__file__).resolve().parents[2] / "src" / "beamloom"
CORE = ("model", "protocol", "routing", "admission", "membership", "replication", "node")
FORBIDDEN_MODULES = {"os", "sys", "pathlib", "datetime", "uuid", "threading", "subprocess"}
FORBIDDEN_BUILTINS = {"open", "print", "input"}


def forbidden_uses(source: str) -> Iterator[str]:
    """Yield the forbidden imports and calls of a module."""
    for node in ast.walk(ast.parse(source)):
        match node:
            case ast.Import(names):
                yield from (item.name for item in names if item.name in FORBIDDEN_MODULES)
            case ast.ImportFrom(module=module) if module in FORBIDDEN_MODULES | {"random"}:
                yield f"from {module}"
            case ast.Attribute(ast.Name("random"), name) if name != "Random":
                yield f"random.{name}"
            case ast.Attribute(ast.Name("np" | "numpy"), "random"):
                yield "numpy.random"
            case ast.Call(ast.Attribute(ast.Name("random"), "Random"), [], []):
                yield "random.Random() without a seed"
            case ast.Call(ast.Name(name)) if name in FORBIDDEN_BUILTINS:
                yield f"{name}()"


class CoreBordersTest(unittest.TestCase):
    def test_core_uses_no_global_randomness_file_or_clock(self) -> None:
        modules = [path for name in CORE for path in sorted((PACKAGE / name).rglob("*.py"))]
        self.assertGreater(len(modules), len(CORE))
        for path in modules:
            with self.subTest(module=path.relative_to(PACKAGE)):
                self.assertEqual(list(forbidden_uses(path.read_text())), [])

    def test_each_fault_is_found(self) -> None:
        for source in (
            "import os",
            "from random import choice",
            "random.choice(x)",
            "np.random.default_rng()",
            "rng = random.Random()",
            "open('x')",
        ):
            with self.subTest(source=source):
                self.assertEqual(len(list(forbidden_uses(source))), 1)


if __name__ == "__main__":
    unittest.main()
