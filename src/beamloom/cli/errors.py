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
