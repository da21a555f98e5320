"""The idle timeout of connections, adapted to when something on the path closes idle connections."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from elderstall.log import Log

STALE_CONNECTION_WINDOW_MS = 50.0  # a reused connection that breaks this soon after a request was stale
MIN_IDLE_TIMEOUT_MS = 20.0  # so that a request that follows at once can still reuse the connection
DECAY_FACTOR = 0.98  # of the counts of uses and breaks, at each use: a window of about 50 uses
STALE_BREAK_RATE_FACTOR = 2.0  # reused ones count as stale if they break more often than new ones times this
SUSPECT_IDLE_TIMEOUT_MS = 1_000.0  # idle timeout below which non-repeatable jobs use new connections
MAX_NEW_BREAKS = 0.5  # decayed breaks of new connections: one break 34 uses ago
MIN_DOUBLING_TIME_MS = 10_000.0  # in which a reduced idle timeout doubles; twice as long if reduced again
MAX_DOUBLING_TIME_MS = 60_000.0  # however often it is reduced
MAX_DOUBLINGS = 16.0  # bounds the exponent, which grows with the time since the reduction


@dataclass(slots=True)
class UseCounts:
    """The uses and breaks of new or of reused connections; each use of either kind decays both."""

    uses: float = 0.0
    breaks: float = 0.0

    def decay(self) -> None:
        """Reduce the weight of earlier uses and breaks."""
        self.uses *= DECAY_FACTOR
        self.breaks *= DECAY_FACTOR

    @property
    def break_rate(self) -> float:
        """The fraction of uses that ended in a break; one use is added, so that few uses give a low rate."""
        return self.breaks / (self.uses + 1)


class KeepAlive:
    """The idle timeout of connections, learned from connections that broke during a request."""

    def __init__(self, max_idle_timeout: float, now: Callable[[], float], log: Log) -> None:
        self.max_idle_timeout = max_idle_timeout  # ms, where idle connections do not break
        self.now = now
        self.log = log
        self.new_connections = UseCounts()
        self.reused_connections = UseCounts()
        self.reduced_timeout = max_idle_timeout  # ms
        self.reduced_at = 0.0  # clock reading, ms
        self.doubling_time = MIN_DOUBLING_TIME_MS

    @property
    def idle_timeout(self) -> float:
        """How long idle connections are kept, ms: reduced after a stale one, then growing to the maximum."""
        doublings = min((self.now() - self.reduced_at) / self.doubling_time, MAX_DOUBLINGS)
        return float(min(self.max_idle_timeout, self.reduced_timeout * 2**doublings))

    @property
    def prefers_new_connections(self) -> bool:
        """Whether new connections are safer: idle ones were stale, and new ones have not broken lately."""
        return (
            self.idle_timeout < min(SUSPECT_IDLE_TIMEOUT_MS, self.max_idle_timeout)
            and self.new_connections.breaks < MAX_NEW_BREAKS
        )

    def counts_for(self, idle_ms: float) -> UseCounts:
        """Return the counts for connections that were idle for ``idle_ms`` before a request."""
        return self.reused_connections if idle_ms > 0 else self.new_connections

    def record_use(self, idle_ms: float) -> None:
        """Count a request on a connection that was idle for ``idle_ms`` before it."""
        self.new_connections.decay()
        self.reused_connections.decay()
        self.counts_for(idle_ms).uses += 1

    def record_break(self, worker: str, idle_ms: float) -> None:
        """Count a connection that ended soon after a request was started on it, and adapt the idle timeout.

        Ends by a write error or a bad answer count too, and those before the request was written.

        Where something on the path closes idle connections, it is unknown whether the request on a stale one
        has run, and a job that must not be repeated would fail.
        """
        self.counts_for(idle_ms).breaks += 1
        if self.reused_connections.break_rate <= STALE_BREAK_RATE_FACTOR * self.new_connections.break_rate:
            # Workers reset new connections too: reducing the idle timeout would only add handshakes.
            self.reduced_timeout = self.max_idle_timeout
        elif idle_ms > 0:
            self._reduce_idle_timeout(worker, idle_ms)

    def _reduce_idle_timeout(self, worker: str, idle_ms: float) -> None:
        """Reduce the idle timeout to half of itself or of a stale connection's idle time, if that is less."""
        if self.idle_timeout >= self.max_idle_timeout:
            self.doubling_time = MIN_DOUBLING_TIME_MS
        else:
            self.doubling_time = min(2 * self.doubling_time, MAX_DOUBLING_TIME_MS)
        self.reduced_timeout = max(MIN_IDLE_TIMEOUT_MS, min(self.idle_timeout, idle_ms) / 2)
        self.reduced_at = self.now()
        self.log.write(
            "stale",
            f"connection to {worker} was closed after {idle_ms:.0f} ms idle; "
            f"idle timeout reduced to {self.reduced_timeout:.0f} ms",
        )
