"""What the adapter and the operators' writer need of a client."""

from __future__ import annotations

from collections.abc import AsyncGenerator
from typing import Any, Protocol

from beamloom.object_api.wire import ChangeBatch, ObjectListing, ObjectReading


class ObjectClient(Protocol):
    """The platform's objects; `PlatformClient` says what each method raises."""

    async def list_objects(self, prefix: str = "") -> ObjectListing:
        """Return every object under `prefix`."""

    async def read(self, key: str) -> ObjectReading:
        """Return one object."""

    async def write(self, key: str, value: dict[str, Any] | None, expected_revision: int) -> int:
        """Write conditionally and return the new revision."""

    def watch(self, revision: int, prefix: str = "") -> AsyncGenerator[ChangeBatch, None]:
        """Yield changes after `revision`."""
