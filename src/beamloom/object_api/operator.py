"""Operators' writes: conditional, named by an operation id, and resolved when an answer is lost.

A write counts as accepted only when the store said so or its history shows it, and as not done only
when it can no longer take effect. See docs/design/object-api.md for the reasoning.
"""

from __future__ import annotations

from collections.abc import Callable
from contextlib import aclosing
from copy import deepcopy
from dataclasses import dataclass
from random import Random
from typing import Any

from beamloom.object_api.differences import OPERATION_FIELD, EditConflictError, operation_of
from beamloom.object_api.errors import (
    ObjectNotFoundError,
    OutcomeUnknownError,
    PlatformError,
    StoreConflictError,
    StoreUnavailableError,
    TooManyReadersError,
    WatchGoneError,
)
from beamloom.object_api.object_client import ObjectClient
from beamloom.object_api.retry import Retrier
from beamloom.protocol.events import StoredObject

OPERATION_ID_BITS = 128
DELETION = "deletion"

TRANSIENT_ERRORS = (StoreUnavailableError, OutcomeUnknownError, TooManyReadersError)


@dataclass(frozen=True, slots=True)
class AcceptedWrite:
    """A write that took effect at `revision`.

    `superseded_by` is the operation id of a later write seen while a lost answer was resolved
    (`deletion` where the object was deleted), or None.
    """

    key: str
    revision: int
    operation_id: str
    superseded_by: str | None = None


class WriteUnresolvedError(PlatformError):
    """The answer was lost and the store does not show whether the write takes effect."""

    def __init__(self, attempt: WriteAttempt, detail: str) -> None:
        self.key = attempt.key
        self.operation_id = attempt.operation_id
        if attempt.value is None:
            sign = f"the deletion did not take effect while {self.key} carries it"
        else:
            sign = f"the write took effect if {self.key} carries it"
        super().__init__(
            f"whether the write of {self.key} took or will take effect is unknown ({detail}); "
            f"read the object once the store answers and look for operation "
            f"{self.operation_id}: {sign}"
        )


@dataclass(frozen=True, slots=True)
class WriteAttempt:
    """One operator's write: `base` is the object it builds on, `base_revision` the store's then."""

    key: str
    operation_id: str
    value: dict[str, Any] | None
    base: StoredObject | None
    base_revision: int

    @property
    def expected_revision(self) -> int:
        """The condition of the write."""
        return self.base.revision if self.base else 0

    def find_own(self, changes: tuple[StoredObject, ...]) -> StoredObject | None:
        """Return the change that this write made, from the key's changes after `base_revision`.

        A write on an existing object can only be the first change after its base.
        """
        for change in changes if self.base is None else changes[:1]:
            if self.made(change):
                return change
        return None

    def made(self, change: StoredObject) -> bool:
        """Whether a change of the key looks like this write's effect."""
        if self.value is None:
            return change.value is None
        return operation_of(change) == self.operation_id


class OperatorWriter:
    """Creates, updates and deletes objects; `rng` must be unpredictable across operators.

    In production pass `random.SystemRandom()`: two operators must not draw the same operation id.
    """

    def __init__(self, client: ObjectClient, rng: Random, retrier: Retrier) -> None:
        self._client = client
        self._rng = rng
        self._retrier = retrier

    async def create_object(self, key: str, value: dict[str, Any]) -> AcceptedWrite:
        """Create an object; raises EditConflictError, WriteUnresolvedError, PlatformError."""
        reading = await self._client.read(key)
        if reading.found is not None:
            raise EditConflictError(key, None, reading.found)
        return await self._submit(self._attempt(key, deepcopy(value), None, reading.revision))

    async def update_object(
        self, key: str, change: Callable[[dict[str, Any]], dict[str, Any]]
    ) -> AcceptedWrite:
        """Write what `change` makes of the current value (a copy of it).

        Raises ObjectNotFoundError, EditConflictError, WriteUnresolvedError and PlatformError.
        """
        found = await self._existing(key)
        value = change(deepcopy(found.value or {}))
        return await self._submit(self._attempt(key, value, found, found.revision))

    async def delete_object(self, key: str) -> AcceptedWrite:
        """Delete an object; raises the same errors as `update_object`.

        A deletion keeps no operation id, so the operator first claims the object by writing its own
        id to it: a deletion that follows directly upon that revision can only be its own.
        """
        found = await self._existing(key)
        claim = self._attempt(key, deepcopy(found.value or {}), found, found.revision)
        claimed = await self._submit(claim)
        base = StoredObject(key, claim.value, claimed.revision, found.created_revision)
        deletion = WriteAttempt(key, claim.operation_id, None, base, claimed.revision)
        return await self._submit(deletion)

    async def _existing(self, key: str) -> StoredObject:
        found = (await self._client.read(key)).found
        if found is None:
            raise ObjectNotFoundError(key)
        return found

    def _attempt(
        self, key: str, value: dict[str, Any], base: StoredObject | None, base_revision: int
    ) -> WriteAttempt:
        operation_id = f"{self._rng.getrandbits(OPERATION_ID_BITS):032x}"
        named = {**value, OPERATION_FIELD: operation_id}
        return WriteAttempt(key, operation_id, named, base, base_revision)

    async def _submit(self, attempt: WriteAttempt) -> AcceptedWrite:
        try:
            return await self._send(attempt)
        except StoreConflictError as error:
            raise EditConflictError(attempt.key, attempt.base, error.current) from error
        except OutcomeUnknownError as error:
            return await self._resolve(attempt, error)

    async def _send(self, attempt: WriteAttempt) -> AcceptedWrite:
        revision = await self._client.write(attempt.key, attempt.value, attempt.expected_revision)
        return AcceptedWrite(attempt.key, revision, attempt.operation_id)

    async def _resolve(self, attempt: WriteAttempt, lost: PlatformError) -> AcceptedWrite:
        detail: PlatformError = lost
        for pause in self._retrier.pauses():
            await self._retrier.pause(pause)
            try:
                accepted = await self._settle(attempt)
            except TRANSIENT_ERRORS as error:
                detail = error
                continue
            except WatchGoneError as error:
                detail = error
                break
            if accepted is not None:
                return accepted
        raise WriteUnresolvedError(attempt, str(detail)) from detail

    async def _settle(self, attempt: WriteAttempt) -> AcceptedWrite | None:
        """Find out what became of an attempt; None where nothing can be said yet.

        A write on a revision is sent again: at most one of the two takes effect, and after an
        answer neither can any more. A creation is never sent again, since "must not exist" may come
        true a second time.
        """
        if attempt.base is None:
            reading = await self._client.read(attempt.key)
            return await self._recognise(attempt, reading.found)
        try:
            return await self._send(attempt)
        except StoreConflictError as error:
            accepted = await self._recognise(attempt, error.current)
            if accepted is None:
                raise EditConflictError(attempt.key, attempt.base, error.current) from error
            return accepted

    async def _recognise(
        self, attempt: WriteAttempt, current: StoredObject | None
    ) -> AcceptedWrite | None:
        """Return the attempt's effect, as the current object or the history shows it."""
        if current is not None and attempt.made(current):
            return AcceptedWrite(attempt.key, current.revision, attempt.operation_id)
        return await self._search_history(attempt)

    async def _search_history(self, attempt: WriteAttempt) -> AcceptedWrite | None:
        changes = await self._changes_of(attempt.key, attempt.base_revision)
        own = attempt.find_own(changes)
        if own is None:
            return None
        newest = changes[-1]
        superseded_by = None if newest is own else operation_of(newest) or DELETION
        return AcceptedWrite(attempt.key, own.revision, attempt.operation_id, superseded_by)

    async def _changes_of(self, key: str, revision: int) -> tuple[StoredObject, ...]:
        async with aclosing(self._client.watch(revision, key)) as batches:
            async for batch in batches:
                return tuple(change for change in batch.changes if change.key == key)
        return ()
