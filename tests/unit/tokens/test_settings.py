"""A token node's settings: reading the platform's file, comparison at a reload."""

import json
import tempfile
import tomllib
import unittest
from pathlib import Path

from beamloom.platform.errors import PlatformSettingsError
from beamloom.platform.node_settings import check_settings, read_settings
from beamloom.settings.token_node import RESTART_FIELDS, Endpoint, changed_fields

SETTINGS = """
node-name = "front-1"
role = "balancer"
ip = "10.1.0.10"
zone = "laucala"
port-range = [7720, 7735]
seeds = ["10.1.0.10:8166", "10.2.0.40:8166"]
a-field-of-tomorrow = true
[bind-addrs]
datagram-addr = "10.1.0.10:8172"
readiness = "10.1.0.10:8167"
[bounds]
drain-ms = 2500
[platform]
address = "10.200.1.7:8169"
"""


class NodeSettingsTest(unittest.TestCase):
    def read(self, text: str) -> object:
        with tempfile.NamedTemporaryFile("w", suffix=".toml") as file:
            file.write(text)
            file.flush()
            return read_settings(Path(file.name))

    def test_the_file_is_read_and_unknown_fields_are_ignored(self) -> None:
        with tempfile.NamedTemporaryFile("w", suffix=".toml") as file:
            file.write(SETTINGS)
            file.flush()
            settings = read_settings(Path(file.name))
        self.assertEqual(settings.packets, Endpoint("10.1.0.10", 8172))
        self.assertEqual(settings.store, Endpoint("10.200.1.7", 8169))
        self.assertEqual(settings.seeds, ("10.1.0.10", "10.2.0.40"))
        self.assertEqual((settings.drain_seconds, settings.apply_seconds), (2.5, 3.0))

    def test_evacuation_bound_and_zones_are_read(self) -> None:
        plain = tomllib.loads(SETTINGS)
        settings = check_settings(plain, "node.toml")
        self.assertEqual((settings.evacuate_seconds, settings.zones), (None, ()))
        plain["bounds"]["evacuate-ms"] = 4500
        plain["zones"] = {"laucala": "suva", "nabua": "suva"}
        settings = check_settings(plain, "node.toml")
        self.assertEqual((settings.evacuate_seconds, settings.zones), (4.5, ("laucala", "nabua")))
        plain["zones"] = ["laucala"]
        with self.assertRaises(PlatformSettingsError) as caught:
            check_settings(plain, "node.toml")
        self.assertIn("zones", str(caught.exception))

    def test_json_is_read_like_toml(self) -> None:
        document = tomllib.loads(SETTINGS)
        self.assertEqual(self.read(json.dumps(document)), self.read(SETTINGS))
        with self.assertRaises(PlatformSettingsError):
            self.read("{ broken")

    def test_error_for_a_faulty_file_names_the_remedy(self) -> None:
        for text in ("", "= 5", SETTINGS.replace(":8172", ""), SETTINGS.replace("[platform]", "")):
            with self.assertRaises(PlatformSettingsError) as caught:
                self.read(text)
            self.assertIn("correct the file", str(caught.exception))
        with self.assertRaises(PlatformSettingsError):
            read_settings(Path("/nowhere/node.toml"))

    def test_changed_fields_and_those_that_need_a_restart(self) -> None:
        with tempfile.NamedTemporaryFile("w", suffix=".toml") as file:
            file.write(SETTINGS)
            file.flush()
            before = read_settings(Path(file.name))
        after = before._replace(drain_seconds=9.0, zone="nabua")
        self.assertEqual(changed_fields(before, after), ["zone", "drain_seconds"])
        self.assertIn("zone", RESTART_FIELDS)
        self.assertNotIn("store", RESTART_FIELDS)
        self.assertNotIn("stop_seconds", RESTART_FIELDS)
