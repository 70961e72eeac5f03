"""Interface of the client that StoreAdapter and OperatorWriter use."""

from __future__ import annotations

from collections.abc import AsyncGenerator
from typing import Any, Protocol

from beamloom.object_api.wire import ChangeBatch, ObjectListing, ObjectReading


class ObjectClient(Protocol):
    """Access to the platform's objects; see `PlatformClient` for what each method raises."""

    async def list_objects(self, prefix: str = "") -> ObjectListing:
        """Return every object under `prefix`."""

    async def read(self, key: str) -> ObjectReading:
        """Return one object."""

    async def write(self, key: str, value: dict[str, Any] | None, expected_revision: int) -> int:
        """Write conditionally and return the new revision."""

    def watch(self, revision: int, prefix: str = "") -> AsyncGenerator[ChangeBatch, None]:
        """Yield changes after `revision`."""
