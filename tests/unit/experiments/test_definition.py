import unittest

from beamloom.experiments.definition import check_experiment
from beamloom.experiments.errors import PartError
from beamloom.experiments.plan import ForwardingCell, Part, SimulationCell, cells_of
from beamloom.settings.file_faults import SettingsFileError
from beamloom.settings.toml_source import parse_toml

GOOD = """
name = "small"

[[sweeps]]
scenarios = ["steady", "storm"]
placements = ["home", "modulo"]
seeds = [1, 2, 3]
nodes = [2, 4]
flows = 10

[[sweeps]]
scenarios = ["steady"]
placements = ["home"]
seeds = [1]
nodes = [2, 8]
flows = 10

[forwarding]
open_flows = [100]
"""
BAD = """
name = "small"
colour = "red"

[[sweeps]]
scenarios = ["steady", "gale"]
placements = ["home", "best"]
seeds = [1, 1]
nodes = [0]
flows = "many"
duration_ms = 5

[[sweeps]]
scenarios = []
placements = ["home"]
seeds = [1]
nodes = [2]
"""


def _faults(text: str) -> list[SettingsFileError]:
    try:
        check_experiment(parse_toml(text))
    except ExceptionGroup as group:
        return [fault for fault in group.exceptions if isinstance(fault, SettingsFileError)]
    return []


class DefinitionTest(unittest.TestCase):
    def test_all_faults_are_reported_at_once_with_lines(self) -> None:
        reported = {(fault.line, fault.key) for fault in _faults(BAD)}
        expected = {
            (3, "colour"),
            (6, "sweeps[1].scenarios"),
            (7, "sweeps[1].placements"),
            (8, "sweeps[1].seeds"),
            (9, "sweeps[1].nodes[1]"),
            (10, "sweeps[1].flows"),
            (11, "sweeps[1].duration_ms"),
            (14, "sweeps[2].scenarios"),
            (13, "sweeps[2].flows"),
        }
        self.assertEqual(reported, expected)
        for fault in _faults(BAD):
            self.assertTrue(fault.remedy)

    def test_faults_of_an_empty_file_name_what_is_missing(self) -> None:
        self.assertEqual({fault.key for fault in _faults("")}, {"name", "sweeps"})

    def test_number_of_runs_is_limited(self) -> None:
        seeds = ", ".join(map(str, range(30_000)))
        faults = _faults(GOOD.replace("[1, 2, 3]", f"[{seeds}]"))
        self.assertEqual([fault.key for fault in faults], ["sweeps[1]"])


class PlanTest(unittest.TestCase):
    def test_cells_contain_every_run_once(self) -> None:
        cells = cells_of(check_experiment(parse_toml(GOOD)))
        self.assertEqual(len(cells), len(set(cells)))
        self.assertEqual(len(cells), 2 * 2 * 3 * 2 + 1 + 1)
        self.assertEqual(cells[0], SimulationCell("steady", "home", 2, 1, 10, 0.0))
        self.assertEqual(cells[-1], ForwardingCell(100))

    def test_parts_together_contain_every_cell_once(self) -> None:
        cells = cells_of(check_experiment(parse_toml(GOOD)))
        for count in (1, 2, 3, len(cells), len(cells) + 1):
            parts = [Part(number, count).select(cells) for number in range(1, count + 1)]
            joined = [cell for part in parts for cell in part]
            self.assertEqual(len(joined), len(cells))
            self.assertEqual(set(joined), set(cells))

    def test_invalid_parts_are_rejected(self) -> None:
        self.assertEqual(Part.parse("2/3"), Part(2, 3))
        for text in ("", "0/3", "4/3", "1", "1/0", "a/b", "1/2/3"):
            with self.subTest(text), self.assertRaisesRegex(PartError, "give K/N"):
                Part.parse(text)


if __name__ == "__main__":
    unittest.main()
