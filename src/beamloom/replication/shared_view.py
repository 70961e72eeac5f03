"""One kind of object as nodes exchange it: a view, its encoding and its confirmations."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Callable, Sequence
from typing import Generic, TypeVar

from beamloom.model.store_revision import era_of, number_of, revision_in_era
from beamloom.protocol.view_messages import NEVER, ViewRequest
from beamloom.replication.store_view import ObjectChange, StoreView, ViewDelta
from beamloom.replication.view_transfer import pack

Record = TypeVar("Record")

MAXIMUM_CACHED_DELTAS = 8


class DeltaCodec(ABC, Generic[Record]):
    """Encodes and decodes deltas of one kind."""

    @property
    def bases(self) -> list[int]:
        """Versions held here that a peer may encode a difference against, the best first."""
        return []

    def choose_base(self, _bases: Sequence[int]) -> int:
        """Return which of a peer's bases to encode against; NEVER for none."""
        return NEVER

    @abstractmethod
    def encode(self, delta: ViewDelta[Record], base: int) -> bytes:
        """Encode a delta for a peer that holds this base."""

    @abstractmethod
    def decode(self, data: bytes) -> ViewDelta[Record]:
        """Decode a delta; raises ValueError if it is invalid."""


class SharedView(Generic[Record]):
    """A view together with its state in the exchange.

    `on_changes` is called with the changes merged from peers. A view without a confirmation for
    `late_seconds` is late, and the exchange probes peers. `behind_since` is when the first digest
    with a higher revision arrived; a merge resets it. With `confirms_early` a confirmation of
    a higher revision takes effect as soon as that revision is merged.
    """

    def __init__(
        self,
        view: StoreView[Record],
        codec: DeltaCodec[Record],
        on_changes: Callable[[tuple[ObjectChange[Record], ...]], None],
        *,
        late_seconds: float,
        confirms_early: bool = True,
    ) -> None:
        self.view = view
        self.late_seconds = late_seconds
        self._confirms_early = confirms_early
        self.requested_at = float("-inf")
        self.behind_since: float | None = None
        self._pending_confirmation: tuple[int, float] | None = None
        self._cache_revision: int | None = None
        self._cache: dict[tuple[int, int], bytes] = {}
        self._codec = codec
        self._on_changes = on_changes

    @property
    def revision(self) -> int:
        """The view's revision; NEVER if it has none."""
        return NEVER if self.view.revision is None else self.view.revision

    @property
    def mark(self) -> int:
        """The highest mark of the view's records, independent of the store's revisions."""
        return self.view.mark

    def request(self, index: int, attempt: int, *, whole: bool = False) -> ViewRequest:
        """Return the request for the changes that this view lacks, or for the `whole` view."""
        bases = self._codec.bases
        if self.view.revision is None or whole:
            return ViewRequest(index, NEVER, attempt=attempt, versions=bases)
        number, era = number_of(self.view.revision), era_of(self.view.revision)
        return ViewRequest(index, number, attempt=attempt, era=era, versions=bases)

    def encode_for(self, request: ViewRequest) -> bytes | None:
        """Return a packed delta for a peer's request; None if this view is not ahead of it."""
        since = request.since
        revision = since if since == NEVER else revision_in_era(request.era, since)
        return self._encode_since(revision, request.versions)

    def _encode_since(self, revision: int, bases: Sequence[int]) -> bytes | None:
        """Return the packed delta from a revision, from the cache if the view has not changed."""
        if self._cache_revision != self.view.revision:
            self._cache_revision = self.view.revision
            self._cache = {}
        base = self._codec.choose_base(bases)
        key = (revision, base)
        if key not in self._cache:
            delta = self.view.since(revision)
            if delta is None:
                return None
            if len(self._cache) >= MAXIMUM_CACHED_DELTAS:
                self._cache.clear()
            self._cache[key] = pack(self._codec.encode(delta, base))
        return self._cache[key]

    def note_pending_confirmation(self, revision: int, at: float) -> None:
        """Record that a revision not reached here yet was current at a time.

        The confirmation then takes effect with the merge instead of the next digest; otherwise
        changes of other kinds, which raise the revision too, would make views stale.
        """
        self._pending_confirmation = (revision, at)

    def merge(self, data: bytes) -> bool:
        """Merge a peer's encoded delta; return whether it was applied. Raises ValueError."""
        changes = self.view.merge(self._codec.decode(data))
        if changes is None:
            return False
        self._apply_pending_confirmation()
        self._cache_revision = None
        if changes:
            self._on_changes(changes)
        return True

    def _apply_pending_confirmation(self) -> None:
        if (
            self._pending_confirmation is None
            or self.view.revision is None
            or not self._confirms_early
        ):
            return
        revision, at = self._pending_confirmation
        if self.view.revision >= revision:
            self.view.confirm(at)
            self._pending_confirmation = None
