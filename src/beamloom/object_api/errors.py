"""Errors of requests to the platform; each message names the remedy."""

from __future__ import annotations

from beamloom.protocol.events import StoredObject


class PlatformError(Exception):
    """A request to the platform failed."""


class StoreUnavailableError(PlatformError):
    """The store refused a request or could not be reached; no object was written.

    It is also raised if the response to a read, or to a report about a machine, was lost.
    """

    def __init__(self, detail: str) -> None:
        super().__init__(
            f"the platform's store is unavailable ({detail}); nothing was changed: "
            "check the platform's address and health, then repeat the command"
        )


class OutcomeUnknownError(PlatformError):
    """A request got no conclusive response; it may have taken effect, or may do so later."""

    def __init__(self, detail: str) -> None:
        super().__init__(
            f"the response of the platform's store was lost ({detail}); "
            "read the object back and compare its operation id before repeating the write"
        )


class StoreConflictError(PlatformError):
    """The condition of a write failed; `current` is the object (None if it does not exist)."""

    def __init__(self, key: str, current: StoredObject | None) -> None:
        self.key = key
        self.current = current
        state = "does not exist" if current is None else f"is at revision {current.revision}"
        super().__init__(
            f"{key} {state}, which is not what the write expected; read it and write again"
        )


class ObjectNotFoundError(PlatformError):
    """No object has the given key."""

    def __init__(self, key: str) -> None:
        self.key = key
        super().__init__(f"{key} does not exist; check its name or create it first")


class WatchGoneError(PlatformError):
    """The store no longer keeps all changes after the revision from which a watch starts."""

    def __init__(self, revision: int) -> None:
        self.revision = revision
        super().__init__(
            f"the changes after revision {revision} are no longer kept; "
            "list the store and watch from there"
        )


class TooManyReadersError(PlatformError):
    """The store's limit of watches is reached; `retry_after` is in seconds."""

    def __init__(self, retry_after: float) -> None:
        self.retry_after = retry_after
        super().__init__(
            f"the store accepts no further watch; wait {retry_after:g} s "
            "or take the changes from a peer"
        )


class UnauthorizedError(PlatformError):
    """The platform rejected the bearer token."""

    def __init__(self) -> None:
        super().__init__(
            "the platform rejected the token; check the platform token in the settings"
        )


class RequestRefusedError(PlatformError):
    """The platform rejected the request as invalid; repeating it unchanged will fail again."""

    def __init__(self, status: int, detail: str) -> None:
        self.status = status
        super().__init__(
            f"the platform rejected the request ({status}): {detail}; correct it first"
        )


class MalformedAnswerError(PlatformError):
    """A response does not have the format of the object API."""

    def __init__(self, detail: str) -> None:
        super().__init__(
            f"malformed response from the platform: {detail}; "
            "check that its address is the object API"
        )


class TlsConfigurationError(PlatformError):
    """A certificate or key file cannot be loaded, or a TLS handshake failed."""

    def __init__(self, detail: str) -> None:
        super().__init__(f"TLS: {detail}; check the certificate and key files in the settings")


class MachineNotRegisteredError(PlatformError):
    """The platform's list does not, or no longer, contain this machine."""

    def __init__(self, node_id: str) -> None:
        super().__init__(f"the platform does not list machine {node_id}; register it again")
