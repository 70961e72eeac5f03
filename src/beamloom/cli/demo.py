"""`beamloom demo`: run a whole fleet on loopback during planned changes."""

from __future__ import annotations

import asyncio
import logging
import sys
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import asdict
from typing import Annotated

import structlog
from cyclopts import App, Parameter
from cyclopts.validators import Number
from rich.console import Console
from rich.progress import BarColumn, Progress, TextColumn, TimeElapsedColumn

from beamloom.cli.exit_status import ExitStatus
from beamloom.cli.output import FormatFlag, OutputFormat, write_json, write_line, write_rows
from beamloom.demo.run import DemoOptions, DemoReport, run_demo
from beamloom.demo.run import Progress as ProgressCallback

LOAD_COLUMNS = (
    "tenant",
    "service",
    "flows",
    "broken",
    "refused",
    "not ended",
    "open max/mean",
    "p99 seconds",
)
TRAFFIC_COLUMNS = ("balancer", "control bytes/s")


def register(app: App) -> None:
    """Add the command."""
    app.command(demo)


def demo(
    *,
    tenants: Annotated[int, Parameter(validator=Number(gte=1, lte=50))] = 2,
    balancers: Annotated[int, Parameter(validator=Number(gte=1, lte=20))] = 3,
    duration: Annotated[float, Parameter(validator=Number(gt=0, lte=3600))] = 20.0,
    rate: Annotated[float, Parameter(validator=Number(gt=0, lte=2000))] = 100.0,
    output_format: FormatFlag = OutputFormat.TABLE,
) -> int:
    """Run platform, balancers, backends, fabric and clients in one process on loopback.

    Meanwhile a backend is drained and the balancers are replaced one by one, as far as the
    duration allows. Exit status: 1 when an established flow broke.

    Parameters
    ----------
    tenants
        Number of tenants, which use the two users' deployments in turn.
    balancers
        Number of balancers that run at the same time.
    duration
        Seconds during which new flows are opened.
    rate
        New flows per second of all tenants together.
    output_format
        A table, or JSON for programs.

    """
    options = DemoOptions(tenants, balancers, duration, rate)
    structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(logging.WARNING))
    with _progress_bar(output_format) as progress:
        report = asyncio.run(run_demo(options, progress))
    _write(report, output_format)
    return ExitStatus.SUCCESS if report.succeeded else ExitStatus.FAILED


@contextmanager
def _progress_bar(output_format: OutputFormat) -> Iterator[ProgressCallback | None]:
    if output_format is OutputFormat.JSON:
        yield None
        return
    columns = (TextColumn("{task.description}"), BarColumn(), TimeElapsedColumn())
    with Progress(*columns, console=Console(file=sys.stderr)) as bar:
        task = bar.add_task("starting", total=1.0)

        def show(share: float, started: int, open_flows: int) -> None:
            bar.update(task, completed=share, description=f"{started} flows, {open_flows} open")

        yield show


def _write(report: DemoReport, output_format: OutputFormat) -> None:
    if output_format is OutputFormat.JSON:
        write_json(asdict(report) | {"succeeded": report.succeeded})
        return
    write_rows(LOAD_COLUMNS, _load_rows(report), output_format)
    write_line("")
    write_rows(TRAFFIC_COLUMNS, _traffic_rows(report), output_format)
    write_line("")
    write_line(
        f"{report.replaced_balancers} balancers replaced; "
        f"drained backend: {report.drained_backend or 'none'}"
    )


def _load_rows(report: DemoReport) -> Iterator[dict[str, object]]:
    for item in report.loads:
        load = item.load
        for service, imbalance in load.imbalance.items():
            yield {
                "tenant": item.tenant,
                "service": service,
                "flows": load.flows,
                "broken": load.broken_flows,
                "refused": load.outcomes["refused"],
                "not ended": load.not_ended,
                "open max/mean": f"{imbalance.open_flows:.2f}" if imbalance.open_flows else "",
                "p99 seconds": f"{load.latency.p99:.3f}",
            }


def _traffic_rows(report: DemoReport) -> Iterator[dict[str, object]]:
    for traffic in report.control_traffic:
        yield {
            "balancer": traffic.node_id,
            "control bytes/s": round(traffic.bytes_per_second),
        }
