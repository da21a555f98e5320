"""The command line's door: a dispatcher by itself, or one of the tools."""

from __future__ import annotations

import signal
import sys

DISPATCHER_COMMANDS = ("run", "check")  # the arguments that ``cli/run.py`` knows


def main(argv: list[str] | None = None) -> int:
    """Run the command given; without one, a dispatcher."""
    arguments = sys.argv[1:] if argv is None else argv
    if not arguments or arguments[0].startswith("-") or arguments[0] in DISPATCHER_COMMANDS:
        # A dispatcher loads none of the tools, nor their libraries: its start and memory are the platform's.
        # What is to be read anew has not been read yet: SIGHUP would end a program that is still starting.
        signal.signal(signal.SIGHUP, signal.SIG_IGN)
        from elderstall.cli.run import main as run_dispatcher

        return run_dispatcher(arguments)
    try:
        from elderstall.cli.group import main as run_tool
    except ModuleNotFoundError as error:
        print(
            f"elderstall: {arguments[0]} needs {error.name}: pip install 'elderstall[simulation]'",
            file=sys.stderr,
        )
        return 2
    return run_tool(arguments)


if __name__ == "__main__":
    sys.exit(main())
