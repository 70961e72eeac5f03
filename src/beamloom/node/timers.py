"""The core's components, by the messages they take, and when each is next due.

Asking every component for its timer after each event took two fifths of the core's processor time,
so an answer is kept until something has touched the component.
"""

from __future__ import annotations

from collections.abc import Sequence
from typing import Protocol

from beamloom.model.machines import NodeId
from beamloom.protocol.commands import Command
from beamloom.protocol.messages import Message


class Component(Protocol):
    """What every component of the core offers; see docs/design/core.md."""

    def handle_message(self, sender: NodeId, message: Message, now: float) -> list[Command]:
        """Take one message."""

    def poll(self, now: float) -> list[Command]:
        """Do whatever is due."""

    def next_timer(self) -> float | None:
        """Return when `poll` has something to do."""


class ComponentGroup:
    """Components that touch one another, and the kinds of messages that they take."""

    def __init__(self, members: Sequence[Component], kinds: range, extra_kinds: range) -> None:
        self.members = tuple(members)
        self._kinds = (kinds, extra_kinds)
        self._due: float | None = None
        self._is_stale = True

    def takes(self, kind: int) -> bool:
        """Whether a kind of message belongs to this group; see protocol/messages.py."""
        return any(kind in kinds for kinds in self._kinds)

    def invalidate(self) -> None:
        """Note that a timer of the group may have changed."""
        self._is_stale = True

    @property
    def due(self) -> float | None:
        """When one of the components has something to do."""
        if self._is_stale:
            times = [component.next_timer() for component in self.members]
            self._due = min((time for time in times if time is not None), default=None)
            self._is_stale = False
        return self._due


class ComponentTimers:
    """All groups; whoever changes a component otherwise than by its messages touches its group."""

    def __init__(self, groups: Sequence[ComponentGroup]) -> None:
        self._groups = tuple(groups)
        self._by_kind: dict[int, ComponentGroup | None] = {}

    def next_timer(self) -> float | None:
        """Return when the first component is due."""
        times = [group.due for group in self._groups]
        return min((time for time in times if time is not None), default=None)

    def invalidate_all(self) -> None:
        """Note that any timer may have changed."""
        for group in self._groups:
            group.invalidate()

    def poll(self, now: float) -> list[Command]:
        """Let every component do what is due."""
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
        """Give a message to the components that take its kind."""
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
