"""Conditional writes of operators, whose outcome is determined also after a lost response.

Each created or updated object carries the operation id of its write. A write is accepted only if
the store confirmed it or the store's state or history shows it. EditConflictError is raised only if
the write can no longer take effect. See docs/design/object-api.md.
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

    `superseded_by` is the operation id of the newest later write that was found while resolving a
    lost response. It is `deletion` if that write has no operation id or deleted the object, and
    None if no later write was found.
    """

    key: str
    revision: int
    operation_id: str
    superseded_by: str | None = None


class WriteUnresolvedError(PlatformError):
    """A response was lost, and the store does not show whether the write takes effect."""

    def __init__(self, attempt: WriteAttempt, detail: str) -> None:
        self.key = attempt.key
        self.operation_id = attempt.operation_id
        if attempt.value is None:
            evidence = f"the deletion did not take effect while {self.key} carries it"
        else:
            evidence = f"the write took effect if {self.key} carries it"
        super().__init__(
            f"the outcome of the write of {self.key} is unknown, it may still take effect "
            f"({detail}); read the object once the store answers and look for operation "
            f"{self.operation_id}: {evidence}"
        )


@dataclass(frozen=True, slots=True)
class WriteAttempt:
    """A write that replaces `base`, or creates an object if `base` is None.

    Its effect, if any, is among the changes after `base_revision`.
    """

    key: str
    operation_id: str
    value: dict[str, Any] | None
    base: StoredObject | None
    base_revision: int

    @property
    def expected_revision(self) -> int:
        """The object's revision that the write requires; 0 if it must not exist."""
        return self.base.revision if self.base else 0

    def find_effect(self, changes: tuple[StoredObject, ...]) -> StoredObject | None:
        """Return the change that this write made, given the key's changes after `base_revision`.

        A write of an existing object can only be the first change after its base.
        """
        for change in changes if self.base is None else changes[:1]:
            if self.matches(change):
                return change
        return None

    def matches(self, change: StoredObject) -> bool:
        """Return whether a change has this write's operation id; deletions match any deletion."""
        if self.value is None:
            return change.value is None
        return operation_of(change) == self.operation_id


class OperatorWriter:
    """Creates, updates and deletes objects.

    `rng` draws operation ids, which must be unique across operators: pass `random.SystemRandom()`
    in production.
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
        return await self._submit(self._new_attempt(key, deepcopy(value), None, reading.revision))

    async def update_object(
        self, key: str, change: Callable[[dict[str, Any]], dict[str, Any]]
    ) -> AcceptedWrite:
        """Replace the current value by what `change` returns for a copy of it.

        Raises ObjectNotFoundError, EditConflictError, WriteUnresolvedError and PlatformError.
        """
        found = await self._read_existing(key)
        value = change(deepcopy(found.value or {}))
        return await self._submit(self._new_attempt(key, value, found, found.revision))

    async def delete_object(self, key: str) -> AcceptedWrite:
        """Delete an object; raises the same errors as `update_object`.

        A deletion stores no operation id, so the object is first claimed by writing the id of this
        operation to it. Every operator does so: a deletion directly after that write is this one.
        """
        found = await self._read_existing(key)
        claim = self._new_attempt(key, deepcopy(found.value or {}), found, found.revision)
        claimed = await self._submit(claim)
        base = StoredObject(key, claim.value, claimed.revision, found.created_revision)
        deletion = WriteAttempt(key, claim.operation_id, None, base, claimed.revision)
        return await self._submit(deletion)

    async def _read_existing(self, key: str) -> StoredObject:
        found = (await self._client.read(key)).found
        if found is None:
            raise ObjectNotFoundError(key)
        return found

    def _new_attempt(
        self, key: str, value: dict[str, Any], base: StoredObject | None, base_revision: int
    ) -> WriteAttempt:
        operation_id = f"{self._rng.getrandbits(OPERATION_ID_BITS):032x}"
        tagged_value = {**value, OPERATION_FIELD: operation_id}
        return WriteAttempt(key, operation_id, tagged_value, base, base_revision)

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

    async def _resolve(self, attempt: WriteAttempt, cause: PlatformError) -> AcceptedWrite:
        detail: PlatformError = cause
        for delay in self._retrier.delays():
            await self._retrier.wait(delay)
            try:
                accepted = await self._try_resolve(attempt)
            except TRANSIENT_ERRORS as error:
                detail = error
                continue
            except WatchGoneError as error:
                detail = error
                break
            if accepted is not None:
                return accepted
        raise WriteUnresolvedError(attempt, str(detail)) from detail

    async def _try_resolve(self, attempt: WriteAttempt) -> AcceptedWrite | None:
        """Determine the outcome of an attempt; return None if it is still unknown.

        A write of an existing object is sent again. At most one of the two requests takes effect,
        and once the second succeeds or conflicts, the object has left the expected revision, so the
        first can no longer take effect. A creation is not sent again: its condition, that the
        object does not exist, can become true again after a deletion, so both could take effect.
        """
        if attempt.base is None:
            reading = await self._client.read(attempt.key)
            return await self._find_accepted(attempt, reading.found)
        try:
            return await self._send(attempt)
        except StoreConflictError as error:
            accepted = await self._find_accepted(attempt, error.current)
            if accepted is None:
                raise EditConflictError(attempt.key, attempt.base, error.current) from error
            return accepted

    async def _find_accepted(
        self, attempt: WriteAttempt, current: StoredObject | None
    ) -> AcceptedWrite | None:
        """Return the accepted write if the current object or the history shows its effect."""
        if current is not None and attempt.matches(current):
            return AcceptedWrite(attempt.key, current.revision, attempt.operation_id)
        return await self._search_history(attempt)

    async def _search_history(self, attempt: WriteAttempt) -> AcceptedWrite | None:
        changes = await self._list_changes(attempt.key, attempt.base_revision)
        effect = attempt.find_effect(changes)
        if effect is None:
            return None
        newest = changes[-1]
        superseded_by = None if newest is effect else operation_of(newest) or DELETION
        return AcceptedWrite(attempt.key, effect.revision, attempt.operation_id, superseded_by)

    async def _list_changes(self, key: str, revision: int) -> tuple[StoredObject, ...]:
        async with aclosing(self._client.watch(revision, key)) as batches:
            async for batch in batches:
                return tuple(change for change in batch.changes if change.key == key)
        return ()
