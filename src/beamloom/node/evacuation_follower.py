"""Tracks which zones operators evacuate, from the store and from peers.

An evacuation is a store object, and its removal ends the evacuation. It is read and exchanged like
backends and the configuration, but polled less often: see `reading_times.py`.
"""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Callable, Collection, Mapping
from typing import TYPE_CHECKING, Any

from beamloom.node.record_orders import EvacuationOrder
from beamloom.replication.object_watch import ObjectWatch
from beamloom.replication.reader_duty import ReaderRole
from beamloom.replication.reading_times import StoreCallTimes
from beamloom.replication.reading_turn import StoreCallSchedule
from beamloom.replication.retention_timer import RetentionTimer
from beamloom.replication.store_view import ObjectChange, StoreView
from beamloom.routing.tokens.records import ZoneEvacuation
from beamloom.settings.mechanisms import ALL_MECHANISMS, Mechanisms

if TYPE_CHECKING:
    from beamloom.replication.shared_view import SharedView

KIND = 2
"""Number of this kind of object, by which readers divide the kinds: see `ReaderRole.reads`."""

EvacuationChanges = tuple[ObjectChange[ZoneEvacuation], ...]


class EvacuationFollower:
    """The evacuations that one node knows.

    `since` is when this node learned of each, in seconds of the monotonic clock. `on_zones_changed`
    is called with all evacuated zones, the time, and for zones no longer evacuated the revision at
    which that changed (a later one if it was seen in a list). `on_change` is called for each change
    of a zone with whether it is evacuated now, and the revision. Evacuations outside `known_zones`
    are counted and ignored; if `known_zones` is empty, every zone is accepted. While the calls of
    `depends_on`, the watch of another kind, fail, only readers call the store.

    With `is_seed` the first list is requested at once and must not be stale, as stale lists are not
    passed on to peers. Starting nodes ask the seeds first, and after a start of the whole fleet no
    other node would know of an evacuation until readers are elected.
    """

    def __init__(
        self,
        role: ReaderRole,
        rng: random.Random,
        times: StoreCallTimes,
        known_zones: Collection[str] = (),
        *,
        depends_on: ObjectWatch[Any] | None = None,
        is_seed: bool = False,
        mechanisms: Mechanisms = ALL_MECHANISMS,
    ) -> None:
        self.view: StoreView[ZoneEvacuation] = StoreView(EvacuationOrder())
        self.watch = ObjectWatch(self.view, rng, stale_start=not is_seed, may_be_empty=True)
        self.schedule = StoreCallSchedule(
            self.watch,
            role,
            rng,
            KIND,
            times=times,
            lists_from_peers=mechanisms.evacuations_from_peers and not is_seed,
            depends_on=depends_on,
        )
        self.evacuated_since: dict[str, float] = {}
        self.counters: Counter[str] = Counter()
        self.on_zones_changed: Callable[[frozenset[str], float, Mapping[str, int]], None] = (
            lambda zones, now, end_revisions: None
        )
        self.on_change: Callable[[str, bool, int], None] = lambda zone, evacuated, revision: None
        self.on_unknown_zone: Callable[[str], None] = lambda zone: None
        self._retained_evacuations = RetentionTimer(self.view, self.apply)
        self._times = times
        self._known_zones = frozenset(known_zones)
        self._confirms_early = mechanisms.early_confirmation

    def make_shared_view(
        self, apply: Callable[[EvacuationChanges], None]
    ) -> SharedView[ZoneEvacuation]:
        """Return the view for the exchange with peers; `apply` is called with their changes."""
        from beamloom.node.view_codecs import EVACUATION_CODEC
        from beamloom.replication.shared_view import SharedView

        return SharedView(
            self.view,
            EVACUATION_CODEC,
            apply,
            late_seconds=self._times.late_seconds,
            confirms_early=self._confirms_early,
        )

    def advance(self, now: float) -> None:
        """Adopt a restored store's state once operators have had time to write again."""
        self._retained_evacuations.advance(now)

    def apply(self, changes: EvacuationChanges, now: float) -> None:
        """Apply changes from the store or from peers."""
        before = set(self.evacuated_since)
        for change in changes:
            self._apply_one(change, now)
        if self.evacuated_since.keys() != before:
            gone = (change for change in changes if change.record is None)
            end_revisions = {change.name: change.revision for change in gone}
            self.on_zones_changed(frozenset(self.evacuated_since), now, end_revisions)

    def _apply_one(self, change: ObjectChange[ZoneEvacuation], now: float) -> None:
        zone = change.name
        if change.record is None:
            if self.evacuated_since.pop(zone, None) is not None:
                self.on_change(zone, False, change.revision)
        elif self._known_zones and zone not in self._known_zones:
            self.counters["unknown_zones"] += 1
            self.on_unknown_zone(zone)
        elif zone not in self.evacuated_since:
            self.evacuated_since[zone] = now
            self.on_change(zone, True, change.revision)
