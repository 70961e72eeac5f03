"""Limits how long a view retains records that a restored store does not confirm."""

from __future__ import annotations

from collections.abc import Callable
from typing import Generic, TypeVar

from beamloom.model.store_revision import era_of
from beamloom.replication.store_view import ObjectChange, StoreView

Record = TypeVar("Record")


class RetentionTimer(Generic[Record]):
    """The retention timer of one view; it calls `apply` with the resulting changes and the time."""

    def __init__(
        self,
        view: StoreView[Record],
        apply: Callable[[tuple[ObjectChange[Record], ...], float], None],
    ) -> None:
        self._view = view
        self._apply = apply
        self._era: int | None = None
        self._started_at = 0.0

    def advance(self, now: float) -> None:
        """Give up the retained records once they were held in one era for `retention_seconds`."""
        view = self._view
        seconds = view.order.retention_seconds
        if view.revision is None or not view.has_retained_records or seconds is None:
            self._era = None
            return
        era = era_of(view.revision)
        if era != self._era:
            self._era, self._started_at = era, now
        elif now - self._started_at >= seconds:
            self._era = None
            self._apply(view.release_retained(), now)
