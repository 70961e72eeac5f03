"""`beamloom check`: report all faults of a settings, deployment or deploy file."""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path
from typing import Annotated

from cyclopts import App, Parameter

from beamloom.cli.errors import FileKindError
from beamloom.cli.exit_status import ExitStatus
from beamloom.cli.output import FormatFlag, OutputFormat, flatten, write_json, write_line
from beamloom.platform.deploy_file import DEPLOY_FILE_KEY, deploy_faults
from beamloom.platform.errors import PlatformSettingsError
from beamloom.platform.node_settings import SETTINGS_FILE_KEY, check_settings
from beamloom.settings.deployment import Deployment, check_deployment
from beamloom.settings.file_faults import SettingsFileError
from beamloom.settings.node_file import check_node_settings
from beamloom.settings.toml_source import TomlSource, load_toml


@dataclass(frozen=True, slots=True)
class CheckResult:
    """Description of a file, and its faults in the order of their lines.

    `platform_faults` are faults of token node settings and deploy files, without line numbers.
    """

    summary: str
    faults: tuple[SettingsFileError, ...]
    platform_faults: tuple[str, ...] = ()

    @property
    def is_valid(self) -> bool:
        """Whether no fault was found."""
        return not self.faults and not self.platform_faults


def register(app: App) -> None:
    """Add the command."""
    app.command(check)


def check(
    file: Annotated[Path, Parameter(help="The TOML file.")],
    /,
    *,
    output_format: FormatFlag = OutputFormat.TABLE,
) -> ExitStatus:
    """Check a node's settings file, a deployment file or a deploy file and report all faults.

    Exit status: 0 the file is valid, 1 it has faults.
    """
    result = check_file(file)
    if output_format is OutputFormat.JSON:
        rows = [_to_row(fault) for fault in result.faults]
        rows += [{"reason": fault} for fault in result.platform_faults]
        write_json({"file": str(file), "faults": rows})
    else:
        _write_lines(file, result)
    return ExitStatus.SUCCESS if result.is_valid else ExitStatus.FAILED


def check_file(file: Path) -> CheckResult:
    """Return a file's description and faults; raises FileKindError if its kind is unknown."""
    try:
        return _check_loaded(file)
    except SettingsFileError as fault:
        return CheckResult("", (fault,))
    except ExceptionGroup as group:
        faults = (fault for fault in flatten(group) if isinstance(fault, SettingsFileError))
        return CheckResult("", tuple(faults))


def _check_loaded(file: Path) -> CheckResult:
    source = load_toml(file)
    if SETTINGS_FILE_KEY in source.data:
        return _check_token_node_settings(file, source)
    if DEPLOY_FILE_KEY in source.data:
        faults = tuple(deploy_faults(source.data))
        return CheckResult(f"a deploy file of {len(source.data['roles'])} roles", (), faults)
    return CheckResult(_check_source(source), ())


def _check_token_node_settings(file: Path, source: TomlSource) -> CheckResult:
    try:
        settings = check_settings(source.data, str(file))
    except PlatformSettingsError as error:
        return CheckResult("", (), (str(error),))
    return CheckResult(f"settings of token node {settings.node} in zone {settings.zone}", ())


def _check_source(source: TomlSource) -> str:
    if "node" in source.data:
        settings = check_node_settings(source)
        return f"settings of node {settings.node.id} in zone {settings.node.zone}"
    if "tenants" in source.data:
        return _summarize(check_deployment(source))
    raise FileKindError


def _summarize(deployment: Deployment) -> str:
    services = [service for tenant in deployment.tenants for service in tenant.services]
    backends = sum(len(service.backends) for service in services)
    counts = f"{len(deployment.tenants)} tenants, {len(services)} services, {backends} backends"
    return f"deployment of {counts} in {len(deployment.zones)} zones"


def _write_lines(file: Path, result: CheckResult) -> None:
    for fault in result.faults:
        write_line(f"{file}: {fault}")
    for text in result.platform_faults:
        write_line(f"{file}: {text}")
    if result.is_valid:
        write_line(f"{file}: good, {result.summary}")


def _to_row(fault: SettingsFileError) -> dict[str, object]:
    return {
        "line": fault.line,
        "key": fault.key,
        "reason": fault.reason,
        "remedy": fault.remedy,
    }
