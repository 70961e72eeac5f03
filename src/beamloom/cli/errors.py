"""Errors of the command line itself; each message names the remedy."""

from __future__ import annotations


class CommandError(Exception):
    """A command that could not do what was asked."""


class UsageError(CommandError):
    """The command line itself was wrong; `detail` is what the parser found."""

    def __init__(self, detail: str) -> None:
        super().__init__(f"{detail.rstrip()} See beamloom COMMAND --help")


class PlatformNotNamedError(CommandError):
    """Neither a flag nor the environment says where the platform is."""

    def __init__(self, flag: str, variable: str) -> None:
        super().__init__(f"the platform is not named: give {flag} or set {variable}")


class UnreadableTokenError(CommandError):
    """The token file cannot be read or is empty."""

    def __init__(self, path: str, detail: str) -> None:
        super().__init__(f"no token in {path} ({detail}): give the path of a token file")


class FileKindError(CommandError):
    """A file is neither a node's settings nor a deployment."""

    def __init__(self) -> None:
        super().__init__(
            "neither a node's settings nor a deployment: "
            "give a [node] table, or [[tenants]], see the files in beamloom/examples"
        )


class AdminNotNamedError(CommandError):
    """Neither a flag nor the environment says which node's admin API to ask."""

    def __init__(self, flag: str, variable: str) -> None:
        super().__init__(f"no node is named: give {flag} or set {variable}")


class AdminUnreachableError(CommandError):
    """The admin API did not answer."""

    def __init__(self, url: str, detail: str) -> None:
        super().__init__(
            f"no answer from the admin API at {url} ({detail}): check that the node runs, "
            "that its address and scheme (http or https) are right, and for https that "
            "--admin-authority-file names the authority that signed its certificate"
        )


class AdminRefusedError(CommandError):
    """The admin API answered with an error, whose text names the remedy."""

    def __init__(self, status: int, detail: str) -> None:
        self.status = status
        super().__init__(f"the node refused ({status}): {detail}")


class NotInForceError(CommandError):
    """A change was accepted and is not yet in force on every node."""

    def __init__(self, revision: int, seconds: float, missing: list[str]) -> None:
        names = ", ".join(missing[:5]) + (" and more" if len(missing) > 5 else "")
        where = f"on {names}" if missing else "as far as this node can tell"
        super().__init__(
            f"accepted at revision {revision}, but after {seconds:g} s not in force {where}: "
            "the change stands; ask again with `beamloom status --revision`"
        )


class ObjectInUseError(CommandError):
    """An object cannot be deleted while others depend on it."""

    def __init__(self, key: str, reason: str, remedy: str) -> None:
        super().__init__(f"{key} was not deleted: {reason}; {remedy}")


class MeasurementFailedError(CommandError):
    """A bench whose figures cannot be trusted; the message tells what to change."""
