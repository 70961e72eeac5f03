"""Errors of the command line: one line each, with the remedy and the right exit status."""

import importlib.resources
import io
import json
import tempfile
import unittest
from contextlib import redirect_stderr, redirect_stdout
from pathlib import Path
from unittest import mock

from beamloom.cli import commands
from beamloom.cli.main import main

EXAMPLES = importlib.resources.files("beamloom.examples")


def run(*arguments: str) -> tuple[int, str, str]:
    output, errors = io.StringIO(), io.StringIO()
    with redirect_stdout(output), redirect_stderr(errors):
        status = main(arguments)
    return status, output.getvalue(), errors.getvalue()


@mock.patch.dict("os.environ", clear=True)
class CommandLineTest(unittest.TestCase):
    def test_error_is_one_line_with_the_remedy(self) -> None:
        for arguments, status, remedy in (
            (("chek", "x"), 2, 'Did you mean "check"?'),
            (("check",), 2, "FILE"),
            (("settings", "tree", "--format", "xml"), 2, "table"),
            (("settings", "tree"), 1, "--platform"),
            (("settings", "tree", "--platform", "http://127.0.0.1:1"), 1, "--platform-token-file"),
            (("settings", "get", "--at", "service/x"), 1, "tenant/T/service/S"),
            (("settings", "set", "flow.idle_timeot", "1"), 1, "did you mean flow.idle_timeout?"),
            (("settings", "set", "flow.idle_timeout", "1h"), 1, "1 to 86400"),
            (
                ("settings", "set", "limit.open_flows", "1", "--at", "tenant/a/service/b"),
                1,
                "global or tenant",
            ),
        ):
            with self.subTest(arguments=arguments):
                found, output, errors = run(*arguments)
                self.assertEqual((found, output), (status, ""))
                lines = errors.splitlines()
                self.assertIn(remedy, lines[0])
                self.assertEqual(len(lines), 1)

    def test_error_group_is_printed_one_line_per_error(self) -> None:
        group = ExceptionGroup("two", [OSError("one"), ExceptionGroup("in", [OSError("two")])])
        with mock.patch.object(commands.check, "check_file", side_effect=group):
            self.assertEqual(run("check", "x"), (1, "", "error: one\nerror: two\n"))

    def test_unexpected_error_keeps_its_traceback(self) -> None:
        group = ExceptionGroup("mixed", [OSError("one"), ZeroDivisionError()])
        with (
            mock.patch.object(commands.check, "check_file", side_effect=group),
            self.assertRaises(ExceptionGroup),
        ):
            run("check", "x")

    def test_check_reports_all_faults(self) -> None:
        text = EXAMPLES.joinpath("node.toml").read_text()
        broken = text.replace("4096", '"4 KB"').replace("seeds", "seed")
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "node.toml"
            path.write_text(broken)
            status, output, errors = run("check", str(path))
            self.assertEqual((status, len(output.splitlines()), errors), (1, 2, ""))
            status, output, _ = run("check", str(path), "--format", "json")
            faults = json.loads(output)["faults"]
            self.assertEqual(status, 1)
            self.assertEqual(
                [fault["key"] for fault in faults],
                ["fleet.seed", "fleet.control_budget_bytes_per_second"],
            )
            for fault in faults:
                self.assertIn(fault["key"].split(".")[1], broken.splitlines()[fault["line"] - 1])
            path.write_text("[other]\n")
            self.assertEqual(run("check", str(path))[0], 1)

    def test_check_accepts_the_examples(self) -> None:
        for name in ("node", "vakatale", "tairi"):
            with importlib.resources.as_file(EXAMPLES / f"{name}.toml") as path:
                status, output, _ = run("check", str(path))
            self.assertEqual(status, 0)
            self.assertIn("good", output)
