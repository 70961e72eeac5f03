import io
import json
import tempfile
import unittest
from contextlib import redirect_stderr, redirect_stdout
from pathlib import Path

from beamloom.cli.main import main
from beamloom.experiments.definition import check_experiment
from beamloom.experiments.plan import ForwardingCell, SimulationCell
from beamloom.experiments.report import write_report
from beamloom.experiments.results import CellResult
from beamloom.settings.toml_source import parse_toml
from beamloom.simulation.report import to_json
from beamloom.simulation.scenarios import SCENARIOS
from beamloom.simulation.simulation import RunOptions, simulate

TINY = """
name = "tiny"

[[sweeps]]
scenarios = ["steady"]
placements = ["home", "modulo"]
seeds = [1, 2]
nodes = [2]
flows = 6
duration_seconds = 12.0
"""
FIGURES = {
    "flows": 100,
    "broken_flows": 5,
    "violations": [],
    "imbalance": 1.2,
    "config_in_force_seconds": {"p50": 0.1, "p99": 0.2, "max": 0.3},
    "control_bytes_per_second": {"median": 200.0, "max": 900.0},
    "placement": "home",
    "scenario": "steady",
}
VIOLATION = {"invariant": "at-most-once", "time": 1.0, "subject": "flow-1", "detail": "twice"}


def _call(*tokens: str) -> tuple[int, str]:
    output = io.StringIO()
    with redirect_stdout(output), redirect_stderr(output):
        status = main(["experiment", *tokens])
    return status, output.getvalue()


class ExperimentCommandTest(unittest.TestCase):
    def setUp(self) -> None:
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.directory = Path(directory.name)
        self.file = self.directory / "tiny.toml"
        self.file.write_text(TINY)

    def _output(self, name: str) -> list[str]:
        return ["--output", str(self.directory / name)]

    def test_two_parts_joined_equal_one(self) -> None:
        for name, parts in (("one", ["1/1"]), ("two", ["1/2", "2/2"])):
            for part in parts:
                status, _ = _call(str(self.file), *self._output(name), "--part", part)
                self.assertEqual(status, 0)
            self.assertEqual(_call(str(self.file), *self._output(name), "--join")[0], 0)
        made = {path.name for path in (self.directory / "one").iterdir()} - {"part-1-of-1.jsonl"}
        self.assertLessEqual({"REPORT.md", "results.jsonl", "broken-flows.svg"}, made)
        for name in made:
            one, two = (self.directory / where / name for where in ("one", "two"))
            self.assertEqual(one.read_bytes(), two.read_bytes(), name)
        first = json.loads((self.directory / "one" / "results.jsonl").read_text().splitlines()[0])
        run = simulate(SCENARIOS["steady"], RunOptions(1, 2, 6, 12.0))
        self.assertEqual(first["figures"], json.loads(to_json(run)))

    def test_join_rejects_missing_duplicated_and_unexpected_results(self) -> None:
        output = self.directory / "out"
        output.mkdir()
        status, text = _call(str(self.file), *self._output("out"), "--join")
        self.assertEqual(status, 1)
        self.assertIn("4 missing", text)
        cells = [SimulationCell("steady", "home", 2, seed, 6, 12.0) for seed in (1, 9)]
        lines = [CellResult(cell, FIGURES).to_line() for cell in (*cells, cells[0])]
        (output / "part-1-of-1.jsonl").write_text("\n".join(lines))
        _, text = _call(str(self.file), *self._output("out"), "--join")
        self.assertIn("3 missing, 1 given twice, 1 of another experiment", text)
        (output / "part-1-of-1.jsonl").write_text('{"simulation": 3}')
        _, text = _call(str(self.file), *self._output("out"), "--join")
        self.assertIn("part-1-of-1.jsonl cannot be read", text)

    def test_errors_name_the_remedy(self) -> None:
        output = self._output("out")
        status, text = _call(str(self.file), *output, "--part", "3/2")
        self.assertEqual(status, 1)
        self.assertIn("give K/N", text)
        self.assertEqual(_call(str(self.file), *output, "--part", "1/2", "--join")[0], 2)
        self.file.write_text(TINY.replace("steady", "gale").replace("flows = 6", "flows = -1"))
        status, text = _call(str(self.file), *output)
        self.assertEqual((status, text.count("error: ")), (1, 2))


class ReportTest(unittest.TestCase):
    def test_report_contains_the_results_and_is_reproducible(self) -> None:
        definition = check_experiment(parse_toml(TINY))
        bad = {**FIGURES, "placement": "modulo", "violations": [VIOLATION], "broken_flows": 50}
        results = [
            CellResult(SimulationCell("steady", "home", 2, 1, 6, 12.0), FIGURES),
            CellResult(SimulationCell("steady", "home", 8, 1, 6, 12.0), FIGURES),
            CellResult(SimulationCell("steady", "modulo", 2, 1, 6, 12.0), bad),
            CellResult(
                SimulationCell("storm", "home", 2, 1, 6, 12.0), {**FIGURES, "scenario": "storm"}
            ),
            CellResult(ForwardingCell(1000), {"decision_microseconds": 2.5}),
        ]
        with tempfile.TemporaryDirectory() as first, tempfile.TemporaryDirectory() as second:
            for directory in (Path(first), Path(second)):
                write_report(directory, definition, results, "beamloom experiment tiny.toml")
            contents = [
                {path.name: path.read_bytes() for path in Path(directory).iterdir()}
                for directory in (first, second)
            ]
        self.assertEqual(*contents)
        page = contents[0]["REPORT.md"].decode()
        self.assertIn("| steady | home | 1 | 100 | 5 | 50.00 | 0 | 1.200 | 1.200 |", page)
        self.assertIn("| steady | modulo | 1 | 100 | 50 | 500.00 | 1 | 1.200 | 1.200 |", page)
        self.assertIn("| 2 | 1 | 5 | 0.100 | 0.300 | 200 | 900 |", page)
        self.assertIn("| 8 | 1 | 5 | 0.100 | 0.300 | 200 | 900 |", page)
        self.assertIn("| 1000 | 2.50 |", page)
        self.assertIn("violations in 1 runs: 1 with modulo", page)
        plots = {name for name in contents[0] if name.endswith(".svg")}
        self.assertEqual(len(plots), 5)
        for name in plots:
            self.assertIn(f"]({name})", page)
            self.assertNotIn(b"<dc:date>", contents[0][name])


if __name__ == "__main__":
    unittest.main()
