"""Paths of the platform's store, and its objects as beamloom's records."""

import json
import unittest

from beamloom.platform import store_objects
from beamloom.platform.errors import PlatformFormatError
from beamloom.replication.object_watch import ListRequest, WatchRequest
from beamloom.routing.tokens.records import BackendState, RoutePart

BACKEND = {
    "service": "huvo11a",
    "address": "10.128.0.9:8080",
    "zone": "laucala",
    "version": "v1",
    "slots": 2,
    "state": "draining",
    "warmup-left-ms": 1500,
    "sequence": 4,
}
CONFIGURATION = {
    "version": 7,
    "routes": [
        {
            "name": "r-1",
            "hostname": "198.18.0.1",
            "path-prefix": "/8443/",
            "split": [{"service": "a", "weight": 90}, {"service": "b", "weight": 10}],
        },
        {"name": "r-2", "hostname": "198.18.0.2", "path-prefix": "/443/", "service": "b"},
    ],
    "limits": {"idle-timeout-ms": 9000},
}


def stored(name: str, content: object, revision: int = 5) -> dict[str, object]:
    return {"meta": {"name": name, "revision": revision}, "spec": content, "status": None}


class StoreObjectsTest(unittest.TestCase):
    def test_paths(self) -> None:
        self.assertEqual(
            store_objects.list_path("servers", ListRequest("i-1")),
            "/beamloom/objects/servers?after=i-1",
        )
        self.assertEqual(
            store_objects.list_path("servers", ListRequest("i-1", stale=True)),
            "/beamloom/objects/servers?after=i-1&stale=1",
        )
        self.assertEqual(
            store_objects.watch_path("servers", WatchRequest(530), 2.3),
            "/beamloom/objects/servers?watch=530&wait-ms=2300",
        )

    def test_a_backend(self) -> None:
        body = json.dumps({"items": [stored("i-7f3a91c2", BACKEND)], "more": True, "at": 530})
        page = store_objects.read_page(body.encode(), store_objects.translate_backend)
        self.assertEqual((page.more, page.revision, page.last_name), (True, 530, "i-7f3a91c2"))
        record = page.records[0].record
        self.assertEqual(
            (record.identity, record.host, record.port), (0x7F3A91C2, "10.128.0.9", 8080)
        )
        self.assertEqual((record.state, record.warm_up_seconds), (BackendState.DRAINING, 1.5))

    def test_changes(self) -> None:
        events = [
            {"gone": False, "object": stored("i-1", BACKEND)},
            {"gone": True, "object": stored("i-2", BACKEND)},
        ]
        body = json.dumps({"events": events, "at": 533}).encode()
        batch = store_objects.read_changes(body, store_objects.translate_backend)
        self.assertEqual(batch.revision, 533)
        self.assertIsNotNone(batch.changes[0].record)
        self.assertIsNone(batch.changes[1].record)

    def test_the_configuration(self) -> None:
        configuration = store_objects.translate_configuration("main", CONFIGURATION)
        self.assertEqual((configuration.version, configuration.idle_seconds), (7, 9.0))
        first, second = configuration.routes
        self.assertEqual(first.destination, bytes((198, 18, 0, 1)) + (8443).to_bytes(2, "big"))
        self.assertEqual(first.parts, (RoutePart("a", 90.0), RoutePart("b", 10.0)))
        self.assertEqual(second.parts, (RoutePart("b", 1.0),))

    def test_an_evacuation_names_a_zone_and_may_hold_nothing(self) -> None:
        body = json.dumps(
            {"items": [stored("laucala", {}), stored("nabua", None)], "more": False, "at": 9}
        )
        page = store_objects.read_page(body.encode(), store_objects.translate_evacuation)
        zones = [named.record.zone for named in page.records]
        self.assertEqual((zones, page.unreadable), (["laucala", "nabua"], ()))

    def test_secrets_go_there_and_back(self) -> None:
        body = store_objects.encode_secret(b"0123456789abcdef")
        self.assertEqual(store_objects.read_secret(body), b"0123456789abcdef")

    def test_a_faulty_object_costs_itself_only(self) -> None:
        faulty = {**BACKEND, "address": "nowhere"}
        items = [stored("i-1", BACKEND), stored("i-xyz", BACKEND), stored("i-3", faulty)]
        body = json.dumps({"items": items, "more": True, "at": 9}).encode()
        page = store_objects.read_page(body, store_objects.translate_backend)
        self.assertEqual([record.name for record in page.records], ["i-1"])
        self.assertEqual(page.last_name, "i-3")
        self.assertEqual([text.split(":")[0] for text in page.unreadable], ["i-xyz", "i-3"])
        events = [
            {"gone": False, "object": stored("main", {"version": 8})},
            {"gone": True, "object": stored("other", None)},
        ]
        body = json.dumps({"events": events, "at": 12}).encode()
        batch = store_objects.read_changes(body, store_objects.translate_configuration)
        self.assertEqual(
            [(change.name, change.record) for change in batch.changes], [("other", None)]
        )
        self.assertEqual((batch.revision, len(batch.unreadable)), (12, 1))

    def test_what_is_not_as_the_pages_say_is_told(self) -> None:
        for body in (b"{", b"[]", b"{}", b'{"items": [{}], "more": false, "at": 1}'):
            with self.assertRaises(PlatformFormatError):
                store_objects.read_page(body, store_objects.translate_backend)
        with self.assertRaises(PlatformFormatError):
            store_objects.read_secret(b'{"spec": {"key": "xyz"}}')
