"""`beamloom simulate`: its JSON report, exit status and invalid arguments."""

import io
import json
import unittest
from contextlib import redirect_stdout

from cyclopts import App, CycloptsError

from beamloom.cli.simulate import register


def _call(*tokens: str) -> object:
    app = App(name="beamloom", result_action="return_value")
    register(app)
    return app(["simulate", *tokens], exit_on_error=False, print_error=False)


class SimulateCommandTest(unittest.TestCase):
    def test_json_report_and_exit_status(self) -> None:
        small = ("--nodes", "2", "--flows", "10", "--duration", "20", "--format", "json")
        output = io.StringIO()
        with redirect_stdout(output):
            status = _call("backend-drain", "--seed", "3", *small)
        report = json.loads(output.getvalue())
        self.assertEqual((report["scenario"], report["seed"]), ("backend-drain", 3))
        self.assertEqual(status, 0 if report["passed"] else 1)

    def test_invalid_arguments_are_rejected(self) -> None:
        for tokens in (("gale",), ("steady", "--nodes", "0"), ("steady", "--placement", "best")):
            with self.assertRaises(CycloptsError) as caught:
                _call(*tokens)
            self.assertTrue(str(caught.exception))


if __name__ == "__main__":
    unittest.main()
