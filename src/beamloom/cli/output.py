"""Output of commands: tables for people, JSON for programs, errors in one line each."""

from __future__ import annotations

import json
import sys
from collections.abc import Iterable, Iterator, Mapping, Sequence
from enum import StrEnum
from typing import Annotated

from cyclopts import Parameter
from rich.console import Console
from rich.table import Table
from rich.text import Text


class OutputFormat(StrEnum):
    """Output formats of a command."""

    TABLE = "table"
    JSON = "json"


FormatFlag = Annotated[
    OutputFormat, Parameter(name="--format", help="table, or json for programs.")
]
"""The --format flag."""

Row = Mapping[str, object]
"""Values of one row by column name."""


def write_rows(columns: Sequence[str], rows: Iterable[Row], output_format: OutputFormat) -> None:
    """Write rows to standard output as a table, or as a JSON array of objects."""
    if output_format is OutputFormat.JSON:
        write_json([{column: row[column] for column in columns} for row in rows])
        return
    table = Table(*columns, box=None, pad_edge=False)
    for row in rows:
        table.add_row(*(Text(_format_value(row[column])) for column in columns))
    _make_console().print(table)


def write_json(value: object) -> None:
    """Write a value to standard output as JSON."""
    sys.stdout.write(json.dumps(value, indent=2, default=str) + "\n")


def write_line(text: str) -> None:
    """Write a line to standard output."""
    sys.stdout.write(text + "\n")


def write_error(error: BaseException) -> None:
    """Write one line per error to standard error; the errors of a group get a line each."""
    for single in flatten(error):
        text = " ".join(str(single).split()) or type(single).__name__
        sys.stderr.write(f"error: {text}\n")


def flatten(error: BaseException) -> Iterator[BaseException]:
    """Yield the errors of a group and of its nested groups; any other error is yielded itself."""
    if isinstance(error, BaseExceptionGroup):
        for inner in error.exceptions:
            yield from flatten(inner)
    else:
        yield error


def _make_console() -> Console:
    """Return a console that doesn't wrap or crop lines unless it writes to a terminal."""
    return Console(soft_wrap=not sys.stdout.isatty(), highlight=False)


def _format_value(value: object) -> str:
    if value is None:
        return ""
    return json.dumps(value) if isinstance(value, bool | dict | list) else str(value)
