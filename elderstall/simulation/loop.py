"""Virtual time: a deterministic event loop that implements Twisted's IReactorTime.

The real ``Deadlines``, engine and decisions of many dispatchers run on it unchanged. Calls due at the same
time are made in the order in which they were scheduled. No real clock is read.
"""

from __future__ import annotations

import heapq
from collections.abc import Callable, Sequence
from typing import Any

from twisted.internet.error import AlreadyCalled, AlreadyCancelled
from twisted.internet.interfaces import IDelayedCall, IReactorTime
from zope.interface import implementer

MIN_HEAP_SIZE_TO_COMPACT = 4_096  # in entries; a heap of mostly cancelled calls is compacted above it


@implementer(IDelayedCall)
class Call:
    """One scheduled call; implements ``IDelayedCall``, with ms internally and seconds in that interface."""

    __slots__ = ("args", "called", "function", "keyword_args", "loop", "serial", "when")

    def __init__(
        self,
        loop: VirtualTime,
        when: float,
        function: Callable[..., object],
        args: tuple[Any, ...],
        keyword_args: dict[str, Any] | None,
    ) -> None:
        self.loop = loop
        self.when = when
        self.function: Callable[..., object] | None = function
        self.args = args
        self.keyword_args = keyword_args
        self.called = False
        self.serial = 0

    def cancel(self) -> None:
        """Cancel the call; raise AlreadyCalled or AlreadyCancelled as a reactor's call does."""
        if self.called:
            raise AlreadyCalled
        if self.function is None:
            raise AlreadyCancelled
        self.function = None
        self.args = ()
        self.keyword_args = None
        self.loop.active_count -= 1

    def stop(self) -> None:
        """Cancel the call if it is pending."""
        if self.function is not None and not self.called:
            self.cancel()

    def reset(self, seconds_from_now: float) -> None:
        """Reschedule the call to a number of seconds from now."""
        self._move(self.loop.now + seconds_from_now * 1000)

    def delay(self, seconds_later: float) -> None:
        """Delay the call by a number of seconds."""
        self._move(self.when + seconds_later * 1000)

    def _move(self, when: float) -> None:
        if self.called:
            raise AlreadyCalled
        if self.function is None:
            raise AlreadyCancelled
        self.when = when
        self.loop.push(self)

    def getTime(self) -> float:  # noqa: N802
        """Return when the call is due, seconds."""
        return self.when / 1000

    def active(self) -> bool:
        """Return whether the call is pending."""
        return self.function is not None and not self.called


@implementer(IReactorTime)
class VirtualTime:
    """The loop: ``now`` is milliseconds since its start."""

    def __init__(self) -> None:
        self.now = 0.0
        self.heap: list[tuple[float, int, Call]] = []
        self.last_serial = self.active_count = self.calls_made = 0

    # ---- IReactorTime ----

    def seconds(self) -> float:
        """Return the virtual time, seconds."""
        return self.now / 1000

    def callLater(  # noqa: N802
        self, delay: float, function: Callable[..., object], *args: Any, **kw: Any
    ) -> Call:
        """Schedule a call after a number of seconds; raise ValueError if it is negative."""
        if not delay >= 0:
            raise ValueError(f"{delay!r} seconds from now is in the past")
        return self._add(self.now + delay * 1000, function, args, kw or None)

    def getDelayedCalls(self) -> Sequence[Call]:  # noqa: N802
        """Return the pending calls, in no particular order."""
        return [call for _, serial, call in self.heap if call.serial == serial and call.function is not None]

    # ---- scheduling in milliseconds, for the simulation ----

    def after(self, delay: float, function: Callable[..., object], *args: Any) -> Call:
        """Schedule a call after a number of milliseconds; a negative number counts as 0."""
        return self._add(self.now + max(0.0, delay), function, args, None)

    def at(self, when: float, function: Callable[..., object], *args: Any) -> Call:
        """Schedule a call at a time on the clock ``now``; a time in the past counts as the present."""
        return self._add(max(self.now, when), function, args, None)

    def _add(
        self,
        when: float,
        function: Callable[..., object],
        args: tuple[Any, ...],
        keyword_args: dict[str, Any] | None,
    ) -> Call:
        call = Call(self, when, function, args, keyword_args)
        self.active_count += 1
        self.push(call)
        return call

    def push(self, call: Call) -> None:
        """Add a call to the heap under its present time; an earlier entry of it becomes void."""
        self.last_serial += 1
        call.serial = self.last_serial
        heapq.heappush(self.heap, (call.when, self.last_serial, call))
        if len(self.heap) > MIN_HEAP_SIZE_TO_COMPACT and len(self.heap) > 4 * self.active_count:
            # Less than a quarter of the entries are active. This bounds the memory, as deadlines are set and
            # cancelled with every job.
            self.heap = [
                entry for entry in self.heap if entry[2].function is not None and entry[2].serial == entry[1]
            ]
            heapq.heapify(self.heap)

    def run(self, until: float) -> None:
        """Make the calls that are due up to a time, and set the clock to it."""
        pop = heapq.heappop
        while self.heap and self.heap[0][0] <= until:
            when, serial, call = pop(self.heap)
            function = call.function
            if function is None or call.serial != serial:
                continue
            self.now = max(self.now, when)
            call.called = True
            self.active_count -= 1
            self.calls_made += 1
            if call.keyword_args is None:
                function(*call.args)
            else:
                function(*call.args, **call.keyword_args)
        self.now = max(self.now, until)
