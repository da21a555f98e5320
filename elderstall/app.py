"""The program put together: docs/architecture.md says which part owns what."""

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

from elderstall.config import Config, ConfigError, UnreadableError, address_of, fixed_keys, reloaded
from elderstall.deadlines import Deadline, Deadlines
from elderstall.engine import Engine
from elderstall.interface import Endpoint
from elderstall.log import Log
from elderstall.net.accepting import RESOURCE_ERRORS, Acceptor
from elderstall.net.console import MAX_CONSOLE_CONNECTIONS, Console
from elderstall.net.discovery import Discovery, WatchConnection
from elderstall.net.handover.process_state import ProcessState
from elderstall.net.handover.search import Offer
from elderstall.net.server.listener import Server
from elderstall.net.server.streams import ProgressServer
from elderstall.net.upstream.connection import WorkerConnection
from elderstall.net.upstream.streams import StreamTransport
from elderstall.net.upstream.transport import WorkerTransport
from elderstall.shutdown import Shutdown
from elderstall.upgrade import Upgrade
from elderstall.upgrade.adoption import close_descriptor

DISCOVERY_CONNECT_TIMEOUT_S = 2.0  # s
BACKLOG = 1024
CONSOLE_BACKLOG = 64  # operators' calls that wait while the program is in another turn
LISTEN_RETRY = 100.0  # ms until a listener that could not be opened for lack of resources is tried again
LISTEN_TRIES = 50  # times: the platform waits longer for a start
RELOAD_RETRY = 250.0  # ms until a file that could not be read at SIGHUP is read again
RELOAD_TRIES = 12  # times: what is new counts 4 s after the signal


class App:
    """One dispatcher on real sockets."""

    def __init__(self, config: Config, reactor: Any, read: Callable[[], Config] | None = None) -> None:
        self.config, self.reactor = config, reactor
        self.read = read or (lambda: config)  # reads the configuration again
        self.deadlines = Deadlines(reactor)
        self.log = Log(self.deadlines.now)
        self.deadlines.on_error = lambda error: self.log.failure("deadline", error)
        carrier, listener = (
            (StreamTransport, ProgressServer) if config.progress.enabled else (WorkerTransport, Server)
        )
        self.workers = carrier(
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
            self.engine.endpoints.take,
            config.discovery,
            config.live_weights,
        )
        self.engine.endpoints.follow, self.discovery.fits = self.discovery.follow, self.engine.view.fits
        self.workers.on_written = self.engine.count_written
        self.server = listener(
            self.engine,
            self.deadlines,
            self.log,
            self.workers.read_report,
            config.max_client_connections,
            config.client_shedding_threshold,
            config.kept_bytes_limit,
        )
        if isinstance(self.server, ProgressServer):
            self.server.progress_settings = config.progress
        self.upgrade = Upgrade(
            self, reactor, self.deadlines, self.log, self.engine, self.discovery, self.workers, self.server
        )
        self.console = Console(
            self.deadlines,
            self.log,
            lambda: self.ready,
            self.engine.figures,
            {
                "/api/exclude": self.upgrade.exclude,
                "/api/include": self.upgrade.include,
            },
        )
        self.shutdown = Shutdown(
            self, self.deadlines, self.log, self.engine, self.server, self.console, self.upgrade, self.end
        )
        self.port: Any = None
        self.acceptor: Acceptor | None = None  # of that port
        self.console_acceptor: Acceptor | None = None
        self.inherited: int | None = None  # the listener's descriptor that another process has handed over
        self.reload_retry: Deadline | None = None
        self.failed = False  # the program could not begin

    @property
    def ready(self) -> bool:
        """Whether this process serves: it listens, and no end is planned."""
        return self.port is not None and not self.shutdown.begun

    def connect_worker(self, address: str, factory: Factory) -> Deferred[WorkerConnection]:
        """Open a connection to a worker within the settings' time."""
        host, port = address_of(address, "address")
        endpoint: Any = TCP4ClientEndpoint(
            self.reactor, host, port, timeout=self.config.connect_timeout_ms / 1000
        )
        return cast("Deferred[WorkerConnection]", endpoint.connect(factory))

    def connect_discovery(self, factory: Factory) -> Deferred[WatchConnection]:
        """Open a connection to discovery."""
        host, port = address_of(self.config.discovery, "discovery")
        endpoint: Any = TCP4ClientEndpoint(self.reactor, host, port, timeout=DISCOVERY_CONNECT_TIMEOUT_S)
        return cast("Deferred[WatchConnection]", endpoint.connect(factory))

    def start(self) -> None:
        """Listen for operators, and begin: with what a process that runs hands over, if there is one."""
        if self.config.console is None:
            self.find_predecessor()
            return
        host, port = self.config.console

        def open_port() -> Any:
            return self.reactor.listenTCP(port, self.console, backlog=CONSOLE_BACKLOG, interface=host)

        self.listen(open_port, self.console_opened)

    def console_opened(self, port: Any) -> None:
        """Accept operators' calls."""
        self.console_acceptor = Acceptor(port, self.deadlines, self.log, lambda: MAX_CONSOLE_CONNECTIONS)
        at = port.getHost()
        self.log.write("console", f"{at.host}:{at.port}")
        self.find_predecessor()

    def find_predecessor(self) -> None:
        """Begin, with what a process that runs hands over, if there is one."""
        if self.upgrade.handover is None:
            self.begin(None)
        else:
            self.upgrade.handover.find().addCallback(self.begin).addErrback(self.not_handed_over)

    def listen(
        self, open_port: Callable[[], Any], opened: Callable[[Any], None], tries: int = LISTEN_TRIES
    ) -> None:
        """Open a listener, and go on with it; a lack of resources is waited for."""
        if self.shutdown.begun:
            # Guards the process that runs: told that another serves, it would leave it its clients.
            self.release_inherited()
            return
        try:
            port = open_port()
        except (CannotListenError, OSError) as error:
            cause = error.socketError if isinstance(error, CannotListenError) else error
            if tries and getattr(cause, "errno", None) in RESOURCE_ERRORS:
                self.log.write_rate_limited("listen", f"tried again: {error}")
                self.deadlines.after(LISTEN_RETRY, self.listen, open_port, opened, tries - 1)
            else:
                self.release_inherited()
                self.cannot_begin(error)
            return
        opened(port)

    def release_inherited(self) -> None:
        """Close the copy of the listener that was handed over."""
        if self.inherited is not None:
            close_descriptor(self.inherited)
            self.inherited = None

    def not_handed_over(self, failure: Failure) -> None:
        """End, as the process that runs does not hand over."""
        self.cannot_begin(failure.value)

    def cannot_begin(self, error: BaseException | None) -> None:
        """End, as the program cannot begin."""
        self.log.write("exit", f"cannot begin: {error}")
        self.failed = True
        self.reactor.callLater(0, self.reactor.stop)

    def begin(self, offer: Offer | None) -> None:
        """Take the known list, then listen: from the first ``/up`` on clients may come."""
        if offer is not None:
            self.inherited = offer.listener
        if self.shutdown.begun:
            self.release_inherited()
            return
        if offer is None:
            self.engine.start(self.take_list(self.config.known), None)
        else:
            self.begin_as_successor(ProcessState.decode(offer.state, self.deadlines.offset))
        self.listen(self.open_port, self.serve)

    def begin_as_successor(self, state: ProcessState) -> None:
        """Go on from where the process that runs is."""
        self.upgrade.state_transfer.import_state(state)
        entries = self.take_list(self.config.known if state.endpoints is None else state.endpoints)
        if state.discovery is not None and state.discovery != self.config.discovery:
            self.discovery.index = 0  # another one counts its versions afresh
        self.upgrade.state_transfer.read_learned(state, entries)
        self.engine.start(entries, state.learned)

    def take_list(self, known: Any) -> tuple[Endpoint, ...]:
        """Take the endpoint list that is known at the start; what is listed from here on is the view's."""
        _, entries = self.discovery.merge(known) or (None, ())
        self.config = replace(self.config, known=None)
        return entries

    def open_port(self) -> Any:
        """Open the listener, or take on the one that was handed over."""
        if self.inherited is not None:
            return self.reactor.adoptStreamPort(self.inherited, socket.AF_INET, self.server)
        port = self.reactor.listenTCP(
            self.config.port, self.server, backlog=BACKLOG, interface=self.config.host
        )
        port._shouldShutdown = False  # it may be shared with a next process, which goes on with it
        return port

    def serve(self, port: Any) -> None:
        """Accept clients, and be there for the next process."""
        taken_over = self.inherited is not None
        self.release_inherited()
        self.port = port
        self.acceptor = Acceptor(port, self.deadlines, self.log, lambda: self.server.capacity_left)
        self.server.accept = self.accept
        host = port.getHost()
        self.log.write("start", f"{self.config.name} listens on {host.host}:{host.port}")
        self.upgrade.listener_opened(taken_over=taken_over)

    def accept(self, on: bool) -> None:
        """Read the listening port or not; while another process serves, it does."""
        if self.acceptor is not None:
            self.acceptor.enable(on and not self.upgrade.has_serving_successor)

    def update_accepting(self) -> None:
        """Read the listening port or not, as the server has it and as it is now."""
        self.accept(self.server.accepting)

    # ---- signals ----

    def sigterm(self, *_: object) -> None:
        """Begin the planned end: from a signal handler, so the reactor's own turn does it."""
        self.reactor.callFromThread(self.drain)

    def sighup(self, *_: object) -> None:
        """Read the configuration again, in the reactor's own turn."""
        self.reactor.callFromThread(self.reload)

    def reload(self, tries: int = RELOAD_TRIES) -> None:
        """Take on the configuration as it is now; a faulty one changes nothing.

        Jobs, attempts and connections live on, a planned end under way goes on as well. A file that can't be
        read is read again for a while, without a further word.
        """
        if self.reload_retry is not None:
            self.reload_retry.cancel()
            self.reload_retry = None
        try:
            read = self.read()
            new = reloaded(self.config, read)
        except UnreadableError as error:
            if tries == RELOAD_TRIES:
                self.reload_failed(error)
            if tries:
                self.reload_retry = self.deadlines.after(RELOAD_RETRY, self.reload, tries - 1)
        except ConfigError as error:
            self.reload_failed(error)
        else:
            self.change_configuration(read, new)

    def reload_failed(self, error: ConfigError) -> None:
        """Note that the configuration in use stays."""
        self.engine.counters.settings_load_errors += 1
        self.log.write("reload", f"nothing changed: {error}")

    def change_configuration(self, read: Config, new: Config) -> None:
        """Take on ``new``: the configuration that was read, but for what only a restart changes."""
        self.engine.counters.settings_loads += 1
        if keys := fixed_keys(self.config, read):
            self.log.write("reload", f"only a restart changes {', '.join(keys)}")
        old, self.config = self.config, replace(new, known=None)
        moved = read.discovery != old.discovery
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
        self.log.write("reload", f"discovery is at {read.discovery}" + ("" if moved else ", as before"))
        if moved:
            self.discovery.move(read.discovery)

    def apply_limits(self) -> None:
        """Give each part its limits as they are configured now."""
        self.workers.connections.limit = self.upgrade.worker_connections
        self.workers.report_fields = self.config.report_fields
        self.workers.keep_alive.max_idle_timeout = self.config.idle_timeout_ms
        self.workers.connect_timeout = self.config.connect_timeout_ms
        self.discovery.live = self.config.live_weights
        self.server.max_connections, self.server.shedding_threshold = (
            self.config.max_client_connections,
            self.config.client_shedding_threshold,
        )
        self.server.kept_bytes_limit = self.config.kept_bytes_limit
        if isinstance(self.server, ProgressServer):
            self.server.progress_settings = self.config.progress
        self.server.enforce_limits()

    def drain(self) -> None:
        """Begin the planned end."""
        self.shutdown.begin()

    def end(self) -> None:
        """Close what is open, and end the process."""
        for acceptor in (self.acceptor, self.console_acceptor):
            if acceptor is not None:
                acceptor.close()
        self.discovery.close()
        self.workers.close()
        if self.upgrade.handover is not None:
            self.upgrade.handover.close()
        self.reactor.stop()
