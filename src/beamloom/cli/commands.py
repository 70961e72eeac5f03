"""The one place where groups of commands are added to the command line."""

from __future__ import annotations

from cyclopts import App

from beamloom.cli import check, settings_commands, simulate

COMMAND_GROUPS = (check.register, settings_commands.register, simulate.register)


def register_commands(app: App) -> None:
    """Add every group of commands."""
    for register in COMMAND_GROUPS:
        register(app)
    app.register_install_completion_command()
