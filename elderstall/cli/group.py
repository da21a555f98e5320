"""The click group that holds the tools, and the door that runs one."""

from __future__ import annotations

import sys
from collections.abc import Callable

import click

from elderstall.cli.output import BAD, FAILED, GOOD, print_error


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


def simulate() -> click.Group:
    """Import the simulator's commands."""
    from elderstall.cli.simulate import simulate as group

    return group


def rehearse() -> click.Group:
    """Give the simulator's commands under their former name, with a notice, for one version."""
    group = simulate()

    def notice() -> None:
        print_error("'rehearse' is now 'simulate'; the old name works for this version only")

    return click.Group("rehearse", group.commands, callback=notice, help=group.help, hidden=True)


@click.group(cls=Lazy, context_settings={"help_option_names": ["-h", "--help"]})
def tools() -> None:
    """Tools around the dispatcher. Without a command, elderstall runs one dispatcher."""


tools.words = {"simulate": simulate, "rehearse": rehearse}


def main(argv: list[str]) -> int:
    """Run a tool; gives its exit status."""
    try:
        result = tools.main(args=argv, prog_name="elderstall", standalone_mode=False)
    except click.exceptions.Exit as done:
        return done.exit_code
    except click.Abort:
        print_error("stopped")
        return FAILED
    except click.ClickException as error:
        error.show(sys.stderr)
        return BAD
    except OSError as error:
        print_error(f"{error.filename}: {error.strerror}" if error.filename else str(error))
        return FAILED
    return result if isinstance(result, int) else GOOD
