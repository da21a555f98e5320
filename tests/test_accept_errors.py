"""All errors of accept that Linux documents, on real listeners in the test's own process.

A wrapper of the listening socket raises the given errors and otherwise passes calls on; a lack of descriptors
is also produced for real, by the process's limit. The test controls the reactor's iterations and the clock.
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
    MAX_CONSECUTIVE_ERRORS,
    MAX_PAUSE_MS,
    RESOURCE_ERRORS,
    Acceptor,
)
from tests.loopback import Loopback, PeerSocket, with_console

ACCEPT_ERRORS = sorted(
    (CONNECTION_ERRORS | RESOURCE_ERRORS | {errno.EAGAIN, errno.EINVAL, errno.EIO}) - {errno.ENOSPC}
)
ERROR_PERIOD_MS = 1_000.0
LOOP_TURNS = 200  # reactor iterations, in each of which a loop without a pause would fail


class FailingListener:
    """A listening socket whose accept raises the given errors."""

    def __init__(self, sock: socket.socket) -> None:
        self.sock = sock
        self.errors: list[int] = []
        self.lasting_error: int | None = None
        self.calls = 0
        self.changed: Callable[[socket.socket], socket.socket] = lambda sock: sock

    def accept(self) -> Any:
        self.calls += 1
        number = self.errors.pop(0) if self.errors else self.lasting_error
        if number is not None:
            raise OSError(number, os.strerror(number))
        sock, address = self.sock.accept()
        return self.changed(sock), address

    def __getattr__(self, name: str) -> Any:
        return getattr(self.sock, name)


class DisconnectedSocket(socket.socket):
    """A connection that is already closed, so that no option can be set."""

    def setsockopt(self, *args: Any) -> None:
        raise OSError(errno.EINVAL, os.strerror(errno.EINVAL))


@contextmanager
def no_free_descriptor() -> Iterator[None]:
    """Lower the process's limit so that no further descriptor can be opened."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    lowest_free = os.dup(0)
    os.close(lowest_free)
    resource.setrlimit(resource.RLIMIT_NOFILE, (lowest_free, hard))
    try:
        yield
    finally:
        resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))


class AcceptErrors(Loopback):
    """Clients connect while accept fails."""

    def setUp(self) -> None:
        with with_console():
            self.begin()
        acceptor = self.app.acceptor
        assert acceptor is not None
        self.acceptor: Acceptor = acceptor
        self.listening = self.wrap_listener(acceptor)

    def wrap_listener(self, acceptor: Acceptor) -> FailingListener:
        listener = FailingListener(acceptor.port.socket.sock)
        acceptor.port.socket.sock = listener
        return listener

    def assert_served(self, side: PeerSocket) -> None:
        """Check that a client is served."""
        side.send(http.request("GET", "/up", "x"))
        self.assertEqual(200, self.answer(side).status)

    def accepted_descriptors(self) -> int:
        """Return the number of the dispatcher's descriptors: the listener and accepted connections."""
        gc.collect()
        address, count = self.listening.sock.getsockname(), 0
        for name in os.listdir("/proc/self/fd"):
            try:
                copy = os.dup(int(name))
            except OSError:  # the descriptor of the directory listing itself
                continue
            try:
                with socket.socket(fileno=copy) as sock:
                    count += sock.getsockname() == address
            except OSError:  # not a socket
                os.close(copy)
        return count

    def accept_lines(self) -> list[str]:
        return [line for line in self.lines if line.startswith("accept ")]

    def test_a_single_error_of_any_kind_does_not_lose_a_client(self) -> None:
        for number in ACCEPT_ERRORS:
            with self.subTest(errno.errorcode[number]):
                self.listening.errors = [number]
                side = self.client()
                self.turn()
                self.wait(MAX_PAUSE_MS)
                self.assertEqual([], self.listening.errors)
                self.assert_served(side)
                self.assertEqual(0 if number == errno.EAGAIN else 1,
                                 self.acceptor.errors[errno.errorcode[number]])  # fmt: skip

    def test_an_error_of_one_connection_does_not_delay_the_next(self) -> None:
        for number in sorted(CONNECTION_ERRORS):
            with self.subTest(errno.errorcode[number]):
                self.listening.errors = [number] * (MAX_CONSECUTIVE_ERRORS - 1)
                self.assert_served(self.client())  # with no time passing in between

    def test_lasting_errors_neither_spin_nor_flood_the_log_and_clients_are_served_afterwards(self) -> None:
        for number in ACCEPT_ERRORS:
            if number == errno.EAGAIN:  # with a connection waiting it can't last
                continue
            with self.subTest(errno.errorcode[number]):
                before, lines = self.listening.calls, len(self.accept_lines())
                sides = [self.client() for _ in range(3)]
                descriptors = self.accepted_descriptors()
                self.listening.lasting_error = number
                self.turn(LOOP_TURNS)  # no time passes
                at_once = self.listening.calls - before
                self.assertLessEqual(at_once, MAX_CONSECUTIVE_ERRORS)
                self.wait(ERROR_PERIOD_MS)
                calls = self.listening.calls - before
                self.assertLessEqual(calls, MAX_CONSECUTIVE_ERRORS * (ERROR_PERIOD_MS / MAX_PAUSE_MS + 6))
                self.assertGreater(calls, 8)  # it keeps retrying
                self.assertLessEqual(len(self.accept_lines()) - lines, 2)  # one a second
                self.assertEqual(calls, self.acceptor.errors[errno.errorcode[number]])
                self.assertEqual(descriptors, self.accepted_descriptors())
                self.listening.lasting_error = None
                self.wait(MAX_PAUSE_MS)
                for side in sides:
                    self.assert_served(side)
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
                self.assertFalse(side.ended, "a waiting client was closed unread")
        self.wait(MAX_PAUSE_MS)
        for side in sides:
            self.assertEqual(200, self.answer(side).status)

    def test_the_end_of_a_pause_does_not_enable_accepting_over_the_limit(self) -> None:
        self.listening.errors = [errno.ENFILE]
        side = self.client()
        self.turn()
        self.assertEqual([], self.listening.errors)
        self.app.accept(False)  # as where connections are at their limit
        self.wait(2 * MAX_PAUSE_MS)
        self.assertEqual(1, self.listening.calls)
        self.app.accept(True)
        self.assert_served(side)

    def test_the_end_of_the_limit_does_not_end_a_pause(self) -> None:
        self.listening.errors = [errno.ENFILE]
        side = self.client()
        self.turn()
        self.app.accept(True)
        self.turn()
        self.assertEqual(1, self.listening.calls)
        self.wait(MAX_PAUSE_MS)
        self.assert_served(side)

    def test_a_port_closed_during_a_pause_stays_closed(self) -> None:
        self.listening.errors = [errno.ENFILE]
        self.client()
        self.turn()
        self.acceptor.close()
        self.turn()
        self.wait(2 * MAX_PAUSE_MS)
        self.assertEqual(1, self.listening.calls)
        self.assertFalse(self.acceptor.port.connected)
        self.assertFalse([line for line in self.lines if line.startswith("bug ")], self.lines)

    def test_the_console_serves_after_errors_too(self) -> None:
        acceptor = self.app.console_acceptor
        assert acceptor is not None
        listening = self.wrap_listener(acceptor)
        listening.lasting_error = errno.EPROTO
        side = PeerSocket(
            socket.create_connection(("127.0.0.1", acceptor.port.getHost().port)), responses=True
        )
        self.addCleanup(side.sock.close)
        side.send(http.request("GET", "/api/ready", "x"))
        self.turn(LOOP_TURNS)
        self.assertLessEqual(listening.calls, MAX_CONSECUTIVE_ERRORS)
        listening.lasting_error = None
        self.wait(MAX_PAUSE_MS)
        self.assertEqual(200, self.answer(side).status)

    def test_a_connection_that_cannot_be_registered_for_polling_is_closed_and_the_next_one_served(
        self,
    ) -> None:
        """epoll_ctl may fail for lack of memory or watches after the connection has been accepted."""
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
        self.wait(2 * MAX_PAUSE_MS)
        for side in sides:
            side.read()
            self.assertTrue(side.ended)
            side.sock.close()
        self.assertEqual(descriptors, self.accepted_descriptors())
        self.assert_served(self.client())

    def test_a_connection_closed_before_its_options_are_set_is_harmless(self) -> None:
        self.listening.changed = lambda sock: DisconnectedSocket(fileno=sock.detach())
        self.assert_served(self.client())
        gone = self.client()
        gone.sock.close()
        self.turn()
        self.assert_served(self.client())
