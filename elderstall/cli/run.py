"""The commands of one dispatcher: run it, or check its configuration."""

from __future__ import annotations

import argparse
import gc
import os
import signal
from typing import Any, cast

from twisted.logger import ILogObserver, LogEvent, globalLogBeginner

from elderstall.app import App
from elderstall.config import ConfigError, load
from elderstall.log import print_error
from elderstall.net import monotonic_reactor


def main(argv: list[str] | None = None) -> int:
    """Run or check a dispatcher, as the arguments say, and return the exit status."""
    parser = argparse.ArgumentParser(
        prog="elderstall",
        description="A job dispatcher.",
        epilog="Tools, each with a --help of its own: elderstall simulate (faults in virtual time).",
    )
    parser.add_argument(
        "command",
        nargs="?",
        choices=("run", "check"),
        default="run",
        help="run a dispatcher (default), or check its configuration and stop",
    )
    parser.add_argument("--config", metavar="FILE", help="the platform's JSON (default: $RELAY_CONFIG)")
    parser.add_argument(
        "--front",
        metavar="FILE",
        help="an operator's file for the progress front (default: $ELDERSTALL_FRONT)",
    )
    args = parser.parse_args(argv)
    early_signals: list[int] = []  # SIGHUPs since the first reading of the configuration began
    signal.signal(signal.SIGHUP, lambda number, _: early_signals.append(number))
    try:
        config = load(args.config, os.environ, args.front)
    except ConfigError as error:
        print_error(str(error))
        return 2
    if args.command == "check":
        print(
            f"{config.name}: {len(config.settings.classes)} classes, "
            f"{len(config.known['endpoints'])} known workers, listens on {config.host}:{config.port}"
        )
        return 0
    reactor: Any = monotonic_reactor.install()  # Any, as mypy does not know zope's interfaces
    app = App(config, reactor, lambda: load(args.config, os.environ, args.front))
    # Set before the program listens, so that a signal to a serving process shuts it down in order. Until here
    # SIGHUP is only noted, and SIGTERM ends the process at once.
    signal.signal(signal.SIGTERM, app.sigterm)
    signal.signal(signal.SIGINT, app.sigterm)
    signal.signal(signal.SIGHUP, app.sighup)
    if early_signals:
        app.sighup()

    def observe(event: LogEvent) -> None:
        if "log_failure" in event:
            app.log.failure("twisted", event["log_failure"].value)

    # Without an observer Twisted keeps events in memory and prints failures beyond the log's limit.
    observer = cast(ILogObserver, observe)
    globalLogBeginner.beginLoggingTo([observer], discardBuffer=True, redirectStandardIO=False)
    gc.freeze()  # full collections need not visit what lives as long as the process
    app.start()
    reactor.run(installSignalHandlers=False)
    return 1 if app.failed else 0
