"""The command line's door: a dispatcher by itself, or one of the tools."""

from __future__ import annotations

import signal
import sys

DISPATCHER = ("run", "check")  # the words that ``cli/run.py`` knows


def main(argv: list[str] | None = None) -> int:
    """Run the command given; without one, a dispatcher."""
    words = sys.argv[1:] if argv is None else argv
    if not words or words[0].startswith("-") or words[0] in DISPATCHER:
        # A dispatcher loads none of the tools, nor their libraries: its start and memory are the platform's.
        # What is to be read anew has not been read yet: SIGHUP would end a program that is still starting.
        signal.signal(signal.SIGHUP, signal.SIG_IGN)
        from elderstall.cli.run import main as run

        return run(words)
    try:
        from elderstall.cli.group import main as tools
    except ModuleNotFoundError as error:
        print(
            f"elderstall: {words[0]} needs {error.name}: pip install 'elderstall[simulation]'",
            file=sys.stderr,
        )
        return 2
    return tools(words)


if __name__ == "__main__":
    sys.exit(main())
