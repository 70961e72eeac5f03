"""Reads an answer of a store that is not JSON as a whole, up to its first damaged entry.

A store returns an entry as its writer sent it, and any program may write one. An entry with bytes
that are not UTF-8, a control character, a number of too many digits or too deep a nesting makes the
whole answer unreadable for a JSON decoder. Where such an entry ends cannot be told for certain: it
may hold what looks like the end of an entry and the beginning of the next one. So nothing after its
beginning is read. The store lists the entries after it by its name, which the store itself wrote.

Each byte is read a constant number of times.
"""

from __future__ import annotations

import re
from collections.abc import Mapping
from json import JSONDecodeError, JSONDecoder

from beamloom.replication.object_answers import DamagedEntry, EntryFormat, PartialAnswer

FIRST_PART_CHARACTERS = 4096
"""Longer than the entries of endpoints."""
LONGEST_TOKEN = 16
"""Exceeds the length of each literal and escape of JSON, which the end of a part may cut."""
MAXIMUM_META_CHARACTERS = 65_536
"""Exceeds the length of what a store writes about an object."""

_UNDECODABLE = re.compile("[\udc80-\udcff]")
"""What the error handler `surrogateescape` puts in place of bytes that are not UTF-8."""
_SPACE = re.compile(r"[ \t\n\r]*")
_SEPARATOR = re.compile(r"[ \t\n\r]*,[ \t\n\r]*(?=\{)")

_DECODER = JSONDecoder()


class AnswerRecovery:
    """Reads an answer whose entries stand in the array `member` of an object.

    An entry must have all members of its format, as a damaged one may seem to end early.
    """

    def __init__(self, member: str, entry: EntryFormat) -> None:
        self._member = member
        self._is_complete = entry.is_complete
        self._opening = re.compile(rf'"{member}"\s*:\s*\[')
        self._head = re.compile(entry.head)

    def read(self, body: bytes) -> PartialAnswer:
        """Return an answer up to its first damaged entry.

        Raises ValueError if anything outside the array of the entries is damaged, or what the
        store wrote about the damaged entry.
        """
        try:
            return self._read(body)
        except RecursionError as error:
            raise ValueError(str(error)) from error

    def _read(self, body: bytes) -> PartialAnswer:
        text = body.decode(errors="surrogateescape")
        opening = self._opening.search(text)
        end = text.rfind("]")
        if opening is None or end < opening.end():
            raise ValueError(f"it has no array {self._member!r}")
        begin = opening.end()
        document = _DECODER.decode(text[:begin] + text[end:])
        if not isinstance(document, dict) or document.get(self._member) != []:
            raise ValueError(f"its array {self._member!r} is not a member of the outermost object")
        entries: list[object] = []
        damaged = self._read_entries(text, begin, end, entries)
        return PartialAnswer(document, entries, damaged)

    def _read_entries(
        self, text: str, begin: int, end: int, entries: list[object]
    ) -> DamagedEntry | None:
        """Append the entries before the first damaged one, and return that one."""
        position = _skip_space(text, begin)
        while position < end:
            try:
                entry, after = self._read_entry(text, position, end)
            except (ValueError, RecursionError) as error:
                return DamagedEntry(self._read_meta(text, position), str(error))
            entries.append(entry)
            separator = _SEPARATOR.match(text, after, end)
            position = end if separator is None else separator.end()
        return None

    def _read_entry(self, text: str, begin: int, end: int) -> tuple[object, int]:
        """Return the entry at a position, and its end; raises ValueError or RecursionError."""
        entry, after = _decode_entry(text, begin)
        if _UNDECODABLE.search(text, begin, after):
            raise ValueError("it has bytes that are not UTF-8")
        is_last = _skip_space(text, after) == end
        if not is_last and _SEPARATOR.match(text, after, end) is None:
            raise ValueError("it goes on after its last bracket")
        if not self._is_complete(entry):
            raise ValueError("it ends before its last member")
        return entry, after

    def _read_meta(self, text: str, begin: int) -> Mapping[str, object]:
        """Return what the store wrote about a damaged entry; raises ValueError."""
        head = self._head.match(text, begin)
        if head is None:
            raise ValueError("a damaged entry does not begin like one of the store's")
        meta, _ = _DECODER.raw_decode(text[head.end() : head.end() + MAXIMUM_META_CHARACTERS])
        if not isinstance(meta, dict):
            raise ValueError("a damaged entry does not begin like one of the store's")
        return meta


def _decode_entry(text: str, begin: int) -> tuple[object, int]:
    """Return the JSON value at a position, and where it ends; raises ValueError or RecursionError.

    The error of a decoder costs time in proportion to the text before it, so that a short part is
    tried first. If the value may be longer, the whole text is decoded.
    """
    part = text[begin : begin + FIRST_PART_CHARACTERS]
    try:
        entry, length = _DECODER.raw_decode(part)
    except JSONDecodeError as error:
        is_cut = error.pos >= len(part) - LONGEST_TOKEN or error.msg.startswith("Unterminated")
        if not is_cut or len(part) < FIRST_PART_CHARACTERS:
            raise
        return _DECODER.raw_decode(text, begin)
    return entry, begin + length


def _skip_space(text: str, position: int) -> int:
    match = _SPACE.match(text, position)
    assert match is not None
    return match.end()
