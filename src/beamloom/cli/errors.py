"""Errors of the command line; each message says what to do."""

from __future__ import annotations


class CommandError(Exception):
    """Base class of errors that make a command fail."""


class UsageError(CommandError):
    """The command line is invalid; `detail` says why."""

    def __init__(self, detail: str) -> None:
        super().__init__(f"{detail.rstrip()} See beamloom COMMAND --help")


class PlatformOptionMissingError(CommandError):
    """The platform's address or token file is given neither by a flag nor by the environment."""

    def __init__(self, flag: str, variable: str) -> None:
        super().__init__(f"access to the platform needs {flag}: give the flag or set {variable}")


class UnreadableTokenError(CommandError):
    """The token file cannot be read, is not UTF-8 or is empty."""

    def __init__(self, path: str, detail: str) -> None:
        super().__init__(f"no token in {path} ({detail}): give the path of a token file")


class FileKindError(CommandError):
    """A file is not of a kind that `beamloom check` accepts."""

    def __init__(self) -> None:
        super().__init__(
            "unknown kind of file: give the settings of a node (table [node]), the settings of a "
            "token node as the platform writes them, a deployment (tables [[tenants]]) or a deploy "
            "file (tables [roles.NAME]); beamloom/examples has a node's settings and deployments"
        )


class AdminOptionMissingError(CommandError):
    """The admin address or token file is given neither by a flag nor by the environment."""

    def __init__(self, flag: str, variable: str) -> None:
        super().__init__(f"access to the admin API needs {flag}: give the flag or set {variable}")


class AdminUnreachableError(CommandError):
    """The admin API did not answer, or its answer could not be read."""

    def __init__(self, url: str, detail: str) -> None:
        super().__init__(
            f"no answer from the admin API at {url} ({detail}): check that the node runs, "
            "that its address and scheme (http or https) are right, and for https that "
            "--admin-authority-file names the authority that signed its certificate"
        )


class AdminRefusedError(CommandError):
    """The admin API answered with an error status or with something other than a JSON object."""

    def __init__(self, status: int, detail: str) -> None:
        self.status = status
        super().__init__(f"the node refused ({status}): {detail}")


class NotInForceError(CommandError):
    """A change was accepted but was not in force on every node within the timeout."""

    def __init__(self, revision: int, seconds: float, missing: list[str]) -> None:
        names = ", ".join(missing[:5]) + (" and more" if len(missing) > 5 else "")
        where = f"on {names}" if missing else "on every node"
        super().__init__(
            f"accepted at revision {revision}, but after {seconds:g} s not in force {where}: "
            "the change stands; check again with `beamloom status --revision`"
        )


class ObjectInUseError(CommandError):
    """An object has children, or is a backend that is not draining, and was not deleted."""

    def __init__(self, key: str, reason: str, remedy: str) -> None:
        super().__init__(f"{key} was not deleted: {reason}; {remedy}")


class MeasurementFailedError(CommandError):
    """The figures of a benchmark are not reliable."""
