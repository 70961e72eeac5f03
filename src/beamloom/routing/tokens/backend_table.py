"""Backends by token bucket and by service, with what this node saw of them.

A backend that has gone from the store may serve on, so its token is decoded for as long as a flow
may last. A backend whose address has passed to a later incarnation has ended for certain. One that
starts anew under its name is another backend: nothing that was seen of the former life counts.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping

from beamloom.model.store_revision import era_of
from beamloom.routing.tokens.answer_pace import AnswerPace
from beamloom.routing.tokens.records import BackendRecord, BackendState, ServiceWarmUp
from beamloom.routing.tokens.token import bucket_of_identity, bucket_of_token

SWEEP_SECONDS = 1.0
MOST_SUSPECTED = 1 / 3
MOST_FAILING = 1 / 5
"""The others must bear what these would get."""
GONE_BACKEND_SECONDS = 75.0
"""Longer than a flow is kept (60 s)."""
NO_RETURNS: Mapping[str, int] = {}
"""No zone was taken back, or nothing tells at which revision."""


class Backend:
    """One incarnation: its record, when it went, and this node's own view of its load.

    `pending` openings have not been answered yet, `open` flows have; of those `busy` ones wait for
    an answer. `failures` counts openings in a row that were not answered. `stalled` requests have
    been repeated again and again. `ended` means that a later incarnation has its address;
    `forgotten`, that nothing is known of it any more; `evacuated`, that operators evacuate its
    zone; `known_since`, when this node heard that it has started anew under its name; `down_since`,
    that a check found it dead; `failing_until`, that it fails requests, for the
    `failing_spells`-th time after another such spell; `doubted_until`, that requests which may not
    run twice are better kept from it. It may be cold, as after a start, until `cold_until`:
    `told_cold_until` by its own word, `presumed_cold_until` where nobody tells, and
    `returned_cold_until` since its zone was taken back, at the revision `zone_returned_at`.
    `revision` is that of the store's last word on it. `answered_at` is when it last answered an
    opening, `alive_at` when anything last came of it, `pace` how long its answers take. It is not
    checked before `check_from`; so many checks (`same_outcomes`) in a row told the same. With
    `was_refused`, nobody listened at its address while it was down. Times are in seconds.
    """

    __slots__ = (
        "alive_at",
        "answered_at",
        "busy",
        "check_from",
        "doubted_until",
        "down_since",
        "ended",
        "evacuated",
        "failing_spells",
        "failing_until",
        "failures",
        "forgotten",
        "gone_at",
        "known_since",
        "open",
        "pace",
        "pending",
        "presumed_cold_until",
        "record",
        "returned_cold_until",
        "revision",
        "same_outcomes",
        "stalled",
        "suspect_until",
        "told_cold_until",
        "was_refused",
        "zone_returned_at",
    )

    def __init__(
        self, record: BackendRecord, revision: int, known_since: float = float("-inf")
    ) -> None:
        self.record = record
        self.known_since = known_since
        self.revision = revision
        self.ended = False
        self.evacuated = False
        self.told_cold_until = float("-inf")
        self.presumed_cold_until = float("-inf")
        self.returned_cold_until = float("-inf")
        self.zone_returned_at: int | None = None
        self.gone_at: float | None = None
        self.forgotten = False
        self.pending = 0
        self.open = 0
        self.busy = 0
        self.failures = 0
        self.stalled = 0
        self.suspect_until = 0.0
        self.answered_at = float("-inf")
        self.pace = AnswerPace()
        self.alive_at = float("-inf")
        self.failing_until = float("-inf")
        self.failing_spells = 0
        self.doubted_until = float("-inf")
        self.down_since: float | None = None
        self.check_from = float("-inf")
        self.same_outcomes = 0
        self.was_refused = False

    def doubt(self, until: float) -> None:
        """Keep requests that may not run twice from it until then, where others can take them."""
        self.doubted_until = max(self.doubted_until, until)

    def note_warm_up(self, record: BackendRecord, now: float) -> None:
        """Take how much longer the backend says that it is cold.

        That it is warm holds at once: where its start was heard late, so was what is left of it.
        """
        is_cold = record.warm_up_seconds > 0
        self.told_cold_until = now + record.warm_up_seconds if is_cold else float("-inf")

    def note_zone_returned(self, revision: int | None, cold_until: float) -> None:
        """Take it for cold, as its zone was taken back, unless it has said since that it is not."""
        self.zone_returned_at = revision
        self.returned_cold_until = max(self.returned_cold_until, cold_until)
        self.note_word_since_return(self.record)

    def note_word_since_return(self, record: BackendRecord) -> None:
        """Believe an entry that was written after the zone's return and tells no warm-up.

        Revisions of two eras tell nothing of it: what a restored store holds may be older.
        """
        returned_at = self.zone_returned_at
        if returned_at is None or record.warm_up_seconds > 0:
            return
        if self.revision > returned_at and era_of(self.revision) == era_of(returned_at):
            self.returned_cold_until = float("-inf")

    @property
    def cold_until(self) -> float:
        """Until when it may be cold, as it says itself or as this node must presume."""
        return max(self.told_cold_until, self.presumed_cold_until, self.returned_cold_until)

    @property
    def takes_flows(self) -> bool:
        """Whether the store lists it as ready, and nobody evacuates its zone."""
        listed = self.gone_at is None and not self.ended and not self.evacuated
        return listed and self.record.state is BackendState.READY


class BackendTable:
    """All backends that packets may go to.

    `on_ended` hears of each whose address has passed to a later incarnation.
    """

    def __init__(self) -> None:
        self._by_name: dict[str, Backend] = {}
        self._by_bucket: dict[int, list[Backend]] = {}
        self._by_service: dict[str, list[Backend]] = {}
        self._by_address: dict[tuple[str, int], Backend] = {}
        self._swept_at = float("-inf")
        self._evacuated_zones: frozenset[str] = frozenset()
        self._warm_up_seconds: dict[str, float] = {}
        self._services: frozenset[str] | None = None
        self.on_ended: Callable[[Backend, float], None] = lambda backend, now: None

    def __len__(self) -> int:
        return len(self._by_name)

    def all(self) -> Iterable[Backend]:
        """Return every backend, gone ones among them."""
        return self._by_name.values()

    def note_failing(self, name: str, since: float, now: float, until: float) -> Backend | None:
        """Pass a backend over that answers with errors; return it if that is new.

        Never more than MOST_FAILING of a service: then something else is wrong.
        """
        backend = self.find_alive_since(name, since)
        if backend is None or backend.failing_until >= until:
            return None
        is_new = backend.failing_until < now
        peers = [other for other in self.of_service(backend.record.service) if other.takes_flows]
        failing = sum(other.failing_until >= now for other in peers if other is not backend)
        if failing + 1 > MOST_FAILING * len(peers):
            return None
        backend.failing_until = until
        return backend if is_new else None

    def find(self, name: str) -> Backend | None:
        """Return the backend of a name."""
        return self._by_name.get(name)

    def find_alive_since(self, name: str, since: float) -> Backend | None:
        """Return the backend of a name, unless what was seen then was of a former life of it."""
        backend = self._by_name.get(name)
        return None if backend is None or since < backend.known_since else backend

    def candidates(self, token: int) -> list[Backend]:
        """Return the few backends that a token may have been minted for."""
        return self._by_bucket.get(bucket_of_token(token), [])

    def of_service(self, service: str) -> list[Backend]:
        """Return the backends of a service, gone ones among them."""
        return self._by_service.get(service, [])

    def suspect(self, name: str, since: float, until: float) -> Backend | None:
        """Pass a backend over for new flows, unless it has answered since; return it if new.

        Never more than MOST_SUSPECTED of a service: where so many are silent, something else is
        wrong, and the others would get too much.
        """
        backend = self.find_alive_since(name, since)
        if backend is None or backend.answered_at >= since or backend.suspect_until >= until:
            return None
        peers = [other for other in self.of_service(backend.record.service) if other.takes_flows]
        suspected = sum(other.suspect_until > since for other in peers if other is not backend)
        if suspected + 1 > MOST_SUSPECTED * len(peers):
            return None
        backend.suspect_until = until
        return backend

    def use_services(self, services: frozenset[str], now: float) -> None:
        """Take which services there are; before the first call, any is taken to be one."""
        if services == self._services:
            return
        self._services = services
        for backend in sorted(self._by_name.values(), key=lambda held: held.revision):
            if backend.gone_at is None:
                self._take_address(backend, now)

    def use_warm_ups(self, warm_ups: Iterable[ServiceWarmUp]) -> None:
        """Take how long backends of each service may be cold."""
        self._warm_up_seconds = {warm_up.service: warm_up.seconds for warm_up in warm_ups}

    def evacuate(
        self, zones: frozenset[str], now: float, returns: Mapping[str, int] = NO_RETURNS
    ) -> None:
        """Let backends of these zones, and of no others, get no new flows.

        Those of a zone that is taken back may have turned cold unheard; `returns` tells at which
        revision of the store each was, where that is known.
        """
        self._evacuated_zones = zones
        for backend in self._by_name.values():
            evacuated = backend.record.zone in zones
            if backend.evacuated and not evacuated:
                seconds = self._warm_up_seconds.get(backend.record.service, 0.0)
                revision = returns.get(backend.record.zone)
                backend.note_zone_returned(revision, now + seconds)
            backend.evacuated = evacuated

    def update(self, record: BackendRecord, revision: int, now: float) -> bool:
        """Take one record of the store; return whether it changes anything."""
        self._forget_gone(now)
        known = self._by_name.get(record.name)
        if known is None:
            self._add(record, revision, now)
            return True
        known.revision = revision
        known.note_word_since_return(record)
        came_back = known.gone_at is not None
        known.gone_at = None
        if _is_another(known.record, record):
            self._forget(known)
            self._add(record, revision, now, known_since=now)
            return True
        if not known.ended:
            self._take_address(known, now)
        if known.record.tells_same(record) and not came_back:
            known.record = record
            return False
        known.note_warm_up(record, now)
        known.record = record
        known.evacuated = record.zone in self._evacuated_zones
        return True

    def note_process_began(self, backend: Backend, now: float) -> None:
        """Take a backend for cold whose process was gone, until its entry tells more.

        It has started anew, and nodes can reach it before they hear so.
        """
        seconds = self._warm_up_seconds.get(backend.record.service, 0.0)
        backend.presumed_cold_until = max(backend.presumed_cold_until, now + seconds)

    def remove(self, name: str, now: float) -> Backend | None:
        """Note that the store no longer lists a backend; return it where that is new."""
        known = self._by_name.get(name)
        if known is None or known.gone_at is not None:
            return None
        known.gone_at = now
        return known

    def _add(
        self,
        record: BackendRecord,
        revision: int,
        now: float,
        known_since: float = float("-inf"),
    ) -> None:
        backend = Backend(record, revision, known_since)
        backend.note_warm_up(record, now)
        backend.evacuated = record.zone in self._evacuated_zones
        bucket = bucket_of_identity(record.identity)
        self._by_bucket.setdefault(bucket, []).append(backend)
        self._by_name[record.name] = backend
        self._by_service.setdefault(record.service, []).append(backend)
        self._take_address(backend, now)

    def _take_address(self, backend: Backend, now: float) -> None:
        """Let the later one of two incarnations have an address; a list may name both.

        An entry of a service that no configuration names takes none: it may be anybody's.
        """
        if self._services is not None and backend.record.service not in self._services:
            return
        holder = self._by_address.setdefault(backend.record.address, backend)
        if holder is backend:
            return
        later = _later_of(holder, backend)
        if later is None:
            return
        earlier = backend if later is holder else holder
        self._by_address[backend.record.address] = later
        if earlier.ended:
            return
        earlier.ended = True
        if earlier.gone_at is None:
            earlier.gone_at = now
        self.on_ended(earlier, now)

    def _forget_gone(self, now: float) -> None:
        """Forget what has been gone for long; not at each of the thousands of records of a list."""
        if now - self._swept_at < SWEEP_SECONDS:
            return
        self._swept_at = now
        for backend in list(self._by_name.values()):
            if backend.gone_at is not None and backend.gone_at + GONE_BACKEND_SECONDS <= now:
                self._forget(backend)

    def _forget(self, backend: Backend) -> None:
        record = backend.record
        del self._by_name[record.name]
        self._by_service[record.service].remove(backend)
        backend.forgotten = True
        self._forget_bucket(backend)
        if self._by_address.get(record.address) is backend:
            del self._by_address[record.address]

    def _forget_bucket(self, backend: Backend) -> None:
        bucket = bucket_of_identity(backend.record.identity)
        backends = self._by_bucket[bucket]
        backends.remove(backend)
        if not backends:
            del self._by_bucket[bucket]


def _is_another(known: BackendRecord, record: BackendRecord) -> bool:
    """Whether an entry is of another backend than the known one of its name.

    It has started anew then, or another writer has the name.
    """
    return (
        known.born_at != record.born_at
        or known.service != record.service
        or known.address != record.address
    )


def _later_of(one: Backend, other: Backend) -> Backend | None:
    """Return which of two incarnations has come later to the address that both tell.

    None where nothing tells: a store that was restored from an older copy may list one that has
    long ended, and not yet the one that lives.
    """
    born = (one.record.born_at, other.record.born_at)
    if all(born) and born[0] != born[1]:
        return one if born[0] > born[1] else other
    if era_of(one.revision) != era_of(other.revision):
        return None
    return one if one.revision > other.revision else other
