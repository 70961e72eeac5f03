"""Requests and watches of a node at the platform's store, over the simulated network."""

from __future__ import annotations

from collections.abc import Callable

from beamloom.object_api.errors import PlatformError, WatchGoneError
from beamloom.protocol.commands import (
    Command,
    ListStore,
    ReadObject,
    StopWatch,
    WatchStore,
    WriteObject,
)
from beamloom.protocol.events import Event, StoreChanged, StoreFailed
from beamloom.simulation.clock import VirtualClock
from beamloom.simulation.hosts import Host
from beamloom.simulation.network import Network
from beamloom.standins.platform_store import PlatformStore, StoreWatch

REQUEST_TIMEOUT = 2.0
"""Seconds after which a request without an answer fails."""

Deliver = Callable[[Event], None]


class StoreLink:
    """Executes the store commands of one node and delivers the answers to its host as events."""

    def __init__(
        self,
        clock: VirtualClock,
        network: Network,
        store: PlatformStore,
        *,
        store_host: Host,
        node_host: Host,
        deliver: Deliver,
    ) -> None:
        self._clock = clock
        self._network = network
        self._store = store
        self._store_host = store_host
        self._node_host = node_host
        self._deliver = deliver
        self._watches: dict[int, StoreWatch] = {}
        self._scheduled_deliveries: set[int] = set()
        store.add_listener(self._store_changed)

    def close(self) -> None:
        """End every watch and the subscription to changes of the store."""
        for watch in self._watches.values():
            self._store.close_watch(watch)
        self._watches.clear()
        self._store.remove_listener(self._store_changed)

    def execute(self, command: Command) -> None:
        """Execute a store command."""
        match command:
            case WatchStore(request_id, revision):
                self._request(request_id, self._open_watch, request_id, revision)
            case StopWatch(request_id):
                self._end_watch(request_id)
            case ListStore() | ReadObject() | WriteObject():
                self._request(command.request_id, self._apply_store_faults, command)

    def _request(self, request_id: int, run: Callable[..., None], *arguments: object) -> None:
        delay = self._network.delay_between(self._node_host, self._store_host)
        if delay is None:
            self._fail_later(request_id, "no path to the platform")
            return
        self._clock.call_later(delay, run, *arguments)

    def _fail_later(self, request_id: int, reason: str) -> None:
        event = StoreFailed(request_id, reason)
        self._clock.call_later(REQUEST_TIMEOUT, self._node_host.deliver, self._deliver, event)

    def _apply_store_faults(self, command: ListStore | ReadObject | WriteObject) -> None:
        decision = self._store.faults.decide(is_write=isinstance(command, WriteObject))
        self._clock.call_later(decision.delay_seconds, self._execute_request, command, decision)

    def _execute_request(
        self, command: ListStore | ReadObject | WriteObject, decision: object
    ) -> None:
        event = self._store.answer(command, decision)  # type: ignore[arg-type]
        self._deliver_answer(command.request_id, event)

    def _deliver_answer(self, request_id: int, event: Event) -> None:
        delay = self._network.delay_between(self._store_host, self._node_host)
        if delay is None:
            self._fail_later(request_id, "the answer was lost")
            return
        self._clock.call_later(delay, self._node_host.deliver, self._deliver, event)

    def _open_watch(self, request_id: int, revision: int) -> None:
        self._end_watch(request_id)
        try:
            self._watches[request_id] = self._store.open_watch(revision)
        except PlatformError as error:
            gone = isinstance(error, WatchGoneError)
            self._deliver_answer(request_id, StoreFailed(request_id, str(error), gone))
            return
        self._take_changes(request_id)

    def _end_watch(self, request_id: int) -> None:
        watch = self._watches.pop(request_id, None)
        if watch is not None:
            self._store.close_watch(watch)

    def _store_changed(self) -> None:
        delay = self._store.faults.plan.delay_seconds
        for request_id in self._watches:
            if request_id not in self._scheduled_deliveries:
                self._scheduled_deliveries.add(request_id)
                self._clock.call_later(delay, self._take_changes, request_id)

    def _take_changes(self, request_id: int) -> None:
        self._scheduled_deliveries.discard(request_id)
        watch = self._watches.get(request_id)
        if watch is None:
            return
        if self._network.delay_between(self._store_host, self._node_host) is None:
            self._end_watch(request_id)
            self._fail_later(request_id, "the watch was cut")
            return
        try:
            batch = self._store.take_changes(watch)
        except PlatformError as error:
            self._end_watch(request_id)
            gone = isinstance(error, WatchGoneError)
            self._deliver_answer(request_id, StoreFailed(request_id, str(error), gone))
            return
        if batch.changes:
            self._deliver_answer(
                request_id, StoreChanged(request_id, batch.revision, batch.changes)
            )
