"""Terms of routes: reading from the store, and exchange between nodes of one or two releases."""

import json
import unittest
from typing import Any

from beamloom.node.token_core import TokenCore
from beamloom.node.view_codecs import (
    ConfigurationCodec,
    configuration_from_list,
    configuration_to_list,
    difference_from_list,
    difference_to_list,
)
from beamloom.platform import store_encoding, store_objects
from beamloom.replication.store_view import ViewDelta
from beamloom.routing.tokens.configuration_history import (
    ConfigurationHistory,
    apply_difference,
    difference_between,
)
from beamloom.routing.tokens.records import (
    DEFAULT_PRIORITY,
    DEFAULT_TERMS,
    RequestKind,
    RouteTerms,
    RoutingConfiguration,
)
from beamloom.settings.mechanisms import ALL_MECHANISMS
from tests.unit.tokens.builders import DESTINATION, make_change, make_core, with_terms

WIRE = {"type": "unsafe", "timeout-ms": 2672, "target-latency-ms": 427, "priority": 1}
TERMS = RouteTerms(0.427, 2.672, 1, RequestKind.UNSAFE)
FEED = RouteTerms(0.4, 2.0, 0, RequestKind.SAFE)
FIELDS = {
    "type": "kind",
    "timeout_ms": "timeout_seconds",
    "target_latency_ms": "objective_seconds",
    "priority": "priority",
}
ROUTE = {"name": "r-1", "hostname": "198.18.0.1", "path-prefix": "/443/", "service": "a"}


def read(**terms: object) -> RouteTerms:
    """Return the terms of a route as the store has it."""
    entry = {"version": 3, "routes": [ROUTE | {k.replace("_", "-"): v for k, v in terms.items()}]}
    return store_objects.translate_configuration("main", entry).routes[0].terms


class WireTest(unittest.TestCase):
    def test_terms_are_read(self) -> None:
        self.assertEqual(read(**WIRE), TERMS)
        self.assertFalse(TERMS.repeatable)
        self.assertTrue(read(type="safe").repeatable)

    def test_missing_terms_have_defaults(self) -> None:
        self.assertEqual(read(), DEFAULT_TERMS)
        self.assertEqual((DEFAULT_TERMS.objective_seconds, DEFAULT_TERMS.repeatable), (None, False))

    def test_an_unreadable_term_gets_its_default_and_is_reported(self) -> None:
        bad: dict[str, tuple[Any, ...]] = {
            "type": ("sfae", None, 3, ["safe"]),
            "timeout_ms": ("2672", -1, 0, None, True, float("nan"), float("inf"), 10**400),
            "target_latency_ms": ({}, 0.2, "soon"),
            "priority": (-1, 1.5, "high", None, True),
        }
        for key, values in bad.items():
            for value in values:
                with self.subTest(term=key, value=value):
                    good = {k: v for k, v in WIRE.items() if k != key.replace("_", "-")}
                    terms = read(**good, **{key: value})
                    self.assertEqual(terms, read(**good)._replace(unreadable=(FIELDS[key],)))

    def test_a_configuration_with_a_bad_term_is_accepted(self) -> None:
        entry = {"version": 3, "routes": [ROUTE | WIRE | {"priority": "x"}]}
        body = store_encoding.encode_list(
            [store_encoding.encode_object("main", 5, 1, entry)], False, 5
        )
        page = store_objects.read_page(_json(body), 1, store_objects.translate_configuration)
        self.assertEqual((len(page.records), page.unreadable), (1, ()))
        record = page.records[0].record
        terms = TERMS._replace(priority=DEFAULT_PRIORITY, unreadable=("priority",))
        self.assertEqual(record.routes[0].terms, terms)
        changes = store_encoding.encode_changes(
            [(False, store_encoding.encode_object("main", 6, 1, entry))], 6
        )
        batch = store_objects.read_changes(_json(changes), 1, store_objects.translate_configuration)
        self.assertEqual((len(batch.changes), batch.unreadable), (1, ()))

    def test_unreadable_terms_are_counted_once_per_version(self) -> None:
        core = make_core(ALL_MECHANISMS)
        faulty = with_terms(4, TERMS._replace(unreadable=("priority", "kind")))
        for _ in range(2):
            core.apply_configuration((make_change(4, faulty),), 10.0)
        self.assertEqual(core.router.counters["terms_unreadable"], 2)
        self.assertEqual(terms_in_force(core).objective_seconds, 0.427)

    def test_stand_ins_write_terms_that_are_read_back(self) -> None:
        for terms in (DEFAULT_TERMS, TERMS, FEED):
            before = with_terms(4, terms)
            entry = store_encoding.encode_configuration(before)
            self.assertEqual(store_objects.translate_configuration("main", entry), before)


class PeersTest(unittest.TestCase):
    def test_terms_are_exchanged_completely(self) -> None:
        faulty = TERMS._replace(unreadable=("priority",))
        odd = RouteTerms(None, 0.001, 7, RequestKind.DOWNLOAD)
        for terms in (DEFAULT_TERMS, TERMS, FEED, odd, faulty):
            before = with_terms(4, terms)
            self.assertEqual(configuration_from_list(configuration_to_list(before)), before)

    def test_default_terms_are_not_sent(self) -> None:
        fields = configuration_to_list(with_terms(4, DEFAULT_TERMS))[1][0]
        self.assertEqual(len(fields), 3)

    def test_a_change_of_terms_alone_is_a_change_of_the_route(self) -> None:
        first, second = with_terms(4, TERMS), with_terms(5, FEED)
        difference = difference_between(first, second)
        assert difference is not None
        self.assertEqual(len(difference.changed), 1)
        decoded = difference_from_list(difference_to_list(difference))
        self.assertEqual(apply_difference(first, decoded), second)
        core = make_core(ALL_MECHANISMS)
        for revision, record in ((4, first), (5, second)):
            core.apply_configuration((make_change(revision, record),), 10.0)
        self.assertEqual(terms_in_force(core), FEED)
        core.apply_configuration((make_change(6, first),), 10.0)
        self.assertEqual(terms_in_force(core), FEED)

    def test_a_kind_of_a_later_release_counts_as_unsafe(self) -> None:
        fields = configuration_to_list(with_terms(4, FEED))
        fields[1][0][3][3] = 9
        self.assertIs(configuration_from_list(fields).routes[0].terms.kind, RequestKind.UNSAFE)


class EarlierReleaseTest(unittest.TestCase):
    """A node of the previous release sends routes of three fields, without `includes_terms`."""

    def test_its_configuration_gets_default_terms(self) -> None:
        configuration = configuration_from_list(as_earlier(with_terms(4, TERMS)))
        self.assertEqual(configuration.routes[0].terms, DEFAULT_TERMS)
        self.assertFalse(configuration.includes_terms)

    def test_it_reads_the_fields_that_it_knows(self) -> None:
        name, destination, parts = configuration_to_list(with_terms(4, TERMS))[1][0][:3]
        self.assertEqual((name, destination, parts), ("route", DESTINATION, [["tracker", 1.0]]))

    def test_its_configuration_is_no_base_for_differences(self) -> None:
        core = make_core(ALL_MECHANISMS)
        earlier = configuration_from_list(as_earlier(with_terms(4, TERMS)))
        core.apply_configuration((make_change(4, earlier),), 10.0)
        core.join_peers("10.0.0.1", ())
        assert core.exchange is not None
        bases = core.exchange.views[1].request(1, 0).versions
        self.assertNotIn(4, bases)
        sender = ConfigurationHistory()
        sender.note(with_terms(4, TERMS))
        delta = ViewDelta(4, 5, (make_change(5, with_terms(5, TERMS)),))
        base = ConfigurationCodec(sender).choose_base(bases)
        codec = ConfigurationCodec(sender)
        decoded = codec.decode(codec.encode(delta, base)).changes
        core.apply_configuration(decoded, 10.0)
        self.assertEqual(terms_in_force(core), TERMS)


def as_earlier(record: RoutingConfiguration) -> list[Any]:
    """Return the fields of a configuration as a node of the previous release sends them."""
    version, routes, idle_seconds, warm_ups = configuration_to_list(record)[:4]
    return [version, [fields[:3] for fields in routes], idle_seconds, warm_ups]


def terms_in_force(core: TokenCore) -> RouteTerms:
    route = core.router.routes.find(DESTINATION)
    assert route is not None
    return route.record.terms


def _json(document: dict[str, Any]) -> bytes:
    return json.dumps(document).encode()


if __name__ == "__main__":
    unittest.main()
