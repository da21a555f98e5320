"""The program put together: who owns what is told in docs/architecture.md."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, cast

from twisted.internet.defer import Deferred
from twisted.internet.endpoints import TCP4ClientEndpoint
from twisted.internet.protocol import Factory

from elderstall.config import Config, ConfigError, address_of, fixed_keys, reloaded
from elderstall.core import Core
from elderstall.deadlines import Deadlines
from elderstall.log import Log
from elderstall.net.console import Console
from elderstall.net.discovery import Discovery, WatchConnection
from elderstall.net.server import Server
from elderstall.net.sse import ProgressServer, StreamWorkers
from elderstall.net.workers import WorkerConnection, Workers

SERVE_FOR = 700.0  # ms after SIGTERM for which new jobs are still taken
LOOK_EVERY = 50.0  # ms between looks whether all is answered
DISCOVERY_CONNECT = 2.0  # s
BACKLOG = 1024
CONSOLE_BACKLOG = 64  # operators' calls that wait while the program is in another turn


class App:
    """One dispatcher on real sockets."""

    def __init__(self, config: Config, reactor: Any, read: Callable[[], Config] | None = None) -> None:
        self.config, self.reactor = config, reactor
        self.read = read or (lambda: config)  # reads the configuration again
        self.deadlines = Deadlines(reactor)
        self.log = Log(self.deadlines.now)
        self.deadlines.failed = lambda error: self.log.failure("deadline", error)
        carrier, listener = (StreamWorkers, ProgressServer) if config.progress.enabled else (Workers, Server)
        self.workers = carrier(
            self.deadlines, self.connect_worker, self.log, config.report_fields, config.idle_ms,
            config.worker_connections, config.connect_ms)
        self.core = Core(config.settings, config.seed, self.deadlines, self.workers, self.log,
                         config.slack_ms, config.max_open)
        self.discovery = Discovery(self.deadlines, self.log, self.connect_discovery, self.workers,
                                   self.core.listed, config.discovery, config.live_weights)
        self.core.follow = self.discovery.follow
        self.workers.wrote = self.core.wrote
        self.console = Console(self.deadlines, self.log, lambda: self.ready, self.core.figures,
                               {"/api/exclude": self.core.exclude, "/api/include": self.core.include})
        self.server = listener(self.core, self.deadlines, self.log, self.workers.report_of,
                               config.client_hard, config.client_soft, config.reading_bytes)
        if isinstance(self.server, ProgressServer):
            self.server.setup = config.progress
        self.port: Any = None
        self.stopping = False

    @property
    def ready(self) -> bool:
        """Whether this process serves: it listens, and no end is planned."""
        return self.port is not None and not self.stopping

    def connect_worker(self, address: str, factory: Factory) -> Deferred[WorkerConnection]:
        """Open a connection to a worker within the settings' time."""
        host, port = address_of(address, "address")
        endpoint: Any = TCP4ClientEndpoint(self.reactor, host, port, timeout=self.config.connect_ms / 1000)
        return cast("Deferred[WorkerConnection]", endpoint.connect(factory))

    def connect_discovery(self, factory: Factory) -> Deferred[WatchConnection]:
        """Open a connection to discovery."""
        host, port = address_of(self.config.discovery, "discovery")
        endpoint: Any = TCP4ClientEndpoint(self.reactor, host, port, timeout=DISCOVERY_CONNECT)
        return cast("Deferred[WatchConnection]", endpoint.connect(factory))

    def start(self) -> None:
        """Take the known list, then listen: from the first ``/up`` on clients may come."""
        if self.config.console is not None:
            host, port = self.config.console
            at = self.reactor.listenTCP(port, self.console, backlog=CONSOLE_BACKLOG, interface=host).getHost()
            self.log.write("console", f"{at.host}:{at.port}")
        _, entries = self.discovery.take(self.config.known)
        self.core.start(entries)
        self.port = self.reactor.listenTCP(
            self.config.port, self.server, backlog=BACKLOG, interface=self.config.host)
        self.server.accept = lambda on: self.port.startReading() if on else self.port.stopReading()
        host = self.port.getHost()
        self.log.write("start", f"{self.config.name} listens on {host.host}:{host.port}")

    def sigterm(self, *_: object) -> None:
        """Begin the planned end: from a signal handler, so the reactor's own turn does it."""
        self.reactor.callFromThread(self.drain)

    def sighup(self, *_: object) -> None:
        """Read the configuration again, in the reactor's own turn."""
        self.reactor.callFromThread(self.reload)

    def reload(self) -> None:
        """Take on the configuration as it is now; a faulty one changes nothing.

        Jobs, attempts and connections live on, a planned end under way goes on as well.
        """
        try:
            told = self.read()
            new = reloaded(self.config, told)
        except ConfigError as error:
            self.core.counts.load_errors += 1
            self.log.write("reload", f"nothing changed: {error}")
            return
        self.core.counts.loads += 1
        if keys := fixed_keys(self.config, told):
            self.log.write("reload", f"only a restart changes {', '.join(keys)}")
        old, self.config = self.config, new
        moved = told.discovery != old.discovery
        self.limit()
        if (new.settings, new.slack_ms, new.max_open) != (old.settings, old.slack_ms, old.max_open):
            self.core.retune(new.settings, new.slack_ms, new.max_open)
            self.server.retuned()
            self.log.write("reload", f"classes are {', '.join(self.core.classes)}; "
                                     f"{new.settings.max_attempts} attempts")
        self.log.write("reload", f"discovery is at {told.discovery}" + ("" if moved else ", as before"))
        if moved:
            self.discovery.move(told.discovery)

    def limit(self) -> None:
        """Hand the limits out."""
        self.workers.most = self.config.worker_connections
        self.workers.report_fields = self.config.report_fields
        self.workers.idle_for, self.workers.connect_for = self.config.idle_ms, self.config.connect_ms
        self.discovery.live = self.config.live_weights
        self.server.most, self.server.soft = self.config.client_hard, self.config.client_soft
        self.server.weight_most = self.config.reading_bytes
        if isinstance(self.server, ProgressServer):
            self.server.setup = self.config.progress
        self.server.crowded()

    def drain(self) -> None:
        """Serve on a little, then refuse new jobs, and end once all that was taken is answered."""
        if self.stopping:
            return
        self.stopping = True
        self.log.write("drain", f"{len(self.core.jobs)} jobs are out")
        self.server.drain()
        self.deadlines.after(SERVE_FOR, self.refuse)

    def refuse(self) -> None:
        """Refuse from now on; the listener stays, as workers' call-backs come there."""
        self.server.refuse()
        self.look()

    def look(self) -> None:
        """End once nothing is owed and every client's connection is closed."""
        if len(self.core.jobs) or not self.server.quiet or any(c.client for c in self.server.connections):
            self.deadlines.after(LOOK_EVERY, self.look)
            return
        self.log.write("exit", "all that was taken is answered")
        self.discovery.close()
        self.workers.close()
        self.reactor.stop()
