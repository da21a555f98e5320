"""A socket module for Twisted's TCP transports whose calls fail when a test says so.

The sockets are real ones on loopback. A fault names a call, and may be limited to the connections to one
port and to a number of calls.
"""

from __future__ import annotations

import os
import socket
import unittest
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field
from typing import Any, TypeVar
from unittest import mock

SHORT = -1  # in place of an error: the call takes or gives one byte only
NOTHING = 0  # in place of an error: the system takes no byte, without an error


@dataclass(slots=True)
class Fault:
    """How one call fails."""

    call: str  # socket, connect, send, recv, setsockopt or getsockopt
    error: int
    times: int | None = 1  # None: until the fault is taken out
    port: int | None = None  # of connections to this port only
    happened: int = 0

    def happens(self, call: str, port: int | None) -> bool:
        """Say whether a call fails, and count it."""
        if call != self.call or self.port not in (None, port) or self.happened == self.times:
            return False
        self.happened += 1
        return True


@dataclass(slots=True)
class FaultPlan:
    """The faults in force."""

    faults: list[Fault] = field(default_factory=list)

    def add(self, call: str, error: int, times: int | None = 1, port: int | None = None) -> Fault:
        fault = Fault(call, error, times, port)
        self.faults.append(fault)
        return fault

    def next(self, call: str, port: int | None = None) -> int | None:
        """Give the error of a call, or None where it works."""
        return next((fault.error for fault in self.faults if fault.happens(call, port)), None)

    def check(self, call: str, port: int | None = None) -> int | None:
        """Raise the error of a call; gives SHORT where it only does less than asked."""
        error = self.next(call, port)
        if error is None or error == SHORT:
            return error
        raise OSError(error, os.strerror(error))


class FaultySocket(socket.socket):
    """A socket whose calls fail by the plan."""

    plan: FaultPlan
    port: int | None = None

    def accept(self) -> tuple[socket.socket, Any]:
        """Accept a connection; its calls fail by the plan too, under the port that it came to."""
        fd, address = self._accept()  # type: ignore[attr-defined]
        made = FaultySocket(self.family, self.type, self.proto, fileno=fd)
        made.plan, made.port = self.plan, self.getsockname()[1]
        return made, address

    def connect_ex(self, address: Any) -> int:
        self.port = address[1]
        return self.plan.next("connect", self.port) or super().connect_ex(address)

    def send(self, data: Any, flags: int = 0) -> int:
        short = self.plan.check("send", self.port)
        return super().send(data[:1] if short else data, flags)

    def recv(self, size: int, flags: int = 0) -> bytes:
        short = self.plan.check("recv", self.port)
        return super().recv(1 if short else size, flags)

    def setsockopt(self, *args: Any) -> None:
        self.plan.check("setsockopt", self.port)
        super().setsockopt(*args)

    def getsockopt(self, *args: Any) -> Any:
        self.plan.check("getsockopt", self.port)
        return super().getsockopt(*args)


class FaultySocketModule:
    """The module ``socket`` but for the sockets that it makes."""

    def __init__(self, plan: FaultPlan) -> None:
        self.plan = plan

    def socket(self, *args: Any, **named: Any) -> FaultySocket:
        self.plan.check("socket")
        made = FaultySocket(*args, **named)
        made.plan = self.plan
        return made

    def __getattr__(self, name: str) -> Any:
        return getattr(socket, name)


Plan = TypeVar("Plan", bound=FaultPlan)


def hand_in(case: unittest.TestCase, plan: Plan) -> Plan:
    """Have Twisted make its sockets with the faults of a plan while a test runs."""
    for module in ("tcp", "base"):  # of clients, and of listeners
        patch = mock.patch(f"twisted.internet.{module}.socket", FaultySocketModule(plan))
        patch.start()
        case.addCleanup(patch.stop)
    return plan


def descriptors() -> int:
    """Count this process's open descriptors."""
    return len(os.listdir("/proc/self/fd"))


@contextmanager
def no_descriptor_leaked(case: unittest.TestCase) -> Iterator[None]:
    """See that as many descriptors are open afterwards as before."""
    before = descriptors()
    yield
    case.assertEqual(before, descriptors())
