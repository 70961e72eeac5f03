"""Typed errors of the platform's store; each message names the remedy."""

from __future__ import annotations

from beamloom.protocol.events import StoredObject


class PlatformError(Exception):
    """A request to the platform that did not succeed."""


class StoreUnavailableError(PlatformError):
    """The store refused or could not be reached; the request was certainly not run."""

    def __init__(self, detail: str) -> None:
        super().__init__(
            f"the platform's store is unavailable ({detail}); nothing was changed: "
            "check the platform's address and health, then repeat the command"
        )


class OutcomeUnknownError(PlatformError):
    """The request was sent and its answer was lost; it may or may not take effect."""

    def __init__(self, detail: str) -> None:
        super().__init__(
            f"the answer of the platform's store was lost ({detail}); "
            "read the object back and compare its operation id before repeating the write"
        )


class StoreConflictError(PlatformError):
    """A conditional write was refused; `current` is the object as it stands (None: no object)."""

    def __init__(self, key: str, current: StoredObject | None) -> None:
        self.key = key
        self.current = current
        state = "does not exist" if current is None else f"is at revision {current.revision}"
        super().__init__(f"{key} {state}, not as the write expected; read it and write again")


class ObjectNotFoundError(PlatformError):
    """There is no object with the given key."""

    def __init__(self, key: str) -> None:
        self.key = key
        super().__init__(f"{key} does not exist; check its name or create it first")


class WatchGoneError(PlatformError):
    """The store no longer keeps the changes that a watch would start from."""

    def __init__(self, revision: int) -> None:
        self.revision = revision
        super().__init__(
            f"the changes after revision {revision} are not kept; "
            "list the store and watch from there"
        )


class TooManyReadersError(PlatformError):
    """The store has as many watches as it allows; `retry_after` is in seconds."""

    def __init__(self, retry_after: float) -> None:
        self.retry_after = retry_after
        super().__init__(
            f"the store takes no further watch; wait {retry_after:g} s "
            "or take the changes from a peer"
        )


class UnauthorizedError(PlatformError):
    """The store did not accept the bearer token."""

    def __init__(self) -> None:
        super().__init__("the platform refused the token; check the platform token in the settings")


class RequestRefusedError(PlatformError):
    """The platform called the request wrong; repeating it unchanged can't help."""

    def __init__(self, status: int, detail: str) -> None:
        self.status = status
        super().__init__(f"the platform refused the request ({status}): {detail}; correct it first")


class MalformedAnswerError(PlatformError):
    """An answer that does not have the shape of the platform's API."""

    def __init__(self, detail: str) -> None:
        super().__init__(
            f"unreadable answer from the platform: {detail}; "
            "check that its address is the object API"
        )


class TlsConfigurationError(PlatformError):
    """A certificate or key file that cannot be loaded, or a connection refused for its sake."""

    def __init__(self, detail: str) -> None:
        super().__init__(f"TLS: {detail}; check the certificate and key files in the settings")


class MachineNotRegisteredError(PlatformError):
    """The platform's list does not hold this machine (any more)."""

    def __init__(self, node_id: str) -> None:
        super().__init__(f"the platform does not list machine {node_id}; register it again")
