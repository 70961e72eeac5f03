import io
import re
import unittest
from contextlib import redirect_stderr, redirect_stdout
from functools import partial
from unittest import mock

from beamloom.cli.fuzz import write_failure
from beamloom.cli.main import main
from beamloom.fuzzing.catalogue import SubjectName, replay
from beamloom.fuzzing.errors import ReplayTokenError
from beamloom.fuzzing.search import SearchSize, search, search_fixed
from beamloom.fuzzing.shortening import shorten
from beamloom.fuzzing.steps import Failure, Step, decode_token, encode_token, run_steps
from beamloom.fuzzing.subjects.codec import PARSERS, CodecSubject, Parser
from beamloom.fuzzing.subjects.fleet import FleetSubject
from beamloom.fuzzing.subjects.flow_table import FlowTableSubject
from beamloom.fuzzing.subjects.settings import SettingsSubject
from beamloom.object_api.errors import StoreConflictError
from beamloom.object_api.operator import OperatorWriter
from beamloom.routing.flow_table import FlowTable
from beamloom.routing.tokens.backend_table import Backend, BackendTable
from beamloom.routing.tokens.token import TokenCodec
from beamloom.settings.tree import SettingsTree
from beamloom.standins.platform_store import PlatformStore
from tests.unit.simulation.broken_cores import MixesServices

SIZES = {
    SubjectName.FLEET: SearchSize(2, 6),
    SubjectName.SETTINGS: SearchSize(40, 20),
    SubjectName.STORE: SearchSize(60, 25),
    SubjectName.FLOW_TABLE: SearchSize(50, 30),
    SubjectName.TOKEN_ROUTER: SearchSize(60, 40),
    SubjectName.CODEC: SearchSize(30, 20),
}
SMALL = SearchSize(100, 20, shrink_runs=200)
LARGER = SearchSize(400, 50, shrink_runs=200)


class MixesServicesAtOnce(MixesServices):
    def broken(self, now: float) -> bool:
        return True


class UnmodifiedSubjectsTest(unittest.TestCase):
    def test_short_search_finds_no_failure(self) -> None:
        for name, size in SIZES.items():
            with self.subTest(name):
                result = search_fixed(name, size)
                self.assertIsNone(result.failure)
                self.assertGreaterEqual(result.runs, 1)


class InjectedDefectTest(unittest.TestCase):
    def _assert_found(self, name: SubjectName, message: str, size: SearchSize = SMALL) -> Failure:
        result = search_fixed(name, size)
        assert result.failure is not None
        self.assertIn(message, result.failure.error)
        self.assertEqual(replay(result.failure.token), result.failure)
        return result.failure

    def test_broken_core_is_found_and_the_printed_command_replays_it(self) -> None:
        make_subject = partial(FleetSubject, MixesServicesAtOnce)
        result = search_fixed(SubjectName.FLEET, SearchSize(2, 4, shrink_runs=1), make_subject)
        assert result.failure is not None
        self.assertIn("services-are-isolated", result.failure.error)
        output = io.StringIO()
        with redirect_stdout(output):
            write_failure(result.failure)
        command = re.search(r"beamloom fuzz --replay (\S+)", output.getvalue())
        assert command is not None
        self.assertEqual(replay(command.group(1), make_subject), result.failure)

    def test_settings_tree_that_keeps_deleted_scopes_is_found_and_shrunk(self) -> None:
        def keep(tree: SettingsTree, scope: object) -> None:
            """Keep the overrides."""

        with mock.patch.object(SettingsTree, "remove", keep):
            failure = self._assert_found(SubjectName.SETTINGS, "expected")
        self.assertEqual([step.action for step in failure.steps], ["set_value", "delete_scope"])
        self.assertIsNone(replay(failure.token, SettingsSubject))

    def test_store_that_applies_a_refused_write_is_found(self) -> None:
        original_write = PlatformStore.write

        def write(store: PlatformStore, key: str, value: dict | None, expected: int) -> object:
            if value is not None:
                original_write(store, key, value, expected)
                raise StoreConflictError(key, store.read(key).found)
            return original_write(store, key, value, expected)

        with mock.patch.object(PlatformStore, "write", write):
            self._assert_found(SubjectName.STORE, "was refused")

    def test_operator_that_sends_a_creation_again_is_found(self) -> None:
        async def try_resolve(writer: OperatorWriter, attempt: object) -> object:
            return await writer._send(attempt)

        with mock.patch.object(OperatorWriter, "_try_resolve", try_resolve):
            result = search_fixed(SubjectName.STORE, SearchSize(200, 30, shrink_runs=100))
            assert result.failure is not None
            self.assertEqual(replay(result.failure.token), result.failure)

    def test_table_that_frees_a_row_twice_is_found(self) -> None:
        def remove(table: FlowTable, key: int) -> None:
            row = table.rows.pop(key, None)
            if row is not None:
                table._free += [row, row]

        with mock.patch.object(FlowTable, "remove", remove):
            self._assert_found(SubjectName.FLOW_TABLE, "entries")

    def test_tokens_that_are_not_bound_to_their_flow_are_found(self) -> None:
        def find(_codec: TokenCodec, _flow: bytes, _token: int, candidates: list) -> object:
            return candidates[0] if candidates else None

        with (
            mock.patch.object(TokenCodec, "find", find),
            mock.patch.object(BackendTable, "candidates", lambda table, _: [*table.all()]),
        ):
            self._assert_found(SubjectName.TOKEN_ROUTER, "made-up token")

    def test_router_that_places_flows_on_draining_backends_is_found(self) -> None:
        with mock.patch.object(Backend, "takes_flows", True):
            self._assert_found(SubjectName.TOKEN_ROUTER, "was placed on", LARGER)

    def test_parser_that_raises_an_undeclared_error_is_found(self) -> None:
        def parse(data: bytes) -> object:
            return data[3]

        defective = {"packet": Parser(parse, (ValueError,))}
        with mock.patch.dict(PARSERS, defective):
            failure = self._assert_found(SubjectName.CODEC, "packet raised IndexError")
        self.assertEqual(len(failure.steps), 1)


class ShorteningTest(unittest.TestCase):
    def setUp(self) -> None:
        defective = {"packet": Parser(lambda data: data[3], (ValueError,))}
        patch = mock.patch.dict(PARSERS, defective)
        patch.start()
        self.addCleanup(patch.stop)
        harmless, failing = (
            Step("parse", {"parser": parser, "data": "00"}) for parser in ("flow-records", "packet")
        )
        self.failing = failing
        steps = (harmless, harmless, harmless, failing)
        failure = run_steps("codec", CodecSubject, steps)
        assert failure is not None
        self.failure = failure

    def test_steps_without_effect_are_removed(self) -> None:
        shortest = shorten(self.failure, CodecSubject, lambda: False)
        self.assertEqual(shortest.steps, (self.failure.steps[0], self.failing))
        self.assertEqual(shortest.error, self.failure.error)

    def test_failure_is_unchanged_when_time_is_up(self) -> None:
        self.assertEqual(shorten(self.failure, CodecSubject, lambda: True), self.failure)


class CommandTest(unittest.TestCase):
    def _call(self, *tokens: str) -> tuple[int, str]:
        output = io.StringIO()
        with redirect_stdout(output), redirect_stderr(output):
            status = main(["fuzz", *tokens])
        return status, output.getvalue()

    def test_search_prints_a_command_that_replays_the_failure(self) -> None:
        def remove(table: FlowTable, key: int) -> None:
            """Keep the entry."""

        with mock.patch.object(FlowTable, "remove", remove):
            status, found = self._call("--machine", "flow-table", "--seed", "5", "--budget", "30")
            self.assertEqual(status, 1)
            command = re.search(r"beamloom fuzz (--replay \S+)", found)
            assert command is not None
            status, replayed = self._call(*command.group(1).split())
        self.assertEqual(status, 1)
        self.assertIn(replayed, found)
        self.assertEqual(self._call(*command.group(1).split()), (0, "the steps pass\n"))

    def test_missing_hypothesis_is_reported_with_the_remedy(self) -> None:
        with mock.patch("beamloom.cli.fuzz.find_spec", return_value=None):
            status, text = self._call("--budget", "1")
        self.assertEqual(status, 1)
        self.assertIn("pip install 'beamloom[fuzzing]'", text)


class ReplayTest(unittest.TestCase):
    def test_token_encodes_the_steps(self) -> None:
        steps = (Step("remove", {"key": 3}), Step("expire", {"now": 0.25}))
        self.assertEqual(decode_token(encode_token("flow-table", steps)), ("flow-table", steps))

    def test_invalid_tokens_are_rejected_with_the_remedy(self) -> None:
        valid_token = encode_token("flow-table", (Step("remove", {"key": 3}),))
        unknown_subject = encode_token("gale", ())
        unknown_action = encode_token("flow-table", (Step("fly"),))
        for token in ("", "x", valid_token[:-9], unknown_subject, unknown_action):
            with self.subTest(token), self.assertRaisesRegex(ReplayTokenError, "whole token"):
                replay(token)


class BudgetTest(unittest.TestCase):
    def test_search_ends_at_the_deadline(self) -> None:
        ticks = iter(range(10_000))
        result = search(SubjectName.FLOW_TABLE, 1, 200.0, FlowTableSubject, lambda: next(ticks))
        self.assertIsNone(result.failure)
        self.assertGreater(result.runs, 1)
        self.assertLess(next(ticks), 400)


if __name__ == "__main__":
    unittest.main()
