"""`beamloom decode`: datagrams of the token path in readable form."""

from __future__ import annotations

import sys
from collections.abc import Iterable, Iterator
from typing import Annotated

from cyclopts import App, Parameter

from beamloom.cli.errors import UsageError
from beamloom.cli.exit_status import ExitStatus
from beamloom.cli.output import write_line
from beamloom.standins.flow_packets import decode_forwarded, decode_packet


def register(app: App) -> None:
    """Add the command."""
    app.command(decode)


def decode(
    *datagrams: Annotated[str, Parameter(help="Datagrams in hexadecimal; none: standard input.")],
    forwarded: bool = False,
) -> ExitStatus:
    """Print datagrams in readable form, one per line.

    Exit status: 0 all were decoded, 1 at least one is not a packet.

    Parameters
    ----------
    datagrams
        In hexadecimal, blanks and colons allowed; if none is given, lines of standard input.
    forwarded
        The datagrams were sent to backends: the backend's identity precedes the packet.

    """
    texts: Iterable[str] = datagrams or (line for line in sys.stdin if line.strip())
    all_decoded = True
    for line in describe_all(texts, forwarded=forwarded):
        all_decoded = all_decoded and not line.startswith("not a packet")
        write_line(line)
    return ExitStatus.SUCCESS if all_decoded else ExitStatus.FAILED


def describe_all(texts: Iterable[str], *, forwarded: bool) -> Iterator[str]:
    """Yield a line for each datagram; raises UsageError if one is not hexadecimal."""
    for text in texts:
        try:
            data = bytes.fromhex(text.replace(":", " "))
        except ValueError as error:
            raise UsageError(f"{text.strip()[:40]!r} is not hexadecimal: {error}") from error
        yield _describe_forwarded(data) if forwarded else _describe(data)


def _describe(data: bytes) -> str:
    packet = decode_packet(data)
    return f"not a packet: {len(data)} bytes" if packet is None else packet.describe()


def _describe_forwarded(data: bytes) -> str:
    decoded = decode_forwarded(data)
    if decoded is None:
        return f"not a packet: {len(data)} bytes"
    identity, packet = decoded
    return f"to {identity:016x}: {packet.describe()}"
