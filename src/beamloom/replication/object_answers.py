"""Collects the objects in an answer of a store, so that none affects how the others are read.

Any program may have written an object. One that cannot be read counts as removed. One that cannot
even be decoded cuts its answer: the rest of a list is requested by another page, and changes are
replaced by a list.
"""

from __future__ import annotations

import json
from collections.abc import Callable, Mapping
from typing import Any, Generic, NamedTuple, TypeVar

from beamloom.model.store_revision import NUMBER_BITS, revision_in_era
from beamloom.replication.object_watch import ChangeBatch, ListPage
from beamloom.replication.store_view import NamedRecord, ObjectChange

Record = TypeVar("Record")

NUMBER_LIMIT = 1 << NUMBER_BITS
"""Limit of the numbers that a store's counter reaches."""
MAXIMUM_NAME_CHARACTERS = 255
"""Names of objects that have gone are kept, and each name is sent to peers."""
MAXIMUM_REASON_CHARACTERS = 200
"""Longer reasons why an object is unreadable are cut, as they may quote any value."""


class ObjectFieldError(ValueError):
    """The store sent an object or an answer without a usable field; the text names the field."""


class EntryFormat(NamedTuple):
    """How a store writes the entries of its answers.

    `head` is the pattern of how one begins, up to the value that describes it. An object has all of
    `members`; in some answers it is the member `wrapper` of its entry.
    """

    head: str
    wrapper: str
    members: frozenset[str]

    def is_complete(self, entry: object) -> bool:
        """Whether a decoded value has all members of an object."""
        stored = entry.get(self.wrapper, entry) if isinstance(entry, dict) else None
        return isinstance(stored, dict) and stored.keys() >= self.members


class DamagedEntry(NamedTuple):
    """The first entry that cannot be decoded: `meta` as the store wrote it, and the reason."""

    meta: Mapping[str, object]
    reason: str


class PartialAnswer(NamedTuple):
    """The members of an answer besides its entries, and the entries before a damaged one."""

    document: dict[str, Any]
    entries: list[object]
    damaged: DamagedEntry | None


def parse_answer(body: bytes, member: str, entry: EntryFormat) -> PartialAnswer:
    """Parse an answer with the array `member` up to an entry that is not JSON; raises ValueError.

    The import is late, as few answers are damaged.
    """
    try:
        document = json.loads(body.decode())
    except (ValueError, RecursionError):
        from beamloom.replication.answer_recovery import AnswerRecovery

        return AnswerRecovery(member, entry).read(body)
    entries = document.get(member) if isinstance(document, dict) else None
    if not isinstance(entries, list):
        raise ObjectFieldError(f"it has no array {member!r}")
    return PartialAnswer(document, entries, None)


class ObjectCollector(Generic[Record]):
    """The last change of each object in an answer, whose revisions are of one era.

    `read_record` converts an object's name and content to its record; whatever it raises makes only
    that object unreadable. `unreadable` describes the objects that were left out. An answer is cut
    at an object that cannot be decoded.
    """

    def __init__(self, read_record: Callable[[str, Any], Record], era: int) -> None:
        self.unreadable: list[str] = []
        self._read_record = read_record
        self._era = era
        self._last_name = ""
        self._is_cut = False
        self._changes: dict[str, ObjectChange[Record]] = {}

    def add(
        self, name: object, number: object, content: object, *, gone: bool, damage: str = ""
    ) -> None:
        """Add an object; without a usable name and revision number it is only unreadable.

        `damage` tells why its content could not be decoded.
        """
        try:
            known_name, revision = _read_name(name), self._revision(number)
        except ObjectFieldError as error:
            self._note_unreadable("an object without a name or revision", damage or str(error))
            return
        self._last_name = known_name
        record = None if gone else self._convert(known_name, content, damage)
        self._changes[known_name] = ObjectChange(known_name, revision, record)

    def end(self, answer: PartialAnswer) -> None:
        """Add the entry at which an answer ends early, if any: its content is unknown.

        Raises ObjectFieldError if it has no name after which a list can be continued.
        """
        if answer.damaged is None:
            return
        meta, reason = answer.damaged
        name = meta.get("name")
        if not isinstance(name, str) or not name:
            raise ObjectFieldError("an entry that cannot be decoded has no name")
        self.add(name, meta.get("revision"), None, gone=False, damage=reason)
        self._last_name = name
        self._is_cut = True

    def _convert(self, name: str, content: object, damage: str) -> Record | None:
        try:
            return self._read_record(name, content)
        except Exception as error:
            self._note_unreadable(name, damage or repr(error))
            return None

    def _note_unreadable(self, name: str, reason: str) -> None:
        self.unreadable.append(f"{name}: {reason:.{MAXIMUM_REASON_CHARACTERS}}")

    def page(self, number: object, *, more: bool) -> ListPage[Record]:
        """Return the page of a list at a revision number; raises ObjectFieldError.

        The next page begins after an object at which this one is cut.
        """
        records = tuple(
            NamedRecord(change.name, change.revision, change.record)
            for change in self._changes.values()
            if change.record is not None
        )
        revision = self._revision(number)
        unreadable = tuple(self.unreadable)
        return ListPage(records, more or self._is_cut, revision, self._last_name, unreadable)

    def batch(self, number: object, size_bytes: int) -> ChangeBatch[Record]:
        """Return the changes up to a revision number; raises ObjectFieldError."""
        changes = tuple(self._changes.values())
        revision, unreadable = self._revision(number), tuple(self.unreadable)
        return ChangeBatch(changes, revision, unreadable, size_bytes, self._is_cut)

    def _revision(self, number: object) -> int:
        return revision_in_era(self._era, read_number(number))


def read_number(value: object) -> int:
    """Return a number of a store's counter; raises ObjectFieldError."""
    if isinstance(value, bool) or not isinstance(value, int) or not 0 <= value < NUMBER_LIMIT:
        raise ObjectFieldError("its number is none that a store's counter reaches")
    return value


def _read_name(value: object) -> str:
    """Return a name, which is sent to peers and to the store; raises ObjectFieldError."""
    if not isinstance(value, str) or not 0 < len(value) <= MAXIMUM_NAME_CHARACTERS:
        raise ObjectFieldError(f"its name is no text of 1 to {MAXIMUM_NAME_CHARACTERS} characters")
    try:
        value.encode()
    except UnicodeEncodeError as error:
        raise ObjectFieldError("its name is no text in UTF-8") from error
    return value
