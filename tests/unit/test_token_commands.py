"""Commands for token nodes: `beamloom check`, `decode` and `trace`."""

import contextlib
import io
import json
import tempfile
import unittest
from pathlib import Path

from beamloom.cli.main import main
from tests.unit.tokens.test_settings import SETTINGS

OPENING = "c6120001 9c41 64400007 01bb 11223344 00000000 0000 00000000 a1b2c3d5 02 000000"
FLOW = "100.64.0.7:40001>198.18.0.1:443"
DEPLOY = Path(__file__).resolve().parents[2] / "deploy" / "system.toml"


def call(*arguments: str) -> tuple[int, str]:
    output = io.StringIO()
    with contextlib.redirect_stdout(output), contextlib.redirect_stderr(output):
        status = main(arguments)
    return status, output.getvalue()


class TemporaryFolderTestCase(unittest.TestCase):
    def setUp(self) -> None:
        self.folder = Path(self.enterContext(tempfile.TemporaryDirectory()))

    def write(self, name: str, text: str) -> str:
        path = self.folder / name
        path.write_text(text)
        return str(path)


class CheckTest(TemporaryFolderTestCase):
    def test_settings_of_a_token_node(self) -> None:
        status, output = call("check", self.write("node.toml", SETTINGS))
        self.assertEqual(status, 0)
        self.assertIn("settings of token node front-1 in zone laucala", output)

    def test_all_faults_are_reported(self) -> None:
        text = SETTINGS.replace(":8172", "").replace('ip = "10.1.0.10"', "ip = 5")
        status, output = call("check", self.write("node.toml", text))
        self.assertEqual(status, 1)
        for expected in ("bind-addrs.datagram-addr", "ip = 5", "correct the file"):
            self.assertIn(expected, output)

    def test_the_deploy_file_of_this_repository_is_valid(self) -> None:
        status, output = call("check", str(DEPLOY))
        self.assertEqual((status, "deploy file of 1 roles" in output), (0, True))

    def test_faults_of_a_deploy_file(self) -> None:
        text = '[roles.a]\non = "front"\nshare = 2\nserves = ["back"]\nmetrics = "x"\n'
        status, output = call("check", self.write("system.toml", text))
        self.assertEqual(status, 1)
        for expected in ("build", "run is missing", "share", "serves back", "metrics", "front"):
            self.assertIn(expected, output)


class DecodeTest(unittest.TestCase):
    def test_a_packet_is_printed(self) -> None:
        status, output = call("decode", OPENING)
        self.assertEqual(status, 0)
        self.assertIn("100.64.0.7:40001 > 198.18.0.1:443 SYN seq 287454020 ack 0", output)

    def test_a_forwarded_packet_names_the_incarnation(self) -> None:
        status, output = call("decode", "--forwarded", "000000007f3a91c2" + OPENING)
        self.assertEqual(status, 0)
        self.assertIn("to 000000007f3a91c2: 100.64.0.7", output)

    def test_invalid_datagrams_are_reported(self) -> None:
        self.assertEqual(call("decode", "0011")[0], 1)
        self.assertEqual(call("decode", "zz")[0], 2)


class TraceTest(TemporaryFolderTestCase):
    def setUp(self) -> None:
        super().setUp()
        events = [
            (1.0, "n1", "BackendChanged", {"backend": "i-1", "state": "ready"}),
            (2.0, "n1", "FlowPlaced", {"flow": FLOW, "backend": "i-1"}),
            (2.1, "n1", "FlowPlaced", {"flow": "9.9.9.9:1>198.18.0.1:443", "backend": "i-2"}),
            (2.2, "n2", "BackendChanged", {"backend": "i-1", "state": "draining"}),
            (2.3, "n1", "BackendChanged", {"backend": "i-1", "state": "draining"}),
            (2.4, "n1", "DependencyLost", {"dependency": "store backends"}),
            (3.0, "n1", "RequestStalled", {"flow": FLOW, "backend": "i-1", "repeats": 2}),
            (60.0, "n1", "Stopped", {}),
        ]
        lines = [
            "  12.3 n1 " + json.dumps({"time": at, "node": node, "event": event, **fields})
            for at, node, event, fields in reversed(events)
        ]
        self.log = self.write("n1.log", "\n".join(["noise", "{broken", *lines]))

    def test_a_flow_is_shown_with_events_of_its_backend_and_node(self) -> None:
        status, output = call("trace", "100.64.0.7:40001", self.log)
        self.assertEqual(status, 0)
        events = [line.split()[2] for line in output.splitlines()]
        self.assertEqual(
            events,
            ["BackendChanged", "FlowPlaced", "BackendChanged", "DependencyLost", "RequestStalled"],
        )

    def test_a_start_during_the_flow_is_shown_although_logged_later(self) -> None:
        starts = [(9.5, "n1", 8000.0), (11.0, "n1", 500.0), (9.0, "n2", 8000.0)]
        lines = [
            json.dumps({"time": at, "node": node, "event": "StartTimeline", "modules_ms": length})
            for at, node, length in starts
        ]
        path = self.write("starts.log", "\n".join(lines))
        status, output = call("trace", "100.64.0.7:40001", self.log, path)
        self.assertEqual((status, output.count("StartTimeline")), (0, 1))
        self.assertIn("modules_ms=8000.0", output)

    def test_an_unknown_flow_is_an_error_with_the_remedy(self) -> None:
        status, output = call("trace", "1.2.3.4:5", self.log)
        self.assertEqual(status, 1)
        self.assertIn("give their logs too", output)
        self.assertEqual(call("trace", "1.2.3.4:5", str(self.folder / "none"))[0], 2)
