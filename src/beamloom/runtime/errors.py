"""Errors of a node's process; each message names the remedy."""

from __future__ import annotations

from pathlib import Path

from beamloom.model.addresses import SocketAddress


class NodeProcessError(Exception):
    """Base class of errors that prevent a node from starting or make it stop."""


class AddressUnavailableError(NodeProcessError):
    """An address of the node cannot be bound."""

    def __init__(self, setting: str, address: SocketAddress, error: OSError) -> None:
        super().__init__(
            f"cannot listen on {setting} {address} ({error.strerror or error}): "
            "stop what listens there, or give another address of this machine"
        )


class SecretFileError(NodeProcessError):
    """A key or token file cannot be used."""

    def __init__(self, setting: str, path: Path, reason: str, remedy: str) -> None:
        super().__init__(f"{setting} {path}: {reason}; {remedy}")


class AdminTlsError(NodeProcessError):
    """The admin API's certificate or key cannot be loaded."""

    def __init__(self, certificate: Path, key: Path, error: Exception) -> None:
        super().__init__(
            f"admin TLS with certificate {certificate} and key {key}: {error}; "
            "give a PEM certificate and the matching PEM key without a passphrase"
        )


class BrokenComponentError(NodeProcessError):
    """An unhandled exception outside the packet path; the node cannot continue."""

    def __init__(self, error: BaseException) -> None:
        super().__init__(
            f"unhandled exception in a component ({type(error).__name__}: {error}); the node "
            "stopped, since its state may be inconsistent: restart it and report the traceback in "
            "its log"
        )


class StopTimeoutError(NodeProcessError):
    """A planned stop did not complete in time."""

    def __init__(self, seconds: float) -> None:
        super().__init__(
            f"the planned stop was not complete after {seconds:g} s; flows may have been cut: "
            "raise node.stop_timeout_seconds, or look at control traffic in the metrics"
        )
