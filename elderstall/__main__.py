"""Entry point of the command line: runs the dispatcher or one of the tools."""

from __future__ import annotations

import signal
import sys

DISPATCHER_COMMANDS = ("run", "check")  # commands of ``cli/run.py``


def main(argv: list[str] | None = None) -> int:
    """Run the given command, or the dispatcher if there is none; return the exit status."""
    arguments = sys.argv[1:] if argv is None else argv
    if not arguments or arguments[0].startswith("-") or arguments[0] in DISPATCHER_COMMANDS:
        # The tools and their libraries are not imported here, as they would cost the dispatcher start-up time
        # and memory. SIGHUP is ignored until the settings are read: it would end a starting process.
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
