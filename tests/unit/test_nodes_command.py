"""`beamloom nodes` with metrics pages and with nodes that do not answer."""

import contextlib
import io
import json
import threading
import unittest
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer

from beamloom.cli.main import main
from beamloom.cli.nodes import NodeState, describe, read_samples

GOOD_PAGE = """\
# TYPE beamloom_ready gauge
beamloom_ready 1.0
# TYPE beamloom_configuration_version gauge
beamloom_configuration_version 7.0
# TYPE beamloom_backends gauge
beamloom_backends 10.0
# TYPE beamloom_backends_age_seconds gauge
beamloom_backends_age_seconds 0.42
# TYPE beamloom_peers gauge
beamloom_peers 6.0
# TYPE beamloom_packets counter
beamloom_packets_total{event="refused_no_route"} 3.0
beamloom_packets_total{event="refused_no_backend"} 2.0
beamloom_packets_total{event="dropped_unknown_token"} 4.0
"""
UNUSED_ADDRESS = "127.0.0.1:1"


class MetricsPage(BaseHTTPRequestHandler):
    def do_GET(self) -> None:
        self.send_response(200)
        self.end_headers()
        self.wfile.write(GOOD_PAGE.encode())

    def log_message(self, format: str, *args: object) -> None:
        """Suppress the request log."""


class DescribeTest(unittest.TestCase):
    def describe(self, page: str, newest: float = 7.0) -> dict[str, object]:
        return dict(describe(NodeState("10.0.0.1:9464", read_samples(page)), newest))

    def test_a_node_without_trouble(self) -> None:
        row = self.describe(GOOD_PAGE)
        self.assertEqual((row["state"], row["version"], row["backends"]), ("ready", 7, 10))
        self.assertEqual((row["refused"], row["dropped"], row["trouble"]), (5, 4, ""))

    def test_backends_down_and_evacuated_zones_are_counted(self) -> None:
        page = (
            GOOD_PAGE
            + "# TYPE beamloom_backends_down gauge\nbeamloom_backends_down 3.0\n"
            + "# TYPE beamloom_evacuated_zones gauge\nbeamloom_evacuated_zones 1.0\n"
        )
        row = self.describe(page)
        self.assertEqual((row["down"], row["evacuated zones"]), (3, 1))
        row = self.describe(GOOD_PAGE)
        self.assertEqual((row["down"], row["evacuated zones"]), (None, None))

    def test_troubles_are_named(self) -> None:
        cases = {
            "takes no packets": GOOD_PAGE.replace("ready 1.0", "ready 0.0"),
            "version 9 is in force elsewhere": GOOD_PAGE,
            "not confirmed": GOOD_PAGE.replace("0.42", "30.0"),
            "has no peers": GOOD_PAGE.replace("peers 6.0", "peers 0.0"),
        }
        for expected, page in cases.items():
            with self.subTest(expected=expected):
                newest = 9.0 if "version" in expected else 7.0
                self.assertIn(expected, str(self.describe(page, newest)["trouble"]))


class CommandTest(unittest.TestCase):
    def test_unreachable_node_is_reported_beside_a_ready_one(self) -> None:
        server = ThreadingHTTPServer(("127.0.0.1", 0), MetricsPage)
        threading.Thread(target=server.serve_forever, daemon=True).start()
        self.addCleanup(server.server_close)
        self.addCleanup(server.shutdown)
        address = f"127.0.0.1:{server.server_port}"
        output = io.StringIO()
        with contextlib.redirect_stdout(output):
            status = main(["nodes", address, UNUSED_ADDRESS, "--format", "json"])
        rows = json.loads(output.getvalue())
        self.assertEqual(status, 1)
        self.assertEqual([row["state"] for row in rows], ["ready", "unreachable"])


if __name__ == "__main__":
    unittest.main()
