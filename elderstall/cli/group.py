"""The click group that holds the tools, and what their commands share."""

from __future__ import annotations

import json
import sys
from collections.abc import Callable
from typing import Any

import click

from elderstall.atomic_file import write_text_atomically

GOOD, FAILED, BAD = 0, 1, 2


class Lazy(click.Group):
    """A group whose commands are imported when one is asked for."""

    words: dict[str, Callable[[], click.Command]]

    def list_commands(self, ctx: click.Context) -> list[str]:
        """Name the commands."""
        return sorted(self.words)

    def get_command(self, ctx: click.Context, cmd_name: str) -> click.Command | None:
        """Import a command."""
        load = self.words.get(cmd_name)
        return load() if load is not None else None


def rehearse() -> click.Command:
    """Import the rehearsal's commands."""
    from elderstall.cli.rehearse import rehearse as group

    return group


@click.group(cls=Lazy, context_settings={"help_option_names": ["-h", "--help"]})
def tools() -> None:
    """Tools around the dispatcher. Without a command, elderstall runs one dispatcher."""


tools.words = {"rehearse": rehearse}


def complain(message: str) -> None:
    """Say on standard error what is wrong."""
    click.echo(f"elderstall: {message}", err=True)


def write_json(value: Any, path: str) -> None:
    """Write JSON to a file, or to standard output for ``-``; the same value gives the same bytes."""
    text = json.dumps(value, indent=1, ensure_ascii=False, allow_nan=False) + "\n"
    if path != "-":
        write_text_atomically(path, text)
        return
    with click.open_file(path, "w", encoding="utf-8") as out:
        out.write(text)
        out.flush()  # here an error still gets its message and status


def main(argv: list[str]) -> int:
    """Run a tool; gives its exit status."""
    try:
        result = tools.main(args=argv, prog_name="elderstall", standalone_mode=False)
    except click.exceptions.Exit as done:
        return done.exit_code
    except click.Abort:
        complain("stopped")
        return FAILED
    except click.ClickException as error:
        error.show(sys.stderr)
        return BAD
    except OSError as error:
        complain(f"{error.filename}: {error.strerror}" if error.filename else str(error))
        return FAILED
    return result if isinstance(result, int) else GOOD
