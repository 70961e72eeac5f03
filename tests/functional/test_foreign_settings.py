"""Damaged settings files, as a deployed node reads them."""

import json
import random
import tempfile
import unittest
from pathlib import Path

from beamloom.standins.another_writer import ODD_VALUES, damage
from tests.functional.bare_program import run_bare

CASES = 600
DOCUMENT = {
    "node-name": "front-laucala-1",
    "ip": "10.1.0.10",
    "zone": "laucala",
    "zones": {"laucala": "suva"},
    "bind-addrs": {"datagram-addr": "10.1.0.10:8172", "readiness": "10.1.0.10:8167"},
    "port-range": [7720, 7735],
    "seeds": ["10.1.0.10:8166"],
    "bootstrap": True,
    "limits": {"cpu-share": 0.774, "memory-mb": 300, "max-fds": 4100, "link-mbps": 1000.0},
    "heartbeat-ms": 1200,
    "bounds": {"contact-ms": 4000, "drain-ms": 3000, "grace-s": 6, "warmup-excess": 1.5},
    "platform": {"address": "10.200.1.7:8169"},
}
PROGRAM = """
from beamloom.runtime.start import load
load()
import sys
from math import isfinite
from beamloom.platform.errors import PlatformSettingsError
from beamloom.platform.node_settings import read_settings
for path in sys.stdin.read().split():
    for name in [name for name in sys.modules if name.partition(".")[0] in ("json", "tomllib")]:
        del sys.modules[name]
    try:
        settings = read_settings(path)
        numbers = [value for value in settings if isinstance(value, float)]
        print("read" if all(map(isfinite, numbers)) else f"not finite: {settings}")
    except PlatformSettingsError as error:
        print("refused" if len(str(error)) < 5000 else "a long error")
    except Exception as error:
        print(ascii(f"{type(error).__name__}: {error}"[:200]))
"""


def make_json(rng: random.Random) -> bytes:
    """Return a file with one odd value, or with random damage."""
    text = json.dumps(DOCUMENT)
    if rng.random() < 0.4:
        return damage(text.encode(), rng)
    parent = rng.choice([value for value in DOCUMENT.values() if isinstance(value, dict)])
    document = parent if rng.random() < 0.6 else DOCUMENT
    key = rng.choice(list(document))
    known, document[key] = document[key], "@"
    text = json.dumps(DOCUMENT)
    document[key] = known
    return text.encode().replace(b'"@"', rng.choice(ODD_VALUES))


def make_toml(rng: random.Random) -> bytes:
    return damage(TOML, rng)


TOML = b"""
node-name = "front-1"
ip = "10.1.0.10"
zone = "laucala"
port-range = [7720, 7735]
[bind-addrs]
datagram-addr = "10.1.0.10:8172"
readiness = "10.1.0.10:8167"
[platform]
address = "10.200.1.7:8169"
[bounds]
contact-ms = 4000
"""


class DamagedSettingsTest(unittest.TestCase):
    """Guards against a file that ends the process that reads it other than by a typed error."""

    def test_any_file_is_read_or_refused(self) -> None:
        folder = Path(self.enterContext(tempfile.TemporaryDirectory()))
        rng = random.Random(47)
        paths = [folder / str(number) for number in range(CASES)]
        for path in paths:
            path.write_bytes(make_toml(rng) if rng.random() < 0.3 else make_json(rng))
        printed = run_bare(PROGRAM, "\n".join(map(str, paths))).splitlines()
        for path, line in zip(paths, printed, strict=True):
            with self.subTest(file=path.read_bytes()[:700]):
                self.assertIn(line, ("read", "refused"))


if __name__ == "__main__":
    unittest.main()
