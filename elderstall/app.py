"""One dispatcher process: creates its components and runs them from start to end (docs/architecture.md)."""

from __future__ import annotations

import socket
from collections.abc import Callable
from dataclasses import replace
from typing import Any, cast

from twisted.internet.defer import Deferred
from twisted.internet.endpoints import TCP4ClientEndpoint
from twisted.internet.error import CannotListenError
from twisted.internet.protocol import Factory
from twisted.python.failure import Failure

from elderstall.config import (
    IDLE_MEMORY_MIB,
    Config,
    ConfigError,
    UnreadableError,
    changed_fixed_keys,
    merge_reloaded,
    parse_address,
)
from elderstall.deadlines import Deadline, Deadlines
from elderstall.engine import Engine
from elderstall.figures import Figures, ProcessFigures
from elderstall.interface import Endpoint
from elderstall.log import Log
from elderstall.net.accepting import RESOURCE_ERRORS, Acceptor
from elderstall.net.console import MAX_CONSOLE_CONNECTIONS, Console
from elderstall.net.discovery import Discovery, WatchConnection
from elderstall.net.handover.process_state import ProcessState
from elderstall.net.handover.search import Offer
from elderstall.net.memory_monitor import MemoryMonitor
from elderstall.net.server.listener import Server
from elderstall.net.server.streams import ProgressServer
from elderstall.net.turns import Turn, TurnMeter
from elderstall.net.upstream.connection import WorkerConnection
from elderstall.net.upstream.streams import StreamTransport
from elderstall.net.upstream.transport import WorkerTransport
from elderstall.shutdown import Shutdown
from elderstall.upgrade import Upgrade
from elderstall.upgrade.adoption import close_descriptor

DISCOVERY_CONNECT_TIMEOUT_S = 2.0
LISTEN_BACKLOG = 1024  # clients' connections that wait to be accepted
CONSOLE_BACKLOG = 64  # operators' connections that wait to be accepted
LISTEN_RETRY_INTERVAL_MS = 100.0  # between attempts to open a listener that lacked resources
MAX_LISTEN_RETRIES = 50  # 5 s in all, which is less than the platform waits for a start
RELOAD_RETRY_INTERVAL_MS = 250.0  # between attempts to read a file that was unreadable at SIGHUP
MAX_RELOAD_RETRIES = 12  # 3 s: new settings must be in use 4 s after the signal


class App:
    """One dispatcher on real sockets."""

    def __init__(self, config: Config, reactor: Any, read: Callable[[], Config] | None = None) -> None:
        self.config = config
        self.reactor = reactor
        self.read = read or (lambda: config)  # returns the configuration as it is in the file now
        self.deadlines = Deadlines(reactor)
        self.log = Log(self.deadlines.now)
        self.deadlines.on_error = lambda error: self.log.failure("deadline", error)
        # A reactor without a meter: the clock is that of the deadlines, which may be handed in.
        self.turns: TurnMeter = getattr(reactor, "turns", None) or TurnMeter(self.monotonic_seconds)
        self.turns.on_long_turn = self.log_long_turn
        transport_class, server_class = (
            (StreamTransport, ProgressServer) if config.progress.enabled else (WorkerTransport, Server)
        )
        self.workers = transport_class(
            self.deadlines,
            self.connect_worker,
            self.log,
            config.report_fields,
            config.idle_timeout_ms,
            config.worker_connections,
            config.connect_timeout_ms,
        )
        self.engine = Engine(
            config.settings,
            config.seed,
            self.deadlines,
            self.workers,
            self.log,
            config.answer_slack_ms,
            config.max_open,
            config.max_list_entries,
        )
        self.discovery = Discovery(
            self.deadlines,
            self.log,
            self.connect_discovery,
            self.workers,
            self.engine.endpoints.handle_list_update,
            config.discovery,
            config.live_weights,
        )
        self.engine.endpoints.request_changes = self.discovery.follow
        self.discovery.fits = self.engine.view.fits
        self.workers.on_written = self.engine.count_written
        self.server = server_class(
            self.engine,
            self.deadlines,
            self.log,
            self.workers.read_report,
            config.max_client_connections,
            config.client_shedding_threshold,
            config.kept_bytes_limit,
            self.turns,
        )
        if isinstance(self.server, ProgressServer):
            self.server.progress_settings = config.progress
        self.memory = MemoryMonitor(
            self.deadlines,
            self.log,
            self.server,
            config.memory_limit_bytes,
            int(IDLE_MEMORY_MIB * 1024 * 1024),
        )
        self.upgrade = Upgrade(
            self, reactor, self.deadlines, self.log, self.engine, self.discovery, self.workers, self.server
        )
        self.console = Console(
            self.deadlines,
            self.log,
            lambda: self.ready,
            self.figures,
            {
                "/api/exclude": self.upgrade.exclude,
                "/api/include": self.upgrade.include,
            },
        )
        self.shutdown = Shutdown(
            self, self.deadlines, self.log, self.engine, self.server, self.console, self.upgrade, self.end
        )
        self.port: Any = None
        self.acceptor: Acceptor | None = None  # accepts on ``port``
        self.console_acceptor: Acceptor | None = None
        self.inherited: int | None = None  # descriptor of the predecessor's listening socket, if handed over
        self.reload_retry: Deadline | None = None
        self.failed = False  # the process could not start

    def figures(self) -> Figures:
        """Return the current figures."""
        figures = self.engine.figures()
        self.memory.sample()
        figures.ends = self.log.ends
        figures.process = ProcessFigures(
            memory_limit_bytes=self.memory.limit_bytes,
            memory_resident_bytes=self.memory.resident_bytes,
            memory_peak_resident_bytes=self.memory.peak_resident_bytes,
            memory_kept_bytes=self.server.kept_bytes,
            connections=self.server.connection_count,
            turn_longest_ms=self.turns.longest_ms,
            turn_longest_work_ms=self.turns.longest_work_ms,
            turn_long_count=self.turns.long_turns,
        )
        return figures

    def monotonic_seconds(self) -> float:
        """Return the reading of the deadlines' monotonic clock, seconds."""
        return self.deadlines.seconds()

    def log_long_turn(self, turn: Turn) -> None:
        """Log a long turn of the reactor, with the share of this process's own work in it."""
        longest = f"; longest by {turn.longest_by}: {turn.longest_ms:.0f} ms" if turn.longest_by else ""
        self.log.write_rate_limited(
            "turn", f"took {turn.duration_ms:.0f} ms, {turn.cpu_ms:.0f} ms of CPU time{longest}"
        )

    @property
    def ready(self) -> bool:
        """Return whether this process serves clients: it listens, and no shutdown has begun."""
        return self.port is not None and not self.shutdown.has_begun

    def connect_worker(self, address: str, factory: Factory) -> Deferred[WorkerConnection]:
        """Connect to a worker within the configured timeout."""
        host, port = parse_address(address, "address")
        endpoint: Any = TCP4ClientEndpoint(
            self.reactor, host, port, timeout=self.config.connect_timeout_ms / 1000
        )
        return cast("Deferred[WorkerConnection]", endpoint.connect(factory))

    def connect_discovery(self, factory: Factory) -> Deferred[WatchConnection]:
        """Connect to discovery."""
        host, port = parse_address(self.config.discovery, "discovery")
        endpoint: Any = TCP4ClientEndpoint(self.reactor, host, port, timeout=DISCOVERY_CONNECT_TIMEOUT_S)
        return cast("Deferred[WatchConnection]", endpoint.connect(factory))

    def start(self) -> None:
        """Open the console if it is configured, then look for a predecessor to take over from."""
        if self.config.console is None:
            self.find_predecessor()
            return
        host, port = self.config.console

        def open_port() -> Any:
            return self.reactor.listenTCP(port, self.console, backlog=CONSOLE_BACKLOG, interface=host)

        self.listen(open_port, self.console_opened)

    def console_opened(self, port: Any) -> None:
        """Accept operators' connections, then look for a predecessor to take over from."""
        self.console_acceptor = Acceptor(port, self.deadlines, self.log, lambda: MAX_CONSOLE_CONNECTIONS)
        host = port.getHost()
        self.log.write("console", f"{host.host}:{host.port}")
        self.find_predecessor()

    def find_predecessor(self) -> None:
        """Look for a process of the same dispatcher to take over from; begin with its offer, or with None."""
        if self.upgrade.handover is None:
            self.begin(None)
        else:
            self.upgrade.handover.find().addCallback(self.begin).addErrback(self.handover_failed)

    def listen(
        self,
        open_port: Callable[[], Any],
        opened: Callable[[Any], None],
        retries_left: int = MAX_LISTEN_RETRIES,
    ) -> None:
        """Open a listener and call ``opened`` with it; retry while descriptors or memory are short."""
        if self.shutdown.has_begun:
            # The shutdown may have begun while the listener was being retried. A predecessor that learns of
            # a serving successor stops accepting clients, so this process must not listen any more.
            self.release_inherited()
            return
        try:
            port = open_port()
        except (CannotListenError, OSError) as error:
            cause = error.socketError if isinstance(error, CannotListenError) else error
            if retries_left and getattr(cause, "errno", None) in RESOURCE_ERRORS:
                self.log.write_rate_limited("listen", f"cannot open the listener, retrying: {error}")
                self.deadlines.after(
                    LISTEN_RETRY_INTERVAL_MS, self.listen, open_port, opened, retries_left - 1
                )
            else:
                self.release_inherited()
                self.cannot_begin(error)
            return
        opened(port)

    def release_inherited(self) -> None:
        """Close this process's copy of the listening socket that was handed over."""
        if self.inherited is not None:
            close_descriptor(self.inherited)
            self.inherited = None

    def handover_failed(self, failure: Failure) -> None:
        """Exit: the hand-over, or the start that followed the search for a predecessor, has failed."""
        self.cannot_begin(failure.value)

    def cannot_begin(self, error: BaseException | None) -> None:
        """Log the error and exit with a failure."""
        self.log.write("exit", f"cannot begin: {error}")
        self.failed = True
        self.reactor.callLater(0, self.reactor.stop)

    def begin(self, offer: Offer | None) -> None:
        """Load the endpoint list and the predecessor's state, if any, then listen and ``serve``.

        Clients may connect as soon as ``/up`` has answered, so the list must be known before.
        """
        if offer is not None:
            self.inherited = offer.listener
        if self.shutdown.has_begun:
            self.release_inherited()
            return
        if offer is None:
            self.engine.start(self.merge_known_list(self.config.known), None)
        else:
            self.begin_as_successor(ProcessState.decode(offer.state, self.deadlines.offset))
        self.listen(self.open_port, self.serve)

    def begin_as_successor(self, state: ProcessState) -> None:
        """Continue with the state that the predecessor handed over."""
        self.upgrade.state_transfer.import_state(state)
        entries = self.merge_known_list(self.config.known if state.endpoints is None else state.endpoints)
        if state.discovery is not None and state.discovery != self.config.discovery:
            self.discovery.index = 0  # versions of another discovery are not comparable
        self.upgrade.state_transfer.read_learned(state, entries)
        self.engine.start(entries, state.learned)

    def merge_known_list(self, known: Any) -> tuple[Endpoint, ...]:
        """Return the entries of the list known at the start and drop the configuration's copy of it."""
        _, entries = self.discovery.merge(known) or (None, ())
        self.config = replace(self.config, known=None)
        return entries

    def open_port(self) -> Any:
        """Return a new listening port, or one on the socket that was handed over."""
        if self.inherited is not None:
            return self.reactor.adoptStreamPort(self.inherited, socket.AF_INET, self.server)
        port = self.reactor.listenTCP(
            self.config.port, self.server, backlog=LISTEN_BACKLOG, interface=self.config.host
        )
        # Closing the port must not shut down the socket, which a successor may share.
        port._shouldShutdown = False
        return port

    def serve(self, port: Any) -> None:
        """Accept clients, and wait for a successor."""
        taken_over = self.inherited is not None
        self.release_inherited()
        self.port = port
        self.acceptor = Acceptor(port, self.deadlines, self.log, lambda: self.server.capacity_left)
        self.server.accept = self.accept
        host = port.getHost()
        self.log.write("start", f"{self.config.name} listens on {host.host}:{host.port}")
        self.memory.start()
        self.upgrade.listener_opened(taken_over=taken_over)

    def accept(self, enabled: bool) -> None:
        """Accept connections or stop; while a successor serves, only the successor accepts them."""
        if self.acceptor is not None:
            self.acceptor.enable(enabled and not self.upgrade.has_serving_successor)

    def update_accepting(self) -> None:
        """Apply the server's current decision to accept connections or not."""
        self.accept(self.server.accepting)

    # ---- signals ----

    def sigterm(self, *_: object) -> None:
        """Begin the shutdown from the reactor, as a signal handler may interrupt any code."""
        # The reactor's turn may come late: the platform's time counts from the signal.
        self.reactor.callFromThread(self.drain, self.deadlines.now())

    def sighup(self, *_: object) -> None:
        """Reload the configuration from the reactor, as a signal handler may interrupt any code."""
        self.reactor.callFromThread(self.reload)

    def reload(self, retries_left: int = MAX_RELOAD_RETRIES) -> None:
        """Apply the configuration as it is in the file now; an invalid one changes nothing.

        Jobs, attempts, connections and a shutdown in progress continue. A file that can't be read is retried
        ``MAX_RELOAD_RETRIES`` times; only the first failure is logged.
        """
        if self.reload_retry is not None:
            self.reload_retry.cancel()
            self.reload_retry = None
        try:
            file_config = self.read()
            new = merge_reloaded(self.config, file_config)
        except UnreadableError as error:
            if retries_left == MAX_RELOAD_RETRIES:
                self.reload_failed(error)
            if retries_left:
                self.reload_retry = self.deadlines.after(
                    RELOAD_RETRY_INTERVAL_MS, self.reload, retries_left - 1
                )
        except ConfigError as error:
            self.reload_failed(error)
        else:
            self.change_configuration(file_config, new)

    def reload_failed(self, error: ConfigError) -> None:
        """Count and log that the configuration in use stays."""
        self.engine.counters.settings_load_errors += 1
        self.log.write("reload", f"nothing changed: {error}")

    def change_configuration(self, file_config: Config, new: Config) -> None:
        """Apply ``new``, which is ``file_config`` without the changes that need a restart."""
        self.engine.counters.settings_loads += 1
        if keys := changed_fixed_keys(self.config, file_config):
            self.log.write("reload", f"only a restart changes {', '.join(keys)}")
        old = self.config
        self.config = replace(new, known=None)
        discovery_moved = file_config.discovery != old.discovery
        self.apply_limits()
        if (new.settings, new.answer_slack_ms, new.max_open) != (
            old.settings,
            old.answer_slack_ms,
            old.max_open,
        ):
            self.engine.change_settings(new.settings, new.answer_slack_ms, new.max_open)
            self.server.recheck_heads()
            self.log.write(
                "reload",
                f"classes are {', '.join(self.engine.classes)}; {new.settings.max_attempts} attempts",
            )
        self.log.write(
            "reload", f"discovery is at {file_config.discovery}" + ("" if discovery_moved else ", as before")
        )
        if discovery_moved:
            self.discovery.move(file_config.discovery)

    def apply_limits(self) -> None:
        """Pass the limits, the names of report fields and the source of weights to the running components.

        The maximum length of the endpoint list is not among them: it keeps its value from the start, even
        if the memory limit has changed.
        """
        self.workers.connections.limit = self.upgrade.worker_connections
        self.workers.report_fields = self.config.report_fields
        self.workers.keep_alive.max_idle_timeout = self.config.idle_timeout_ms
        self.workers.connect_timeout = self.config.connect_timeout_ms
        self.discovery.live = self.config.live_weights
        self.server.max_connections = self.config.max_client_connections
        self.server.shedding_threshold = self.config.client_shedding_threshold
        self.server.kept_bytes_limit = self.config.kept_bytes_limit
        self.memory.limit_bytes = self.config.memory_limit_bytes
        if isinstance(self.server, ProgressServer):
            self.server.progress_settings = self.config.progress
        self.server.enforce_limits()

    def drain(self, signaled_at: float) -> None:
        """Begin the shutdown; it calls ``end`` when clients and jobs have finished or run out of time.

        ``signaled_at``: clock reading of the handler of SIGTERM, ms.
        """
        self.shutdown.begin(signaled_at)

    def end(self) -> None:
        """Close all sockets and stop the reactor."""
        for acceptor in (self.acceptor, self.console_acceptor):
            if acceptor is not None:
                acceptor.close()
        self.memory.stop()
        self.discovery.close()
        self.workers.close()
        if self.upgrade.handover is not None:
            self.upgrade.handover.close()
        self.reactor.stop()
