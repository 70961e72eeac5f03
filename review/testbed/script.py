"""Runs one case and turns its outcome into the record and the exit status."""

from __future__ import annotations

import asyncio
import os
import signal
import sys
import traceback
from collections.abc import Awaitable, Callable
from pathlib import Path

from review.testbed.record import Record

HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
LONGEST_SECONDS = 110.0

Case = Callable[[Record, bool], Awaitable[list[str]]]
"""Plays a case, with or without its disruption; returns how the rule was broken."""


def run_case(case: Case, folder: Path) -> None:
    """Run a case, write `record.txt` into its folder, and exit."""
    record = Record()
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    record.add(f"the disruption is {'played' if has_trouble else 'left out'}")
    try:
        breaks = asyncio.run(_within(LONGEST_SECONDS, case(record, has_trouble)))
    except (Exception, asyncio.CancelledError):
        verdict = f"COULD NOT RUN\n{traceback.format_exc()}"
        status = COULD_NOT_RUN
    else:
        verdict = "\n".join(["RULE BROKEN", *breaks]) if breaks else "RULE HELD"
        status = BROKEN if breaks else HELD
    record.write(folder / "record.txt", verdict)
    print(verdict)
    sys.exit(status)


async def _within(seconds: float, steps: Awaitable[list[str]]) -> list[str]:
    """Await the steps; SIGTERM and SIGINT cancel them, so that the processes are ended."""
    task = asyncio.current_task()
    assert task is not None
    for number in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(number, task.cancel)
    async with asyncio.timeout(seconds):
        return await steps
