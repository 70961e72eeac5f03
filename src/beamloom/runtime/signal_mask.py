"""Blocks the signals that a node handles while it has no handlers for them.

Before the handlers are installed, and again while the interpreter shuts down, the default action
would end the process: a node that was only to reload its settings would be gone, and a node that
completed a planned stop would have the exit status of a killed one. The kernel keeps one pending
instance of each blocked signal until it is unblocked or the process ends.

A program calls `block_signals` in its first lines, before the imports that take most of a start, so
this module imports as little as possible.
"""

from __future__ import annotations

import _signal  # type: ignore[import-not-found]

HANDLED_SIGNALS = (_signal.SIGTERM, _signal.SIGINT, _signal.SIGHUP)


def block_signals() -> None:
    """Block the signals that a node handles."""
    _signal.pthread_sigmask(_signal.SIG_BLOCK, HANDLED_SIGNALS)


def unblock_signals() -> None:
    """Deliver the signals again, pending ones at once; the handlers must be installed."""
    _signal.pthread_sigmask(_signal.SIG_UNBLOCK, HANDLED_SIGNALS)
