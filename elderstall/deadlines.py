"""All deadlines of the process in one heap driven by a single reactor call, and the clock they share."""

from __future__ import annotations

import heapq
import time
from collections.abc import Callable
from typing import Any

from elderstall.clocks import SharedClock, wall_offset

MIN_HEAP_SIZE_TO_COMPACT = 1024  # a smaller heap is not worth rebuilding
MAX_RUN_MS = 10.0  # of calls that are due, in one turn of the reactor; the others wait for the next turn
MAX_CANCELLED_FACTOR = 2  # the heap is rebuilt once it has more than this many entries for each live one


def unix_now() -> float:
    """Return the wall clock, Unix ms."""
    return time.time() * 1000


class Deadline:
    """A deadline that can be cancelled."""

    __slots__ = ("call", "args", "owner")

    def __init__(self, owner: Deadlines, call: Callable[..., object], args: tuple[Any, ...]) -> None:
        self.owner = owner
        self.call: Callable[..., object] | None = call
        self.args = args

    def cancel(self) -> None:
        """Cancel the call and drop the references it holds."""
        if self.call is not None:
            self.call = None
            self.args = ()
            self.owner.active_count -= 1


class Deadlines:
    """Deadlines and their clock: Unix ms at the start of the process plus monotonic time.

    Steps of the wall clock change neither the deadlines nor the clock.
    """

    def __init__(
        self, reactor: Any, seconds: Callable[[], float] = time.monotonic, unix_ms: float | None = None
    ) -> None:
        self.reactor = reactor  # IReactorTime, whose clock may be set back
        self.seconds = seconds
        self.unix: Callable[[], float] = unix_now  # the wall clock, ms
        self.offset = wall_offset(seconds, unix_now, 0.0) if unix_ms is None else unix_ms - seconds() * 1000
        if unix_ms is not None:
            self.unix = self.now
        self.heap: list[tuple[float, int, Deadline]] = []
        self.last_number = self.active_count = 0
        self.reactor_call: Any = None  # IDelayedCall
        self.reactor_call_at = 0.0
        self.running = False
        self.on_error: Callable[[BaseException], None] | None = None  # called with what a call raised

    def now(self) -> float:
        """Return the reading of the clock, ms."""
        return self.seconds() * 1000 + self.offset

    def current_wall_offset(self, known: float | None = None) -> float:
        """Return the wall clock's current offset, or ``known`` (the offset of readings) if still accurate."""
        return wall_offset(self.seconds, self.unix, self.offset if known is None else known)

    def shared(self) -> SharedClock:
        """Return the form in which readings are sent to the other process of an upgrade."""
        return SharedClock(self.current_wall_offset(), self.offset)

    def after(self, delay: float, call: Callable[..., object], *args: Any) -> Deadline:
        """Schedule a call after ``delay`` milliseconds."""
        return self.at(self.now() + max(0.0, delay), call, *args)

    def at(self, when: float, call: Callable[..., object], *args: Any) -> Deadline:
        """Schedule a call at a clock reading; equal deadlines run in the order they were set."""
        deadline = Deadline(self, call, args)
        self.last_number += 1
        self.active_count += 1
        heapq.heappush(self.heap, (when, self.last_number, deadline))
        max_heap_size = max(MIN_HEAP_SIZE_TO_COMPACT, MAX_CANCELLED_FACTOR * self.active_count)
        if len(self.heap) > max_heap_size and not self.running:
            # Bounds memory: a connection's idle timer is cancelled and set again with each request.
            self.heap = [entry for entry in self.heap if entry[2].call is not None]
            heapq.heapify(self.heap)
        self.reschedule()
        return deadline

    def reschedule(self) -> None:
        """Schedule the reactor call for the earliest live deadline; a call that is due sooner stays."""
        while self.heap and self.heap[0][2].call is None:
            heapq.heappop(self.heap)
        if self.running or not self.heap:
            return
        first = self.heap[0][0]
        if self.reactor_call is not None:
            if self.reactor_call_at <= first:
                return
            self.reactor_call.cancel()
        self.reactor_call_at = first
        self.reactor_call = self.reactor.callLater(max(0.0, first - self.now()) / 1000, self.run)

    def run(self) -> None:
        """Run the calls that are due, for a limited time; deadlines set by them wait for the next run."""
        self.reactor_call = None
        self.running = True
        now = self.now() + 0.001  # ms; a reactor may wake slightly early
        last = self.last_number
        later: list[tuple[float, int, Deadline]] = []
        try:
            while self.heap and self.heap[0][0] <= now and self.now() < now + MAX_RUN_MS:
                entry = heapq.heappop(self.heap)
                deadline = entry[2]
                if entry[1] > last:
                    later.append(entry)
                elif (call := deadline.call) is not None:
                    args = deadline.args
                    deadline.cancel()
                    try:
                        call(*args)
                    except Exception as error:
                        # One call that fails must not stop the other deadlines.
                        if self.on_error is None:
                            raise
                        self.on_error(error)
        finally:
            for entry in later:
                heapq.heappush(self.heap, entry)
            self.running = False
            self.reschedule()
