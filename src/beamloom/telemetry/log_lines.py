"""Reads the lines that `event_log.py` writes."""

from __future__ import annotations

import json
from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass
from typing import Any

HIDDEN_FIELDS = ("time", "node", "event")


@dataclass(frozen=True, slots=True)
class LogLine:
    """One line of an event log."""

    time: float
    node: str
    event: str
    fields: Mapping[str, Any]

    def describe(self, since: float) -> str:
        """Return the line as text, with its time relative to `since`."""
        shown = " ".join(
            f"{name}={value}" for name, value in self.fields.items() if name not in HIDDEN_FIELDS
        )
        return f"{self.time - since:+9.3f} {self.node:20} {self.event:20} {shown}"

    def is_about(self, flow: str) -> bool:
        """Whether the line is about a flow; CLIENT:PORT may stand for the flow."""
        logged = str(self.fields.get("flow", ""))
        return logged == flow or logged.startswith(f"{flow}>")


def read_lines(texts: Iterable[str]) -> Iterator[LogLine]:
    """Yield the event lines among lines of text; other lines are ignored."""
    for text in texts:
        start = text.find("{")
        if start < 0:
            continue
        try:
            fields = json.loads(text[start:])
            yield LogLine(float(fields["time"]), fields["node"], fields["event"], fields)
        except (ValueError, KeyError, TypeError):
            continue
