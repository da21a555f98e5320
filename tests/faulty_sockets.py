"""A socket module for Twisted's TCP transports whose calls fail as a test specifies.

The sockets are real sockets on loopback. A fault names a call, and may be limited to the connections to one
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

ONE_BYTE_ONLY = -1  # in place of an error number: the call sends or receives a single byte
ERROR_ZERO = 0  # raised as an OSError with number 0, except by connect_ex, which then connects


@dataclass(slots=True)
class Fault:
    """A system call that fails: with which error, how often and on which connections."""

    call: str  # socket, connect, send, recv, setsockopt or getsockopt
    error: int
    times: int | None = 1  # None: until the fault is removed
    port: int | None = None  # only connections to this port fail; None: all
    occurrences: int = 0

    def triggers(self, call: str, port: int | None) -> bool:
        """Return whether a call fails, and count the failure."""
        if call != self.call or self.port not in (None, port) or self.occurrences == self.times:
            return False
        self.occurrences += 1
        return True


@dataclass(slots=True)
class FaultPlan:
    """The faults that are active."""

    faults: list[Fault] = field(default_factory=list)

    def add(self, call: str, error: int, times: int | None = 1, port: int | None = None) -> Fault:
        fault = Fault(call, error, times, port)
        self.faults.append(fault)
        return fault

    def next_error(self, call: str, port: int | None = None) -> int | None:
        """Return the error number of a call, or None if the call works."""
        return next((fault.error for fault in self.faults if fault.triggers(call, port)), None)

    def check(self, call: str, port: int | None = None) -> int | None:
        """Raise the error of a call; return ONE_BYTE_ONLY if the call only transfers less than requested."""
        error = self.next_error(call, port)
        if error is None or error == ONE_BYTE_ONLY:
            return error
        raise OSError(error, os.strerror(error))


class FaultySocket(socket.socket):
    """A socket whose calls fail according to a plan."""

    plan: FaultPlan
    port: int | None = None

    def accept(self) -> tuple[socket.socket, Any]:
        """Accept a connection whose calls fail by the same plan, under the port that it was made to."""
        fd, address = self._accept()  # type: ignore[attr-defined]
        accepted = FaultySocket(self.family, self.type, self.proto, fileno=fd)
        accepted.plan = self.plan
        accepted.port = self.getsockname()[1]
        return accepted, address

    def connect_ex(self, address: Any) -> int:
        self.port = address[1]
        return self.plan.next_error("connect", self.port) or super().connect_ex(address)

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
    """The module ``socket``, except that its sockets are faulty."""

    def __init__(self, plan: FaultPlan) -> None:
        self.plan = plan

    def socket(self, *args: Any, **named: Any) -> FaultySocket:
        self.plan.check("socket")
        faulty_socket = FaultySocket(*args, **named)
        faulty_socket.plan = self.plan
        return faulty_socket

    def __getattr__(self, name: str) -> Any:
        return getattr(socket, name)


Plan = TypeVar("Plan", bound=FaultPlan)


def install_faults(case: unittest.TestCase, plan: Plan) -> Plan:
    """Make Twisted create its sockets with the faults of a plan for the duration of a test."""
    for module in ("tcp", "base"):  # the modules of clients and of listeners
        patch = mock.patch(f"twisted.internet.{module}.socket", FaultySocketModule(plan))
        patch.start()
        case.addCleanup(patch.stop)
    return plan


def open_descriptors() -> int:
    """Return the number of this process's open descriptors."""
    return len(os.listdir("/proc/self/fd"))


@contextmanager
def no_descriptor_leaked(case: unittest.TestCase) -> Iterator[None]:
    """Assert that as many descriptors are open afterwards as before."""
    before = open_descriptors()
    yield
    case.assertEqual(before, open_descriptors())
