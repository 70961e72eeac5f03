"""Writes the reference page of the settings: `python -m beamloom.settings.reference > PAGE`."""

from __future__ import annotations

import sys
from collections.abc import Iterator

from beamloom.settings.declarations import DECLARATIONS, SettingDeclaration

_INTRODUCTION = """\
# Settings

Made by `python -m beamloom.settings.reference` from the declarations in
`src/beamloom/settings/declarations.py`; a test checks that it is current. Do not edit it.

A value set at a level applies to everything beneath it that does not set its own. See
[operators/settings.md](operators/settings.md) for how to look at values and change them.
"""


def render_reference() -> str:
    """Return the page as Markdown."""
    sections = (_render_setting(declaration) for declaration in DECLARATIONS.values())
    return "\n".join([_INTRODUCTION, *sections])


def _render_setting(declaration: SettingDeclaration) -> str:
    return "\n".join(
        [f"## `{declaration.name}`", "", declaration.summary, "", *_facts(declaration), ""]
    )


def _facts(declaration: SettingDeclaration) -> Iterator[str]:
    yield f"- Type: {declaration.value_type.value}"
    if declaration.unit:
        yield f"- Unit: {declaration.unit}"
    yield f"- Default: `{declaration.default}`"
    yield f"- Permitted: {declaration.bounds_text}"
    yield f"- Levels: {', '.join(level.value for level in declaration.levels)}"


if __name__ == "__main__":
    sys.stdout.write(render_reference())
