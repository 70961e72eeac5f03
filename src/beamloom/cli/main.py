"""Entry point of the `beamloom` command."""

from __future__ import annotations

import sys

from beamloom.runtime.signal_mask import block_signals

if sys.argv[1:3] == ["run", "balancer"]:
    block_signals()  # before the imports below, which take most of the startup time

from collections.abc import Sequence
from importlib.metadata import version

from cyclopts import App, CycloptsError

from beamloom.cli.commands import register_commands
from beamloom.cli.errors import CommandError, UsageError
from beamloom.cli.exit_status import ExitStatus
from beamloom.cli.output import write_error
from beamloom.experiments.errors import ExperimentError
from beamloom.fuzzing.errors import FuzzingError
from beamloom.object_api.errors import PlatformError
from beamloom.runtime.errors import NodeProcessError
from beamloom.settings.errors import SettingsError

EXPECTED_ERRORS = (
    CommandError,
    SettingsError,
    PlatformError,
    NodeProcessError,
    FuzzingError,
    ExperimentError,
    OSError,
)
"""Errors that are printed as one line; any other is a bug, and its traceback is kept."""


def make_app() -> App:
    """Return the command line with every command."""
    app = App(
        name="beamloom",
        help="A shared layer-4 load balancer. Use --help with any command for its options.",
        version=version("beamloom"),
        result_action="return_value",
    )
    register_commands(app)
    return app


def main(arguments: Sequence[str] | None = None) -> int:
    """Run one command and return its exit status (see ExitStatus)."""
    tokens = list(sys.argv[1:] if arguments is None else arguments)
    try:
        result = make_app()(tokens, exit_on_error=False, print_error=False)
    except CycloptsError as error:
        write_error(UsageError(str(error)))
        return ExitStatus.USAGE
    except UsageError as error:
        write_error(error)
        return ExitStatus.USAGE
    except KeyboardInterrupt:
        return ExitStatus.INTERRUPTED
    except EXPECTED_ERRORS as error:
        write_error(error)
        return ExitStatus.FAILED
    except ExceptionGroup as group:
        if group.split(EXPECTED_ERRORS)[1] is not None:
            raise
        write_error(group)
        return ExitStatus.FAILED
    return result if isinstance(result, int) else ExitStatus.SUCCESS
