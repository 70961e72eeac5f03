"""One kind of object as nodes tell each other of it: a view, its encoding, its confirmations."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Callable, Sequence
from typing import Generic, TypeVar

from beamloom.model.store_revision import era_of, number_of, revision_in_era
from beamloom.protocol.view_messages import NEVER, ViewRequest
from beamloom.replication.store_view import ObjectChange, StoreView, ViewDelta
from beamloom.replication.view_transfer import pack

Record = TypeVar("Record")

PACKED_KEPT = 8


class DeltaCodec(ABC, Generic[Record]):
    """Encodes deltas of one kind; `decode` raises ValueError."""

    @property
    def bases(self) -> list[int]:
        """What this node holds that a peer's encoding may build on, the best first."""
        return []

    def choose_base(self, _bases: Sequence[int]) -> int:
        """Return which of a peer's bases to build on; NEVER: none."""
        return NEVER

    @abstractmethod
    def encode(self, delta: ViewDelta[Record], base: int) -> bytes:
        """Return the bytes of a delta for a peer that holds this base."""

    @abstractmethod
    def decode(self, data: bytes) -> ViewDelta[Record]:
        """Return the delta of these bytes."""


class SharedView(Generic[Record]):
    """One kind of object as the exchange sees it.

    `on_changes` is called with what peers told that was news. Where no confirmation came for
    `late_seconds`, peers are asked for one.
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
        self._ahead: tuple[int, float] | None = None
        self._packed_at: int | None = None
        self._packed: dict[tuple[int, int], bytes] = {}
        self._codec = codec
        self._on_changes = on_changes

    @property
    def revision(self) -> int:
        """Up to which revision the view is known; NEVER where nothing is."""
        return NEVER if self.view.revision is None else self.view.revision

    @property
    def mark(self) -> int:
        """How far what is known is by its own marks, whatever the store's revisions tell."""
        return self.view.mark

    def request(self, index: int, attempt: int, *, whole: bool = False) -> ViewRequest:
        """Return the request for what this node lacks of the `index`th kind, or for all of it."""
        bases = self._codec.bases
        if self.view.revision is None or whole:
            return ViewRequest(index, NEVER, attempt=attempt, versions=bases)
        number, era = number_of(self.view.revision), era_of(self.view.revision)
        return ViewRequest(index, number, attempt=attempt, era=era, versions=bases)

    def encode_for(self, request: ViewRequest) -> bytes | None:
        """Return what a peer lacks, packed; None where it lacks nothing known here."""
        since = request.since
        revision = since if since == NEVER else revision_in_era(request.era, since)
        return self._encode_since(revision, request.versions)

    def _encode_since(self, revision: int, bases: Sequence[int]) -> bytes | None:
        """Encode what a peer at a revision lacks.

        Many peers lack the same, so it is kept until the view gets further.
        """
        if self._packed_at != self.view.revision:
            self._packed_at = self.view.revision
            self._packed = {}
        base = self._codec.choose_base(bases)
        key = (revision, base)
        if key not in self._packed:
            delta = self.view.since(revision)
            if delta is None:
                return None
            if len(self._packed) >= PACKED_KEPT:
                self._packed.clear()
            self._packed[key] = pack(self._codec.encode(delta, base))
        return self._packed[key]

    def note_ahead(self, revision: int, at: float) -> None:
        """Note that the store had no change beyond a revision at a moment, which is not known yet.

        Most revisions are those of other kinds of object; without this each would put the
        confirmation off until the next digest, and nodes would ask the store themselves.
        """
        self._ahead = (revision, at)

    def merge(self, data: bytes) -> bool:
        """Take a peer's delta; return whether the view got further. Raises ValueError."""
        changes = self.view.merge(self._codec.decode(data))
        if changes is None:
            return False
        self._confirm_ahead()
        self._packed_at = None
        if changes:
            self._on_changes(changes)
        return True

    def _confirm_ahead(self) -> None:
        if self._ahead is None or self.view.revision is None or not self._confirms_early:
            return
        revision, at = self._ahead
        if self.view.revision >= revision:
            self.view.confirm(at)
            self._ahead = None
