"""Each variant changes its part of a site file, whatever the names in the file."""

import sys
import tempfile
import tomllib
import unittest
from pathlib import Path
from typing import Any

sys.path.insert(0, str(Path(__file__).resolve().parents[2] / "tools"))

from site_variants import LOSS_SHARE, SLOW_LINK_MEGABITS, VARIANTS, derive_site

SITE = """
name = "somewhere"
length_s = 34.0
zones = [{ name = "north", region = "r" }, { name = "south", region = "r" }]
machines = [
  { class = "front", link_mbps = 100.0, zone = "north", count = 3, spare = 1 },
  { class = "front", link_mbps = 2.0, zone = "south", count = 1, spare = 0 },
]
classes = [{ name = "k", deadline_ms = 1200.0 }]
traffic = [{ zone = "south", per_s = 10.0 }]
[[services]]
name = "s"
slots = 3
servers = [{ zone = "north", count = 5 }, { zone = "south", count = 2 }]
[entry]
hash = "mod"
[bounds]
drain_ms = 3000
[[day]]
name = "quiet-1"
traffic = [{ zone = "south", per_s = 5.0 }]
"""


class SiteVariantsTest(unittest.TestCase):
    def derive(self, name: str) -> dict[str, Any]:
        with tempfile.TemporaryDirectory() as source, tempfile.TemporaryDirectory() as target:
            path = Path(source) / "somewhere.toml"
            path.write_text(SITE)
            (Path(source) / "wire.json").write_text("{}")
            derived = derive_site(path, Path(target), name)
            self.assertTrue((Path(target) / "wire.json").exists())
            return tomllib.loads(derived.read_text())

    def test_each_variant_but_the_first_changes_the_site(self) -> None:
        for name in VARIANTS:
            with self.subTest(variant=name):
                changed = self.derive(name) != tomllib.loads(SITE)
                self.assertEqual(changed, name != "as-is")

    def test_other_hash_switches_the_hash(self) -> None:
        self.assertEqual(self.derive("other-hash")["entry"]["hash"], "steady")

    def test_one_zone_moves_everything_to_the_first_zone(self) -> None:
        site = self.derive("one-zone")
        self.assertEqual([zone["name"] for zone in site["zones"]], ["north"])
        self.assertEqual({entry["zone"] for entry in site["machines"]}, {"north"})
        self.assertEqual(site["services"][0]["servers"], [{"zone": "north", "count": 7}])
        self.assertEqual(site["day"][0]["traffic"][0]["zone"], "north")

    def test_machines_links_and_deadlines(self) -> None:
        counts = [entry["count"] for entry in self.derive("two-a-zone")["machines"]]
        self.assertEqual(counts, [2, 1])
        links = [entry["link_mbps"] for entry in self.derive("slow-links")["machines"]]
        self.assertEqual(links, [SLOW_LINK_MEGABITS, 2.0])
        self.assertEqual(self.derive("half-deadlines")["classes"][0]["deadline_ms"], 600.0)
        self.assertEqual(self.derive("double-deadlines")["classes"][0]["deadline_ms"], 2400.0)

    def test_packets_are_lost_all_day(self) -> None:
        (fault,) = self.derive("lossy")["day"][0]["faults"]
        self.assertEqual((fault["x"], fault["for_s"]), (LOSS_SHARE, 34.0))


if __name__ == "__main__":
    unittest.main()
