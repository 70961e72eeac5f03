"""All faults of a settings file are reported at once, each with its line and a remedy."""

import importlib.resources
import tempfile
import unittest
from collections.abc import Callable
from pathlib import Path

from hypothesis import given, settings
from hypothesis import strategies as st

from beamloom.model.contracts import PlacementPreference, RepeatPolicy
from beamloom.settings.configuration import Configuration
from beamloom.settings.deployment import check_deployment, load_deployment
from beamloom.settings.file_faults import SettingsFileError
from beamloom.settings.node_file import check_node_settings, load_node_settings
from beamloom.settings.toml_source import TomlSource, parse_toml
from tests.unit.settings.objects import stored

EXAMPLES = importlib.resources.files("beamloom.examples")
NODE = EXAMPLES.joinpath("node.toml").read_text()
VAKATALE = EXAMPLES.joinpath("vakatale.toml").read_text()


def faults_of(check: Callable[[TomlSource], object], text: str) -> list[SettingsFileError]:
    try:
        check(parse_toml(text))
    except ExceptionGroup as group:
        return list(group.exceptions)
    return []


class NodeFileTest(unittest.TestCase):
    def assert_fault(self, before: str, after: str, *expected: str) -> None:
        text = NODE.replace(before, after, 1)
        self.assertNotEqual(text, NODE)
        faults = faults_of(check_node_settings, text)
        self.assertEqual(len(faults), 1, faults)
        self.assertIn(
            after.splitlines()[0] if after else "[platform]",
            text.splitlines()[faults[0].line - 1],
        )
        for words in expected:
            self.assertIn(words, str(faults[0]))

    def test_example_has_no_faults(self) -> None:
        settings_read = check_node_settings(parse_toml(NODE))
        self.assertEqual(settings_read.machine.zone.region, "suva")
        self.assertEqual(str(settings_read.machine.peer_address), "127.10.1.1:7001")

    def test_each_fault_names_its_line_and_remedy(self) -> None:
        budget = "control_budget_bytes_per_second = 4096"
        for before, after, *expected in (
            (
                budget,
                "control_budget_kilobytes_per_second = 4",
                "in bytes per second as control_budget_bytes_per_second",
            ),
            (budget, 'control_budget_bytes_per_second = "4 KB"', "number of bytes"),
            (budget, "control_budget_bytes_per_second = 4", "512"),
            ("seeds", "seed", "did you mean seeds?"),
            (
                "127.10.1.1:7001",
                "127.10.2.1:7001",
                "outside zone laucala",
                "127.10.1.0/24",
            ),
            ("127.10.1.1:7001", "localhost:7001", "IP number"),
            ("127.10.1.1:7001", "127.10.1.1:70010", "65535"),
            ("127.10.1.1:7001", "127.10.1.1:7000", "its own port"),
            ('zone = "laucala"', 'zone = "suva"', "walu-bay"),
            ('region = "suva"', 'region = "nairobi"', "the zone's region"),
            ('token_file = "secrets/platform.token"', "", "platform.token_file", "add token_file"),
            ('["secrets/fleet.key"]', '["a", "b", "c"]', "fleet.key_files"),
            ("127.10.2.0/24", "127.10.1.128/25", "zones[2].networks", "overlap"),
            ("127.10.2.0/24", "127.10.2.1/24", "network prefix"),
            ('"walu-bay"', '"laucala"', "given twice"),
            ("[admin]", '[admin]\nkey_file = "k"', "certificate_file and key_file"),
            (
                "http://",
                "ftp://",
            ),
        ):
            with self.subTest(after=after):
                self.assert_fault(before, after, *expected)

    def test_all_faults_come_at_once(self) -> None:
        text = NODE.replace("7000", "x").replace("4096", "true").replace('"json"', '"xml"')
        text = text.replace("127.10.1.1:7001", "127.10.2.1:7001").replace('"nabua"', '"walu-bay"')
        faults = faults_of(check_node_settings, text)
        self.assertEqual(
            [fault.key for fault in faults],
            [
                "node.data_address",
                "node.peer_address",
                "fleet.control_budget_bytes_per_second",
                "log.format",
                "zones[3].name",
            ],
        )

    def test_unreadable_files_are_reported_as_faults(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "node.toml"
            for content in (None, b"a = \n", b"\xff\xfe", b"node = 3\n"):
                with self.subTest(content=content), self.assertRaises(ExceptionGroup) as caught:
                    if content is not None:
                        path.write_bytes(content)
                    load_node_settings(path, {"node.id": "n"})
                for fault in caught.exception.exceptions:
                    self.assertIsInstance(fault, SettingsFileError)

    def test_flags_take_precedence_over_the_file_and_are_checked(self) -> None:
        with importlib.resources.as_file(EXAMPLES / "node.toml") as path:
            self.assertEqual(load_node_settings(path, {"node.id": "other"}).node.id, "other")
            with self.assertRaises(ExceptionGroup):
                load_node_settings(path, {"node.zone": "atlantis"})


class DeploymentTest(unittest.TestCase):
    def test_examples_compile_without_problems(self) -> None:
        for name, sizes, prefer, delay in (
            ("vakatale", {"tracker": 7, "labeller": 3}, PlacementPreference.STICKINESS, 0.001),
            ("tairi", {"bay-desk": 7, "catalogue": 3}, PlacementPreference.BALANCE, 0.003),
        ):
            with importlib.resources.as_file(EXAMPLES / f"{name}.toml") as path:
                deployment = load_deployment(path)
            objects = deployment.to_objects()
            loaded = Configuration.load(
                stored(key, value, revision) for revision, (key, value) in enumerate(objects, 1)
            )
            self.assertEqual(loaded.problems, ())
            found = {key.split("/")[1]: len(made.backends) for key, made in loaded.services.items()}
            self.assertEqual(found, sizes)
            main = loaded.services[f"{name}/{next(iter(sizes))}"]
            self.assertEqual(main.policy.placement_prefer, prefer)
            self.assertEqual(main.policy.request_repeat, RepeatPolicy.NEVER)
            self.assertEqual(deployment.client_delay, delay)
            self.assertEqual((len(deployment.zones), len(deployment.links)), (3, 3))

    def test_each_fault_names_its_line_and_remedy(self) -> None:
        for before, after, *expected in (
            (
                '"10.80.0.1"\nprotocol = "tcp"\nport = 8443',
                '"10.80.0.1"\nprotocol = "tcp"\nport = 443',
                "ip",
                "tenant/vakatale/service/tracker",
                "of its own",
            ),
            ("127.10.2.11:9000", "127.10.1.11:9000", "backends[2].address", "outside zone"),
            ("127.10.2.11:9100", "127.10.1.11:9100", "backends[2].health", "outside zone"),
            ("127.10.1.13:9000", "127.10.1.10:9000", "backends[4].address", "tracker-1"),
            ('"tracker-2"', '"tracker-1"', "given twice"),
            ('"labeller"', '"tracker"', "given twice"),
            ('zone = "walu-bay"', 'zone = "suva-bay"', "there is no zone suva-bay"),
            ('zones = ["laucala", "nabua"]', 'zones = ["laucala", "nab"]', "there is no zone nab"),
            ("placement.prefer", "placement.prefers", "did you mean placement.prefer?"),
            ('"stickiness"', '"sticky"', "stickiness or balance"),
            ("settings.request.repeat", "settings.limit.open_flows", "level global or tenant"),
            ('protocol = "tcp"', 'protocol = "sctp"', "protocol"),
        ):
            with self.subTest(after=after):
                text = VAKATALE.replace(before, after, 1)
                self.assertNotEqual(text, VAKATALE)
                faults = faults_of(check_deployment, text)
                self.assertEqual(len(faults), 1, faults)
                place = text.splitlines()[faults[0].line - 1]
                self.assertIn(after.splitlines()[0], place)
                for words in expected:
                    self.assertIn(words, str(faults[0]))

    def test_all_faults_come_at_once(self) -> None:
        text = VAKATALE.replace('"tcp"', "7", 1).replace("127.10.2.11", "127.10.1.11")
        text = text.replace('name = "vakatale"', 'name = "a b"').replace("stickiness", "sticky")
        text = text.replace('"tracker-4"', '"tracker-3"').replace('"labeller-1"', "1")
        keys = {fault.key for fault in faults_of(check_deployment, text)}
        service, other = "tenants[1].services[1]", "tenants[1].services[2]"
        self.assertEqual(
            keys,
            {
                "tenants[1].name",
                "tenants[1].settings.placement.prefer",
                f"{service}.protocol",
                f"{service}.backends[2].address",
                f"{service}.backends[2].health",
                f"{service}.backends[4].name",
                f"{other}.backends[1].name",
            },
        )

    @settings(derandomize=True, max_examples=150, deadline=None)
    @given(
        st.sampled_from([NODE, VAKATALE]),
        st.lists(
            st.tuples(
                st.integers(1, 60),
                st.sampled_from(
                    [
                        "x = 1",
                        "zone = []",
                        "name = {}",
                        "[node]",
                        "[[zones]]",
                        "[[tenants]]",
                        "zones = 3",
                        "[[tenants.services]]",
                        "settings = 4",
                        'networks = "x"',
                        "address = 1",
                        "tenants = []",
                    ]
                ),
            ),
            max_size=4,
        ),
    )
    def test_any_damage_raises_only_file_errors(
        self, text: str, damages: list[tuple[int, str]]
    ) -> None:
        lines = text.splitlines()
        for number, damage in damages:
            lines[number % len(lines)] = damage
        self.assert_only_file_errors("\n".join(lines))

    @settings(derandomize=True, max_examples=300, deadline=None)
    @given(st.text(alphabet="[]{}=\"'.,\n tenants1zo-", max_size=60))
    def test_any_text_raises_only_file_errors(self, text: str) -> None:
        self.assert_only_file_errors(text)

    def assert_only_file_errors(self, text: str) -> None:
        for check in (check_deployment, check_node_settings):
            try:
                check(parse_toml(text))
            except SettingsFileError:
                pass
            except ExceptionGroup as group:
                self.assertIsNone(group.split(SettingsFileError)[1])
