"""The click group of the tools, and the function that runs one."""

from __future__ import annotations

import sys
from collections.abc import Callable

import click

from elderstall.cli.output import EXIT_FAILED, EXIT_OK, EXIT_USAGE, print_error


class LazyGroup(click.Group):
    """A group that imports a command only when it is used."""

    loaders: dict[str, Callable[[], click.Command]]

    def list_commands(self, ctx: click.Context) -> list[str]:
        """Return the names of the commands."""
        return sorted(self.loaders)

    def get_command(self, ctx: click.Context, cmd_name: str) -> click.Command | None:
        """Import and return a command; None if it is unknown."""
        load = self.loaders.get(cmd_name)
        return load() if load is not None else None


def simulate() -> click.Group:
    """Import and return the simulator's commands."""
    from elderstall.cli.simulate import simulate as group

    return group


def rehearse() -> click.Group:
    """Return the simulator's commands under their deprecated name, with a notice to use ``simulate``."""
    group = simulate()

    def notice() -> None:
        print_error("'rehearse' is now 'simulate'; the old name works for this version only")

    return click.Group("rehearse", group.commands, callback=notice, help=group.help, hidden=True)


@click.group(cls=LazyGroup, context_settings={"help_option_names": ["-h", "--help"]})
def tools() -> None:
    """Tools around the dispatcher. Without a command, elderstall runs one dispatcher."""


tools.loaders = {"simulate": simulate, "rehearse": rehearse}


def main(argv: list[str]) -> int:
    """Run a tool and return its exit status."""
    try:
        result = tools.main(args=argv, prog_name="elderstall", standalone_mode=False)
    except click.exceptions.Exit as exit_request:
        return exit_request.exit_code
    except click.Abort:
        print_error("stopped")
        return EXIT_FAILED
    except click.ClickException as error:
        error.show(sys.stderr)
        return EXIT_USAGE
    except OSError as error:
        print_error(f"{error.filename}: {error.strerror}" if error.filename else str(error))
        return EXIT_FAILED
    return result if isinstance(result, int) else EXIT_OK
