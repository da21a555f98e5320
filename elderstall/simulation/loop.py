"""Virtual time: one deterministic loop that offers Twisted's IReactorTime.

The real ``Deadlines``, and with them the real core and module, run on it unchanged, many at once. Calls of
one moment are made in the order they were asked for. Nothing here reads a clock.
"""

from __future__ import annotations

import heapq
from collections.abc import Callable, Sequence
from typing import Any

from twisted.internet.error import AlreadyCalled, AlreadyCancelled
from twisted.internet.interfaces import IDelayedCall, IReactorTime
from zope.interface import implementer

COMPACT_AT = 4_096  # entries from which a heap of mostly cancelled ones is cleared


@implementer(IDelayedCall)
class Call:
    """One call to come; see ``twisted.internet.interfaces.IDelayedCall``. Times are ms inside, s outside."""

    __slots__ = ("args", "called", "function", "kw", "loop", "serial", "when")

    def __init__(
        self,
        loop: VirtualTime,
        when: float,
        function: Callable[..., object],
        args: tuple[Any, ...],
        kw: dict[str, Any] | None,
    ) -> None:
        self.loop, self.when = loop, when
        self.function: Callable[..., object] | None = function
        self.args, self.kw, self.called, self.serial = args, kw, False, 0

    def cancel(self) -> None:
        """Forget the call. Raises what a reactor's would: AlreadyCalled or AlreadyCancelled."""
        if self.called:
            raise AlreadyCalled
        if self.function is None:
            raise AlreadyCancelled
        self.function, self.args, self.kw = None, (), None
        self.loop.live -= 1

    def stop(self) -> None:
        """Forget the call if it is still to come."""
        if self.function is not None and not self.called:
            self.cancel()

    def reset(self, seconds_from_now: float) -> None:
        """Put it off, or bring it forward, to so many seconds from now."""
        self._move(self.loop.now + seconds_from_now * 1000)

    def delay(self, seconds_later: float) -> None:
        """Put it off by so many seconds."""
        self._move(self.when + seconds_later * 1000)

    def _move(self, when: float) -> None:
        if self.called:
            raise AlreadyCalled
        if self.function is None:
            raise AlreadyCancelled
        self.when = when
        self.loop.push(self)

    def getTime(self) -> float:  # noqa: N802
        """Give when it is due, seconds."""
        return self.when / 1000

    def active(self) -> bool:
        """Say whether it is still to come."""
        return self.function is not None and not self.called


@implementer(IReactorTime)
class VirtualTime:
    """The loop: ``now`` is milliseconds since its start."""

    def __init__(self) -> None:
        self.now = 0.0
        self.heap: list[tuple[float, int, Call]] = []
        self.count = self.live = self.made = 0

    # ---- IReactorTime ----

    def seconds(self) -> float:
        """Read the virtual clock, seconds."""
        return self.now / 1000

    def callLater(  # noqa: N802
        self, delay: float, function: Callable[..., object], *args: Any, **kw: Any
    ) -> Call:
        """Call after so many seconds. Raises ValueError where they are below zero."""
        if not delay >= 0:
            raise ValueError(f"{delay!r} seconds from now is in the past")
        return self._add(self.now + delay * 1000, function, args, kw or None)

    def getDelayedCalls(self) -> Sequence[Call]:  # noqa: N802
        """Give the calls that are still to come, in no order."""
        return [call for _, serial, call in self.heap if call.serial == serial and call.function is not None]

    # ---- the world's own, in milliseconds ----

    def after(self, delay: float, function: Callable[..., object], *args: Any) -> Call:
        """Call after so many milliseconds; below zero counts as now."""
        return self._add(self.now + max(0.0, delay), function, args, None)

    def at(self, when: float, function: Callable[..., object], *args: Any) -> Call:
        """Call at a reading of ``now``; one that has passed counts as now."""
        return self._add(max(self.now, when), function, args, None)

    def _add(
        self, when: float, function: Callable[..., object], args: tuple[Any, ...], kw: dict[str, Any] | None
    ) -> Call:
        call = Call(self, when, function, args, kw)
        self.live += 1
        self.push(call)
        return call

    def push(self, call: Call) -> None:
        """File a call under the time it has now; an earlier entry of it is void."""
        self.count += 1
        call.serial = self.count
        heapq.heappush(self.heap, (call.when, self.count, call))
        if len(self.heap) > COMPACT_AT and len(self.heap) > 4 * self.live:
            # Guards memory: deadlines are set and cancelled with every job.
            self.heap = [e for e in self.heap if e[2].function is not None and e[2].serial == e[1]]
            heapq.heapify(self.heap)

    def run(self, until: float) -> None:
        """Make the calls that are due up to a reading of ``now``, and leave the clock there."""
        pop = heapq.heappop
        while self.heap and self.heap[0][0] <= until:
            when, serial, call = pop(self.heap)
            function = call.function
            if function is None or call.serial != serial:
                continue
            self.now = max(self.now, when)
            call.called = True
            self.live -= 1
            self.made += 1
            if call.kw is None:
                function(*call.args)
            else:
                function(*call.args, **call.kw)
        self.now = max(self.now, until)
