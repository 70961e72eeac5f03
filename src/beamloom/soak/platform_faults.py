"""Faults of the platform itself in a soak.

The store is restored from an older copy, endpoints restart under their names, and foreign entries
appear among those of the endpoints.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable
from functools import partial
from typing import Any

from beamloom.platform.store_objects import (
    BACKENDS_KIND,
    CONFIGURATION_KIND,
    CONFIGURATION_NAME,
    EVACUATIONS_KIND,
)
from beamloom.simulation.tokens.deployment import SERVICES, ZONES
from beamloom.simulation.tokens.store_restores import (
    ENDPOINT_REWRITE_SECONDS,
    HEARTBEAT_TIMEOUT_SECONDS,
    OPERATOR_REWRITE_SECONDS,
    StoreRestores,
    Writer,
)
from beamloom.soak.endpoint import SoakEndpoint
from beamloom.soak.platform_side import SoakPlatform
from beamloom.standins.another_writer import make_content
from beamloom.standins.token_store import NoSuchObjectError

MAXIMUM_DOWNTIME_SECONDS = 1.5
"""Maximum downtime of a restarting endpoint; shorter than the timeout of its entry."""
FOREIGN_SECONDS = 6.0
FIRST_FOREIGN_IDENTITY = 0xF000
DAMAGED_NAMES = ("i-0bad0001", "i-0bad0002", "i-0bad0003")
DAMAGED_CONFIGURATION = "other"
DAMAGED_INTERVAL_SECONDS = 0.4
"""How often the damaged objects of another program are written again, each time differently."""


class PlatformFaults:
    """Faults of the platform; `kinds` maps their names to functions that inject one.

    `call_later` calls a function after some seconds. With `damage_rng`, foreign entries include
    damaged ones, which nodes of earlier versions do not survive.
    """

    def __init__(
        self,
        platform: SoakPlatform,
        rng: random.Random,
        now: Callable[[], float],
        call_later: Callable[[float, Callable[[], object]], None],
        damage_rng: random.Random | None = None,
    ) -> None:
        self._damage_rng = damage_rng
        self._platform = platform
        self._rng = rng
        self._call_later = call_later
        self._foreign_count = 0
        self._restores = StoreRestores(platform.server.store, self, rng, now, call_later)
        self.kinds: dict[str, Callable[[], None]] = {
            "store_restored": self._restores.restore_at_random,
            "endpoint_reborn": self._restart_one,
            "service_reborn": self._restart_service,
            "foreign_entries": self._write_foreign,
        }

    def suspend_store(self, seconds: float) -> None:
        """Make the store unavailable for `seconds`: it refuses all calls or answers none."""
        fault = self._rng.choice(("unavailable", "silent"))
        self._platform.inject_store_fault(fault, True, seconds)

    def writers(self) -> Iterable[Writer]:
        """Wake the watches, and yield the writers that correct the store after a restore."""
        self._platform.server.note_change()
        yield Writer(self._rewrite_configuration, OPERATOR_REWRITE_SECONDS)
        for endpoint in self._platform.endpoints:
            if endpoint.alive:
                yield Writer(partial(self._rewrite_entry, endpoint), ENDPOINT_REWRITE_SECONDS)
            else:
                remove_entry = partial(self._platform.remove_entry, endpoint)
                yield Writer(remove_entry, HEARTBEAT_TIMEOUT_SECONDS, HEARTBEAT_TIMEOUT_SECONDS)
        yield Writer(self._remove_foreign, HEARTBEAT_TIMEOUT_SECONDS, HEARTBEAT_TIMEOUT_SECONDS)

    def _rewrite_configuration(self) -> None:
        store = self._platform.server.store
        content = self._platform.configuration
        store.put_if_different(CONFIGURATION_KIND, CONFIGURATION_NAME, content)
        for zone in ZONES:
            if zone in self._platform.evacuated:
                store.put_if_different(EVACUATIONS_KIND, zone, {})
            elif store.remove_if_present(EVACUATIONS_KIND, zone):
                self._platform.note_stale_evacuation_ended(zone)
        self._platform.server.note_change()

    def _rewrite_entry(self, endpoint: SoakEndpoint) -> None:
        """Write the entry again unless the store holds it, apart from its sequence number."""
        if endpoint.alive and not self._store_holds_entry(endpoint):
            self._platform.announce(endpoint.record)

    def _store_holds_entry(self, endpoint: SoakEndpoint) -> bool:
        try:
            stored = self._platform.server.store.read(BACKENDS_KIND, endpoint.record.name).content
        except NoSuchObjectError:
            return False
        entry = self._platform.encode(endpoint.record)
        assert isinstance(stored, dict)
        return {**stored, "sequence": 0} == {**entry, "sequence": 0}

    def _restart_one(self) -> None:
        alive = [endpoint for endpoint in self._platform.endpoints if endpoint.alive]
        if alive:
            self._restart(self._rng.choice(alive))

    def _restart_service(self) -> None:
        for endpoint in self._platform.running_endpoints(self._rng.choice(SERVICES)):
            self._restart(endpoint)

    def _restart(self, endpoint: SoakEndpoint) -> None:
        self._platform.restart_endpoint(endpoint, self._rng.uniform(0.0, MAXIMUM_DOWNTIME_SECONDS))

    def _write_foreign(self) -> None:
        """Write malformed or unrelated entries, some with the address of a running endpoint."""
        alive = [endpoint.record for endpoint in self._platform.endpoints if endpoint.alive]
        if not alive:
            return
        entry = self._platform.encode(self._rng.choice(alive))
        foreign_contents: list[object] = [
            "garbage",
            None,
            {key: value for key, value in entry.items() if key != "zone"},
            {**entry, "slots": "two"},
            {**entry, "state": "parked"},
            {**entry, "service": "unheard-of"},
            {**entry, "address": 7},
        ]
        for content in self._rng.sample(foreign_contents, len(foreign_contents) // 2):
            self._foreign_count += 1
            name = f"i-{FIRST_FOREIGN_IDENTITY + self._foreign_count:08x}"
            self._platform.server.store.put(BACKENDS_KIND, name, content)
        self._platform.server.note_change()
        self._call_later(FOREIGN_SECONDS, self._remove_foreign)
        if self._damage_rng is not None:
            writes = int(FOREIGN_SECONDS / DAMAGED_INTERVAL_SECONDS)
            self._write_damaged(entry, self._damage_rng, writes)

    def _write_damaged(self, entry: dict[str, Any], rng: random.Random, writes: int) -> None:
        """Write damaged copies of an endpoint's entry, and a damaged object beside the routes."""
        store = self._platform.server.store
        for name in DAMAGED_NAMES:
            store.put(BACKENDS_KIND, name, make_content(entry, rng))
        routes = make_content(self._platform.configuration, rng)
        store.put(CONFIGURATION_KIND, DAMAGED_CONFIGURATION, routes)
        self._platform.server.note_change()
        if writes > 1:
            write_again = partial(self._write_damaged, entry, rng, writes - 1)
            self._call_later(DAMAGED_INTERVAL_SECONDS, write_again)
        else:
            self._call_later(DAMAGED_INTERVAL_SECONDS, self._remove_damaged)

    def _remove_damaged(self) -> None:
        for name in DAMAGED_NAMES:
            self._platform.server.store.remove_if_present(BACKENDS_KIND, name)
        store = self._platform.server.store
        store.remove_if_present(CONFIGURATION_KIND, DAMAGED_CONFIGURATION)
        self._platform.server.note_change()

    def _remove_foreign(self) -> None:
        for number in range(1, self._foreign_count + 1):
            name = f"i-{FIRST_FOREIGN_IDENTITY + number:08x}"
            self._platform.server.store.remove_if_present(BACKENDS_KIND, name)
        self._remove_damaged()
