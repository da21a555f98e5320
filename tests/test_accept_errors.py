"""Errors of accept, of all the kinds that Linux documents, on real listeners in the test's own process.

A stand-in for the listening socket raises what a test says and else passes calls on; a lack of descriptors is
also a real one, by the process's limit. The reactor turns and the clock moves only when the test says so.
"""

from __future__ import annotations

import errno
import gc
import os
import resource
import socket
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from typing import Any

from elderstall.net import http
from elderstall.net.accepting import (
    CONNECTION_ERRORS,
    ERRORS_AT_ONCE,
    PAUSE_MOST,
    RESOURCE_ERRORS,
    Acceptor,
)
from tests.loopback import Loopback, Side, with_console

ACCEPT_ERRORS = sorted(
    (CONNECTION_ERRORS | RESOURCE_ERRORS | {errno.EAGAIN, errno.EINVAL, errno.EIO}) - {errno.ENOSPC}
)
LASTING = 1_000.0  # ms for which errors last
LOOP_TURNS = 200  # turns in which a loop without a pause fails as often


class FailingListener:
    """A listening socket whose accept fails as often as it is told to."""

    def __init__(self, sock: socket.socket) -> None:
        self.sock = sock
        self.errors: list[int] = []
        self.always: int | None = None
        self.calls = 0
        self.changed: Callable[[socket.socket], socket.socket] = lambda sock: sock

    def accept(self) -> Any:
        self.calls += 1
        number = self.errors.pop(0) if self.errors else self.always
        if number is not None:
            raise OSError(number, os.strerror(number))
        sock, address = self.sock.accept()
        return self.changed(sock), address

    def __getattr__(self, name: str) -> Any:
        return getattr(self.sock, name)


class DeafSocket(socket.socket):
    """A connection that is gone already: no option can be set."""

    def setsockopt(self, *args: Any) -> None:
        raise OSError(errno.EINVAL, os.strerror(errno.EINVAL))


@contextmanager
def no_free_descriptor() -> Iterator[None]:
    """Set the process's limit so that the next descriptor is one too many."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    lowest_free = os.dup(0)
    os.close(lowest_free)
    resource.setrlimit(resource.RLIMIT_NOFILE, (lowest_free, hard))
    try:
        yield
    finally:
        resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))


class AcceptErrors(Loopback):
    """Clients come while accept fails."""

    def setUp(self) -> None:
        with with_console():
            self.begin()
        acceptor = self.app.acceptor
        assert acceptor is not None
        self.acceptor: Acceptor = acceptor
        self.listening = self.failing(acceptor)

    def failing(self, acceptor: Acceptor) -> FailingListener:
        listener = FailingListener(acceptor.port.socket.sock)
        acceptor.port.socket.sock = listener
        return listener

    def up(self, side: Side) -> None:
        """See that a client is served."""
        side.send(http.request("GET", "/up", "x"))
        self.assertEqual(200, self.answer(side).status)

    def accepted_descriptors(self) -> int:
        """Count the descriptors of the dispatcher's own ends: the listener and what was accepted there."""
        gc.collect()
        address, count = self.listening.sock.getsockname(), 0
        for name in os.listdir("/proc/self/fd"):
            try:
                copy = os.dup(int(name))
            except OSError:  # that of the listing itself
                continue
            try:
                with socket.socket(fileno=copy) as sock:
                    count += sock.getsockname() == address
            except OSError:  # no socket
                os.close(copy)
        return count

    def accept_lines(self) -> list[str]:
        return [line for line in self.lines if line.startswith("accept ")]

    def test_one_error_of_any_kind_keeps_no_client_out(self) -> None:
        for number in ACCEPT_ERRORS:
            with self.subTest(errno.errorcode[number]):
                self.listening.errors = [number]
                side = self.client()
                self.turn()
                self.wait(PAUSE_MOST)
                self.assertEqual([], self.listening.errors)
                self.up(side)
                self.assertEqual(0 if number == errno.EAGAIN else 1,
                                 self.acceptor.errors[errno.errorcode[number]])  # fmt: skip

    def test_an_error_of_one_connection_does_not_hold_up_the_next(self) -> None:
        for number in sorted(CONNECTION_ERRORS):
            with self.subTest(errno.errorcode[number]):
                self.listening.errors = [number] * (ERRORS_AT_ONCE - 1)
                self.up(self.client())  # with no time in between

    def test_errors_that_last_neither_spin_nor_flood_the_log_and_clients_are_served_afterwards(self) -> None:
        for number in ACCEPT_ERRORS:
            if number == errno.EAGAIN:  # with a connection waiting it can't last
                continue
            with self.subTest(errno.errorcode[number]):
                before, lines = self.listening.calls, len(self.accept_lines())
                sides = [self.client() for _ in range(3)]
                descriptors = self.accepted_descriptors()
                self.listening.always = number
                self.turn(LOOP_TURNS)  # no time passes
                at_once = self.listening.calls - before
                self.assertLessEqual(at_once, ERRORS_AT_ONCE)
                self.wait(LASTING)
                calls = self.listening.calls - before
                self.assertLessEqual(calls, ERRORS_AT_ONCE * (LASTING / PAUSE_MOST + 6))
                self.assertGreater(calls, 8)  # it does go on trying
                self.assertLessEqual(len(self.accept_lines()) - lines, 2)  # one a second
                self.assertEqual(calls, self.acceptor.errors[errno.errorcode[number]])
                self.assertEqual(descriptors, self.accepted_descriptors())
                self.listening.always = None
                self.wait(PAUSE_MOST)
                for side in sides:
                    self.up(side)
                    side.sock.close()
                self.until(lambda: not self.app.server.connections)

    def test_clients_that_wait_for_a_free_descriptor_are_served_once_there_is_one(self) -> None:
        sides = [self.client() for _ in range(3)]
        for side in sides:
            side.send(http.request("GET", "/up", "x"))
        with no_free_descriptor():
            self.turn(LOOP_TURNS)
            self.wait(1_000)
            self.assertLessEqual(self.listening.calls, 20)
            self.assertEqual(self.listening.calls, self.acceptor.errors["EMFILE"])
            for side in sides:
                side.read()
                self.assertFalse(side.ended, "a client that waited was closed unread")
        self.wait(PAUSE_MOST)
        for side in sides:
            self.assertEqual(200, self.answer(side).status)

    def test_a_pause_ends_no_other_reason_not_to_accept(self) -> None:
        self.listening.errors = [errno.ENFILE]
        side = self.client()
        self.turn()
        self.assertEqual([], self.listening.errors)
        self.app.accept(False)  # as where connections are at their limit
        self.wait(2 * PAUSE_MOST)
        self.assertEqual(1, self.listening.calls)
        self.app.accept(True)
        self.up(side)

    def test_the_end_of_the_limit_does_not_end_a_pause(self) -> None:
        self.listening.errors = [errno.ENFILE]
        side = self.client()
        self.turn()
        self.app.accept(True)
        self.turn()
        self.assertEqual(1, self.listening.calls)
        self.wait(PAUSE_MOST)
        self.up(side)

    def test_a_port_closed_in_a_pause_stays_closed(self) -> None:
        self.listening.errors = [errno.ENFILE]
        self.client()
        self.turn()
        self.acceptor.close()
        self.turn()
        self.wait(2 * PAUSE_MOST)
        self.assertEqual(1, self.listening.calls)
        self.assertFalse(self.acceptor.port.connected)
        self.assertFalse([line for line in self.lines if line.startswith("bug ")], self.lines)

    def test_operators_are_served_after_errors_too(self) -> None:
        acceptor = self.app.console_acceptor
        assert acceptor is not None
        listening = self.failing(acceptor)
        listening.always = errno.EPROTO
        side = Side(socket.create_connection(("127.0.0.1", acceptor.port.getHost().port)), responses=True)
        self.addCleanup(side.sock.close)
        side.send(http.request("GET", "/api/ready", "x"))
        self.turn(LOOP_TURNS)
        self.assertLessEqual(listening.calls, ERRORS_AT_ONCE)
        listening.always = None
        self.wait(PAUSE_MOST)
        self.assertEqual(200, self.answer(side).status)

    def test_a_connection_that_the_poll_cannot_take_on_is_closed_and_the_next_one_served(self) -> None:
        """As epoll_ctl may fail for lack of memory or of watches, once the connection has been accepted."""
        make, failing = self.acceptor.make_transport, [errno.ENOSPC, errno.ENOMEM]

        def transport(*args: Any) -> Any:
            if failing:
                number = failing.pop()
                raise OSError(number, os.strerror(number))
            return make(*args)

        self.acceptor.make_transport = transport
        descriptors = self.accepted_descriptors()
        sides = [self.client() for _ in range(2)]
        self.turn(LOOP_TURNS)
        self.assertEqual(1, len(failing))  # no time has passed
        self.wait(2 * PAUSE_MOST)
        for side in sides:
            side.read()
            self.assertTrue(side.ended)
            side.sock.close()
        self.assertEqual(descriptors, self.accepted_descriptors())
        self.up(self.client())

    def test_a_connection_that_is_gone_before_its_options_are_set_is_no_fault(self) -> None:
        self.listening.changed = lambda sock: DeafSocket(fileno=sock.detach())
        self.up(self.client())
        gone = self.client()
        gone.sock.close()
        self.turn()
        self.up(self.client())
