"""Registration of all commands."""

from __future__ import annotations

from cyclopts import App

from beamloom.cli import (
    bench,
    check,
    decode,
    demo,
    experiment,
    fuzz,
    load,
    nodes,
    objects,
    run,
    settings_commands,
    simulate,
    simulate_tokens,
    soak,
    status,
    trace,
)

COMMAND_GROUPS = (
    demo.register,
    run.register,
    status.register,
    objects.register,
    settings_commands.register,
    check.register,
    decode.register,
    trace.register,
    nodes.register,
    load.register,
    simulate.register,
    simulate_tokens.register,
    soak.register,
    bench.register,
    fuzz.register,
    experiment.register,
)


def register_commands(app: App) -> None:
    """Add every command, and the one that installs shell completion."""
    for register in COMMAND_GROUPS:
        register(app)
    app.register_install_completion_command()
