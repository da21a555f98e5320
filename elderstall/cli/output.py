"""Exit statuses, error messages and JSON output of the tools."""

from __future__ import annotations

import json
from typing import Any

import click

from elderstall.atomic_file import write_text_atomically

EXIT_OK = 0
EXIT_FAILED = 1
EXIT_USAGE = 2


def print_error(message: str) -> None:
    """Print an error message on standard error."""
    click.echo(f"elderstall: {message}", err=True)


def write_json(value: Any, path: str) -> None:
    """Write JSON to a file, or to standard output for ``-``; the same value gives the same bytes."""
    text = json.dumps(value, indent=1, ensure_ascii=False, allow_nan=False) + "\n"
    if path != "-":
        write_text_atomically(path, text)
        return
    with click.open_file(path, "w", encoding="utf-8") as out:
        out.write(text)
        out.flush()  # an error here still gets its message and exit status
