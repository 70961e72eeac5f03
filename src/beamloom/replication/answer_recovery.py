"""Reads an answer of a store that is not JSON as a whole, entry by entry.

A store returns an entry as its writer sent it, and any program may write one. An entry with bytes
that are not UTF-8, a control character, a number of too many digits or too deep a nesting makes the
whole answer unreadable for a JSON decoder. Here such an entry is set apart, and the other entries
are read as if it did not exist.
"""

from __future__ import annotations

import re
from collections.abc import Iterator
from json import JSONDecodeError, JSONDecoder
from typing import Any

from beamloom.replication.object_answers import DamagedEntry

MAXIMUM_TOKENS = 50_000
"""How many tokens of an answer are read to find the closing brackets of damaged entries.

Beyond that only heads are searched, so that the time grows linearly with the size of an answer.
"""
FIRST_PART_CHARACTERS = 4096
"""Longer than the entries of endpoints."""
LONGEST_TOKEN = 16
"""Exceeds the length of each literal and escape of JSON, which the end of a part may cut."""

_UNDECODABLE = re.compile("[\udc80-\udcff]")
"""What the error handler `surrogateescape` puts in place of bytes that are not UTF-8."""
_SPACE = re.compile(r"[ \t\n\r]*")
_SEPARATOR = re.compile(r"[ \t\n\r]*,[ \t\n\r]*(?=\{)")
_FLAT_OBJECT = r'\{(?:[^{}"]++|"[^"\\]*+(?:\\.[^"\\]*+)*+")*+\}'
"""An object without objects inside."""
_TOKEN = re.compile(
    r'"[^"\\]*(?:\\.[^"\\]*)*"|[\[{]+|[\]}]+|[\s,:\d+\-.eE]+|true|false|null|NaN|Infinity',
    re.DOTALL,
)
"""A string, a run of opening or closing brackets, or what else JSON has outside strings."""

_DECODER = JSONDecoder()


class AnswerRecovery:
    """Reads an answer whose entries stand in the array `member` of an object.

    `head` is the pattern of how an entry begins, up to a value that the store wrote itself.
    """

    def __init__(self, member: str, head: str) -> None:
        self._member = member
        self._tokens_left = MAXIMUM_TOKENS
        self._opening = re.compile(rf'"{member}"\s*:\s*\[')
        head_and_meta = f"(?P<head>{head})(?P<meta>{_FLAT_OBJECT})"
        self._head = re.compile(head_and_meta, re.DOTALL)
        self._next = re.compile(rf",[ \t\n\r]*+(?={head_and_meta})", re.DOTALL)

    def read(self, body: bytes) -> dict[str, Any]:
        """Return an answer with a DamagedEntry in place of each entry that cannot be decoded.

        Raises ValueError if anything outside the array of the entries is damaged.
        """
        text = body.decode(errors="surrogateescape")
        opening = self._opening.search(text)
        end = text.rfind("]")
        if opening is None or end < opening.end():
            raise ValueError(f"it has no array {self._member!r}")
        begin = opening.end()
        document = _DECODER.decode(text[:begin] + text[end:])
        if not isinstance(document, dict) or document.get(self._member) != []:
            raise ValueError(f"its array {self._member!r} is not a member of the outermost object")
        document[self._member] = list(self._read_entries(text, begin, end))
        return document

    def _read_entries(self, text: str, begin: int, end: int) -> Iterator[object]:
        position = _skip_space(text, begin)
        while position < end:
            entry, after = self._read_entry(text, position, end)
            yield entry
            separator = _SEPARATOR.match(text, after, end)
            position = end if separator is None else separator.end()

    def _read_entry(self, text: str, begin: int, end: int) -> tuple[object, int]:
        """Return the entry at a position, and where it ends."""
        try:
            entry, after = _decode_entry(text, begin)
        except (ValueError, RecursionError) as error:
            reason = f"{type(error).__name__}: {error}"
        else:
            if _UNDECODABLE.search(text, begin, after):
                reason = "it has bytes that are not UTF-8"
            elif _is_boundary(text, after, end):
                return entry, after
            else:
                reason = "it goes on after its last bracket"
        return self._read_damaged(text, begin, reason), self._find_end(text, begin, end)

    def _find_end(self, text: str, begin: int, end: int) -> int:
        """Return where a damaged entry ends: where its brackets close, or before the next head.

        Brackets do not count if they do not pair, as when a quotation mark is missing.
        """
        closing = self._find_closing_bracket(text, begin, end)
        if closing is not None and _is_boundary(text, closing, end):
            return closing
        following = self._next.search(text, begin, end)
        return end if following is None else following.start()

    def _find_closing_bracket(self, text: str, begin: int, end: int) -> int | None:
        """Return the position after the bracket that closes the one at `begin`, or None.

        Anything outside a string that JSON does not have there shows that quotation marks do not
        pair.
        """
        depth, position = 0, begin
        while self._tokens_left and (token := _TOKEN.match(text, position, end)) is not None:
            self._tokens_left -= 1
            position = token.end()
            run = token[0]
            if run[0] in "[{":
                depth += len(run)
            elif run[0] in "]}":
                if depth <= len(run):
                    return token.start() + depth if depth else None
                depth -= len(run)
        return None

    def _read_damaged(self, text: str, begin: int, reason: str) -> DamagedEntry:
        """Return what can be read of a damaged entry."""
        unknown = DamagedEntry("", None, reason)
        head = self._head.match(text, begin)
        if head is None or _UNDECODABLE.search(head["meta"]):
            return unknown
        try:
            return DamagedEntry(head["head"], _DECODER.decode(head["meta"]), reason)
        except (ValueError, RecursionError):
            return unknown


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


def _is_boundary(text: str, position: int, end: int) -> bool:
    """Whether an entry can end at a position: the array ends there, or another entry follows."""
    return _skip_space(text, position) == end or _SEPARATOR.match(text, position, end) is not None


def _skip_space(text: str, position: int) -> int:
    match = _SPACE.match(text, position)
    assert match is not None
    return match.end()
