"""Reading of token files."""

from __future__ import annotations

from pathlib import Path

from beamloom.cli.errors import UnreadableTokenError


def read_token(path: Path) -> str:
    """Return the token in a file without surrounding blanks; raises UnreadableTokenError."""
    try:
        token = path.read_text(encoding="utf-8").strip()
    except OSError as error:
        raise UnreadableTokenError(str(path), str(error.strerror)) from error
    except UnicodeDecodeError:
        raise UnreadableTokenError(str(path), "not UTF-8") from None
    if not token:
        raise UnreadableTokenError(str(path), "the file is empty")
    return token
