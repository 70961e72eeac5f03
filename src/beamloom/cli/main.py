"""Entry point of the `beamloom` command."""

from __future__ import annotations

import sys

from beamloom.runtime.signal_mask import block_signals

if sys.argv[1:3] == ["run", "balancer"]:
    block_signals()  # before what takes the most time of a start

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
"""Errors whose message is for the user; any other is a fault of the program and keeps its trace."""


def make_app() -> App:
    """Return the command line with every command."""
    app = App(
        name="beamloom",
        help="A shared layer-4 load balancer. Every command tells more with --help.",
        version=version("beamloom"),
        result_action="return_value",
    )
    register_commands(app)
    return app


def main(arguments: Sequence[str] | None = None) -> int:
    """Run one command; return 0 when it succeeded, 1 when it failed, 2 when it was called wrong."""
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
