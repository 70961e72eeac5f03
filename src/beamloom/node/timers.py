"""Dispatches messages and timers to the components of the core.

The next due time of each group is cached until the group is invalidated: asking every component
after each event would cost much of the core's processor time.
"""

from __future__ import annotations

from collections.abc import Sequence
from typing import Protocol

from beamloom.model.machines import NodeId
from beamloom.protocol.commands import Command
from beamloom.protocol.messages import Message


class Component(Protocol):
    """Interface of the core's components; see docs/design/core.md."""

    def handle_message(self, sender: NodeId, message: Message, now: float) -> list[Command]:
        """Handle one message and return the resulting commands."""

    def poll(self, now: float) -> list[Command]:
        """Run whatever is due and return the resulting commands."""

    def next_timer(self) -> float | None:
        """Return when `poll` is next due, or None."""


class ComponentGroup:
    """Components that change one another's timers, and the kinds of messages that they handle."""

    def __init__(self, members: Sequence[Component], kinds: range, extra_kinds: range) -> None:
        self.members = tuple(members)
        self._kinds = (kinds, extra_kinds)
        self._due: float | None = None
        self._is_stale = True

    def takes(self, kind: int) -> bool:
        """Whether this group handles a kind of message; see protocol/messages.py."""
        return any(kind in kinds for kinds in self._kinds)

    def invalidate(self) -> None:
        """Drop the cached due time, as a timer of the group may have changed."""
        self._is_stale = True

    @property
    def due(self) -> float | None:
        """When the first component of the group is due, or None."""
        if self._is_stale:
            times = [component.next_timer() for component in self.members]
            self._due = min((time for time in times if time is not None), default=None)
            self._is_stale = False
        return self._due


class ComponentTimers:
    """All groups.

    Whoever changes a component by other means than `handle_message` and `poll` invalidates its
    group.
    """

    def __init__(self, groups: Sequence[ComponentGroup]) -> None:
        self._groups = tuple(groups)
        self._by_kind: dict[int, ComponentGroup | None] = {}

    def next_timer(self) -> float | None:
        """Return when the first component is due, or None."""
        times = [group.due for group in self._groups]
        return min((time for time in times if time is not None), default=None)

    def invalidate_all(self) -> None:
        """Drop the cached due times of all groups."""
        for group in self._groups:
            group.invalidate()

    def poll(self, now: float) -> list[Command]:
        """Poll every component that is due."""
        commands: list[Command] = []
        for group in self._groups:
            if group.due is None or group.due > now:
                continue
            group.invalidate()
            for component in group.members:
                due = component.next_timer()
                if due is not None and due <= now:
                    commands.extend(component.poll(now))
        return commands

    def handle_message(self, sender: NodeId, message: Message, now: float) -> list[Command]:
        """Pass a message to all components of the group that handles its kind."""
        group = self._group_of(message.KIND)
        if group is None:
            return []
        group.invalidate()
        commands: list[Command] = []
        for component in group.members:
            commands.extend(component.handle_message(sender, message, now))
        return commands

    def _group_of(self, kind: int) -> ComponentGroup | None:
        if kind not in self._by_kind:
            found = (group for group in self._groups if group.takes(kind))
            self._by_kind[kind] = next(found, None)
        return self._by_kind[kind]
