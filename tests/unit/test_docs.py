"""Links, commands, flags and settings in pages exist; every scenario has a row for operators."""

import itertools
import re
import shlex
import unittest
from collections.abc import Iterator
from pathlib import Path

from cyclopts import App

from beamloom.cli.main import make_app
from beamloom.settings.declarations import DECLARATIONS
from beamloom.simulation.scenarios import SCENARIOS

ROOT = Path(__file__).resolve().parents[2]
PAGES = sorted([*ROOT.glob("*.md"), *(ROOT / "docs").rglob("*.md")])
LINK = re.compile(r"\]\(([^)\s]+)\)")
CODE_BLOCK = re.compile(r"^```[^\n]*\n(.*?)^```|(?<=\n\n)((?: {4}[^\n]*\n)+)", re.M | re.S)
INLINE_CODE = re.compile(r"`([^`\n]+)`")
HEADING = re.compile(r"^#+ (.+)$", re.M)
NAMED_PAGE = re.compile(r"docs/[\w/.-]+\.md")
COMMAND_WORD = re.compile(r"[a-z][a-z-]*")
FLAG = re.compile(r"--[a-z][a-z-]*")
SETTING = re.compile(rf"(?:{'|'.join({name.split('.')[0] for name in DECLARATIONS})})\.[a-z_]+")
COMMON_FLAGS = {"--help", "--version", "--install-completion"}


def command_lines(text: str) -> Iterator[str]:
    """Yield the arguments of `beamloom` commands in code blocks and inline code of a page."""
    blocks = "\n".join(first or second for first, second in CODE_BLOCK.findall(text))
    lines = blocks.replace("\\\n", " ").splitlines()
    for line in itertools.chain(lines, INLINE_CODE.findall(text)):
        program, _, rest = line.strip().partition(" ")
        if program == "beamloom":
            yield rest


def without_code(text: str) -> str:
    return INLINE_CODE.sub("", CODE_BLOCK.sub("", text))


def anchors(page: Path) -> set[str]:
    headings = HEADING.findall(page.read_text())
    return {re.sub(r"[^\w -]", "", item.lower()).replace(" ", "-") for item in headings}


def known_flags(app: App) -> set[str]:
    arguments = app.assemble_argument_collection() if app.default_command else ()
    return {name for argument in arguments for name in argument.names} | COMMON_FLAGS


def error_in_command(app: App, line: str) -> str | None:
    """Return the error in a command line, which may be only the beginning of a command."""
    words = shlex.split(line, comments=True)
    path = list(itertools.takewhile(COMMAND_WORD.fullmatch, words))
    for word in path:
        if app.default_command is not None:
            break
        if word not in set(app):
            return f"{word!r} is not a command of {' '.join(app.name)}"
        app = app[word]
    unknown = {flag for flag in words if FLAG.fullmatch(flag)} - known_flags(app)
    return f"no flag {', '.join(sorted(unknown))}" if unknown else None


class PagesTest(unittest.TestCase):
    def test_links_resolve(self) -> None:
        for page in PAGES:
            for link in LINK.findall(without_code(page.read_text())):
                path, _, anchor = link.partition("#")
                if "://" in path:
                    continue
                with self.subTest(page=page.relative_to(ROOT), link=link):
                    target = (page.parent / path).resolve() if path else page
                    self.assertTrue(target.exists())
                    if anchor:
                        self.assertIn(anchor, anchors(target))

    def test_pages_named_in_the_code_exist(self) -> None:
        for path in sorted((ROOT / "src" / "beamloom").rglob("*.py")):
            for name in NAMED_PAGE.findall(path.read_text()):
                with self.subTest(module=path.relative_to(ROOT), page=name):
                    self.assertTrue((ROOT / name).exists())

    def test_commands_and_flags_exist(self) -> None:
        app = make_app()
        found = 0
        for page in PAGES:
            for line in command_lines(page.read_text()):
                found += 1
                with self.subTest(page=page.relative_to(ROOT), line=line):
                    self.assertIsNone(error_in_command(app, line))
        self.assertGreater(found, 40)

    def test_settings_named_in_pages_exist(self) -> None:
        for page in PAGES:
            for name in filter(SETTING.fullmatch, INLINE_CODE.findall(page.read_text())):
                with self.subTest(page=page.relative_to(ROOT), setting=name):
                    self.assertIn(name, DECLARATIONS)

    def test_every_scenario_has_a_row_for_operators(self) -> None:
        page = ROOT / "docs" / "operators" / "index.md"
        rows = re.findall(r"\| `beamloom simulate ([a-z-]+)` \|$", page.read_text(), re.M)
        self.assertEqual(sorted(rows), sorted(SCENARIOS))

    def test_an_unknown_command_or_flag_is_detected(self) -> None:
        app = make_app()
        self.assertIsNone(error_in_command(app, "backend drain T/S/B --undo"))
        self.assertIsNotNone(error_in_command(app, "backend drian T/S/B"))
        self.assertIsNotNone(error_in_command(app, "backend drain T/S/B --undoo"))


if __name__ == "__main__":
    unittest.main()
