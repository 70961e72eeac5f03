"""Backends by token bucket, service and address, with this node's observations of them.

A backend that was removed from the store may still serve, so its tokens are decoded for as long as
a flow may last. It has certainly ended once a later incarnation has its address. A backend that
restarts under its name is a new one, to which earlier observations do not apply.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping

from beamloom.model.store_revision import era_of
from beamloom.routing.tokens.answer_pace import AnswerPace
from beamloom.routing.tokens.records import BackendRecord, BackendState, ServiceWarmUp
from beamloom.routing.tokens.token import bucket_of_identity, bucket_of_token

SWEEP_SECONDS = 1.0
MAXIMUM_SUSPECTED_FRACTION = 1 / 3
MAXIMUM_FAILING_FRACTION = 1 / 5
"""Limits of the share of a service that is avoided, as the other backends must take its load."""
GONE_BACKEND_SECONDS = 75.0
"""How long a backend that the store stopped listing is kept: longer than a flow (60 s)."""
NO_RETURN_REVISIONS: Mapping[str, int] = {}
"""No evacuation ended, or the revision at which it ended is unknown."""


class Backend:
    """One incarnation of a backend: its store record and this node's observations of it.

    Load: `pending` openings are unanswered; `open` flows are answered, and `busy` ones of them wait
    for an answer. `stalled` requests were repeated several times. `pace` averages answer times.

    Failures: `failures` counts consecutive unanswered openings. New flows avoid a backend until
    `suspect_until`, as it does not answer, and until `failing_until`, as it answers with errors;
    `failing_relapses` counts relapses soon after such a time. Flows whose requests must not run
    twice avoid it until `doubted_until`.

    Liveness: `answered_at` is when it last answered an opening, `last_alive_at` when it last showed
    any sign of life. A check found it dead at `down_since`; with `was_refused`, a connection was
    refused since then. Flows that were open there at `flows_lost_until`, when the last check
    that found it dead began, are lost. It is not checked before `next_check_at`, after
    `repeated_outcomes` checks in a row with the same result. The last check began at
    `check_began_at` because of `check_reason`; with `is_check_inconclusive`, it did not show
    whether the backend is dead.

    Record: `revision` is that of its last store record. `gone_at` is when this node learned that
    the store no longer lists it; the store still listed it at `last_listed_at`. With `ended`, a
    later incarnation has its address; with `removed`, it was removed from the table; with
    `evacuated`, operators evacuate its zone. This node learned at `known_since` that the backend
    had restarted under its name.

    Warm-up: it is cold until the latest of `reported_cold_until`, as its record says,
    `presumed_cold_until`, after its process was down, and `zone_return_cold_until`, after the
    evacuation of its zone ended at the revision `zone_returned_at`. Times are in seconds.
    """

    __slots__ = (
        "answered_at",
        "busy",
        "check_began_at",
        "check_reason",
        "doubted_until",
        "down_since",
        "ended",
        "evacuated",
        "failing_relapses",
        "failing_until",
        "failures",
        "flows_lost_until",
        "gone_at",
        "is_check_inconclusive",
        "known_since",
        "last_alive_at",
        "last_listed_at",
        "next_check_at",
        "open",
        "pace",
        "pending",
        "presumed_cold_until",
        "record",
        "removed",
        "repeated_outcomes",
        "reported_cold_until",
        "revision",
        "stalled",
        "suspect_until",
        "was_refused",
        "zone_return_cold_until",
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
        self.reported_cold_until = float("-inf")
        self.presumed_cold_until = float("-inf")
        self.zone_return_cold_until = float("-inf")
        self.zone_returned_at: int | None = None
        self.gone_at: float | None = None
        self.last_listed_at = float("-inf")
        self.removed = False
        self.pending = 0
        self.open = 0
        self.busy = 0
        self.failures = 0
        self.stalled = 0
        self.suspect_until = 0.0
        self.answered_at = float("-inf")
        self.pace = AnswerPace()
        self.last_alive_at = float("-inf")
        self.failing_until = float("-inf")
        self.failing_relapses = 0
        self.doubted_until = float("-inf")
        self.down_since: float | None = None
        self.flows_lost_until = float("-inf")
        self.next_check_at = float("-inf")
        self.check_began_at = float("-inf")
        self.check_reason = ""
        self.is_check_inconclusive = False
        self.repeated_outcomes = 0
        self.was_refused = False

    def mark_doubted(self, until: float) -> None:
        """Let flows whose requests must not run twice avoid it, if enough others can take them."""
        self.doubted_until = max(self.doubted_until, until)

    def note_warm_up(self, record: BackendRecord, now: float) -> None:
        """Record how much longer the backend is cold by its record.

        A record without a warm-up ends it at once: an earlier record that arrived late has put the
        end too late.
        """
        is_cold = record.warm_up_seconds > 0
        self.reported_cold_until = now + record.warm_up_seconds if is_cold else float("-inf")

    def note_zone_returned(self, revision: int | None, cold_until: float) -> None:
        """Presume it cold after its zone's evacuation, unless a later record reports no warm-up."""
        self.zone_returned_at = revision
        self.zone_return_cold_until = max(self.zone_return_cold_until, cold_until)
        self.apply_record_since_zone_return(self.record)

    def apply_record_since_zone_return(self, record: BackendRecord) -> None:
        """Stop presuming it cold if a record written after its zone's return has no warm-up.

        Revisions of different eras are not compared: a restored store may hold an older record.
        """
        returned_at = self.zone_returned_at
        if returned_at is None or record.warm_up_seconds > 0:
            return
        if self.revision > returned_at and era_of(self.revision) == era_of(returned_at):
            self.zone_return_cold_until = float("-inf")

    @property
    def cold_until(self) -> float:
        """When its warm-up ends, as reported by its record or presumed by this node."""
        return max(self.reported_cold_until, self.presumed_cold_until, self.zone_return_cold_until)

    @property
    def takes_flows(self) -> bool:
        """Whether the store lists it as ready and its zone is not evacuated."""
        listed = self.gone_at is None and not self.ended and not self.evacuated
        return listed and self.record.state is BackendState.READY


class BackendTable:
    """All backends that packets may be forwarded to.

    `on_ended` is called for each backend whose address passes to a later incarnation.
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
        """Return every backend, including those that the store no longer lists."""
        return self._by_name.values()

    def note_failing(self, name: str, since: float, now: float, until: float) -> Backend | None:
        """Avoid a backend that answers with errors; return it if it was not avoided before.

        At most MAXIMUM_FAILING_FRACTION of a service is avoided: more failures have another cause.
        """
        backend = self.find_unless_restarted(name, since)
        if backend is None or backend.failing_until >= until:
            return None
        is_new = backend.failing_until < now
        peers = [other for other in self.of_service(backend.record.service) if other.takes_flows]
        failing = sum(other.failing_until >= now for other in peers if other is not backend)
        if failing + 1 > MAXIMUM_FAILING_FRACTION * len(peers):
            return None
        backend.failing_until = until
        return backend if is_new else None

    def find(self, name: str) -> Backend | None:
        """Return the backend of a name, or None."""
        return self._by_name.get(name)

    def find_unless_restarted(self, name: str, since: float) -> Backend | None:
        """Return the backend of a name, unless it restarted after an observation at `since`."""
        backend = self._by_name.get(name)
        return None if backend is None or since < backend.known_since else backend

    def candidates(self, token: int) -> list[Backend]:
        """Return the few backends that a token may have been minted for."""
        return self._by_bucket.get(bucket_of_token(token), [])

    def of_service(self, service: str) -> list[Backend]:
        """Return the backends of a service, including those that the store no longer lists."""
        return self._by_service.get(service, [])

    def suspect(self, name: str, since: float, until: float) -> Backend | None:
        """Avoid a backend for new flows until `until`; return it if that is later than before.

        Nothing changes if it has answered since the report. At most MAXIMUM_SUSPECTED_FRACTION of a
        service is avoided: if more are silent, there is another cause, and the remaining backends
        would be overloaded.
        """
        backend = self.find_unless_restarted(name, since)
        if backend is None or backend.answered_at >= since or backend.suspect_until >= until:
            return None
        peers = [other for other in self.of_service(backend.record.service) if other.takes_flows]
        suspected = sum(other.suspect_until > since for other in peers if other is not backend)
        if suspected + 1 > MAXIMUM_SUSPECTED_FRACTION * len(peers):
            return None
        backend.suspect_until = until
        return backend

    def set_services(self, services: frozenset[str], now: float) -> None:
        """Set the services of the configuration; before the first call, any service is accepted."""
        if services == self._services:
            return
        self._services = services
        for backend in sorted(self._by_name.values(), key=lambda held: held.revision):
            if backend.gone_at is None:
                self._claim_address(backend, now)

    def set_warm_ups(self, warm_ups: Iterable[ServiceWarmUp]) -> None:
        """Set how long backends of each service may be cold."""
        self._warm_up_seconds = {warm_up.service: warm_up.seconds for warm_up in warm_ups}

    def evacuate(
        self,
        zones: frozenset[str],
        now: float,
        return_revisions: Mapping[str, int] = NO_RETURN_REVISIONS,
    ) -> None:
        """Exclude backends of these zones, and of no others, from new flows.

        Backends of a zone whose evacuation ends may have restarted unnoticed and are presumed cold.
        `return_revisions` holds the store revision at which each evacuation ended, if known.
        """
        self._evacuated_zones = zones
        for backend in self._by_name.values():
            evacuated = backend.record.zone in zones
            if backend.evacuated and not evacuated:
                seconds = self._warm_up_seconds.get(backend.record.service, 0.0)
                revision = return_revisions.get(backend.record.zone)
                backend.note_zone_returned(revision, now + seconds)
            backend.evacuated = evacuated

    def update(self, record: BackendRecord, revision: int, now: float) -> bool:
        """Apply a store record; return whether it changes anything."""
        self._forget_expired(now)
        known = self._by_name.get(record.name)
        if known is None:
            self._add(record, revision, now)
            return True
        known.revision = revision
        known.apply_record_since_zone_return(record)
        was_gone = known.gone_at is not None
        known.gone_at = None
        if _is_new_incarnation(known.record, record):
            self._forget(known)
            self._add(record, revision, now, known_since=now)
            return True
        if not known.ended:
            self._claim_address(known, now)
        if known.record.has_same_content(record) and not was_gone:
            known.record = record
            return False
        known.note_warm_up(record, now)
        known.record = record
        known.evacuated = record.zone in self._evacuated_zones
        return True

    def presume_cold(self, backend: Backend, now: float) -> None:
        """Presume a backend cold whose process was down and can be reached again.

        It has restarted, and this node may reach it before it receives the new record.
        """
        seconds = self._warm_up_seconds.get(backend.record.service, 0.0)
        backend.presumed_cold_until = max(backend.presumed_cold_until, now + seconds)

    def remove(
        self, name: str, now: float, *, last_listed_at: float | None = None
    ) -> Backend | None:
        """Record that the store no longer lists a backend; return it if that is new.

        `last_listed_at` is a time at which the store still listed it, by default `now`.
        """
        known = self._by_name.get(name)
        if known is None or known.gone_at is not None:
            return None
        known.gone_at = now
        known.last_listed_at = now if last_listed_at is None else last_listed_at
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
        self._claim_address(backend, now)

    def _claim_address(self, backend: Backend, now: float) -> None:
        """Assign an address to the later of two incarnations; a store list may contain both.

        A backend of a service outside the configuration claims none: anyone may have written it.
        """
        if self._services is not None and backend.record.service not in self._services:
            return
        holder = self._by_address.setdefault(backend.record.address, backend)
        if holder is backend:
            return
        later = _later_incarnation(holder, backend)
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

    def _forget_expired(self, now: float) -> None:
        """Remove backends gone for GONE_BACKEND_SECONDS, at most once in SWEEP_SECONDS.

        A list has thousands of records, and this is called for each of them.
        """
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
        backend.removed = True
        self._forget_bucket(backend)
        if self._by_address.get(record.address) is backend:
            del self._by_address[record.address]

    def _forget_bucket(self, backend: Backend) -> None:
        bucket = bucket_of_identity(backend.record.identity)
        backends = self._by_bucket[bucket]
        backends.remove(backend)
        if not backends:
            del self._by_bucket[bucket]


def _is_new_incarnation(known: BackendRecord, record: BackendRecord) -> bool:
    """Return whether a record is of another backend than the known one of its name.

    The backend has restarted, or another writer uses its name.
    """
    return (
        known.born_at != record.born_at
        or known.service != record.service
        or known.address != record.address
    )


def _later_incarnation(one: Backend, other: Backend) -> Backend | None:
    """Return which of two backends with the same address got it later, or None if unknown.

    Start times decide, else revisions of the same era. Revisions of different eras are not
    compared: a store restored from an older copy may list an ended backend anew.
    """
    born = (one.record.born_at, other.record.born_at)
    if all(born) and born[0] != born[1]:
        return one if born[0] > born[1] else other
    if era_of(one.revision) != era_of(other.revision):
        return None
    return one if one.revision > other.revision else other
