"""System calls of the listener, an upgrade, the log and the configuration fail; see test_accept_errors.py.

In the test's own process, calls fail as a test specifies. The program as a process meets real errors: a limit
on its descriptors, a port in use, a standard error that nobody reads, a file that it cannot read.
"""

from __future__ import annotations

import contextlib
import copy
import errno
import gc
import json
import os
import resource
import signal
import socket
import subprocess
import sys
import tempfile
import time
import unittest
from collections.abc import Callable
from pathlib import Path
from typing import Any
from unittest import mock

from twisted.internet.error import CannotListenError

from elderstall.app import (
    LISTEN_RETRY_INTERVAL_MS,
    MAX_LISTEN_RETRIES,
    MAX_RELOAD_RETRIES,
    RELOAD_RETRY_INTERVAL_MS,
)
from elderstall.config import Config, ConfigError, UnreadableError, load, parse_config
from elderstall.log import MAX_LINE_BYTES, Log, StandardError
from elderstall.net import http, peer
from elderstall.net.accepting import RESOURCE_ERRORS
from elderstall.upgrade.adoption import MAX_ADOPT_RETRIES
from tests import loopback
from tests.loopback import Loop, Loopback, with_console
from tests.scenario import platform
from tests.test_program import ROOT, TIMEOUT_S, Program

RESOURCE_ERROR_NUMBERS = sorted(RESOURCE_ERRORS)


def system_error(number: int) -> OSError:
    return OSError(number, os.strerror(number))


def open_descriptors() -> int:
    gc.collect()
    return len(os.listdir("/proc/self/fd"))


def count_copies(sock: socket.socket) -> int:
    """Return the number of this process's descriptors of one socket."""
    gc.collect()
    links = []
    for name in os.listdir("/proc/self/fd"):
        with contextlib.suppress(OSError):  # the descriptor of the listing itself is closed by now
            links.append(os.readlink(f"/proc/self/fd/{name}"))
    return links.count(os.readlink(f"/proc/self/fd/{sock.fileno()}"))


def failing(call: Callable[..., Any], *errors: BaseException) -> Callable[..., Any]:
    """Return a wrapper of a call that raises each of the errors once and then works."""
    remaining = list(errors)

    def call_or_fail(*args: Any, **named: Any) -> Any:
        if remaining:
            raise remaining.pop(0)
        return call(*args, **named)

    return call_or_fail


class ListenErrors(Loopback):
    """The listeners cannot be opened, temporarily or at all."""

    def begin_with(self, *errors: BaseException, console: bool = False) -> None:
        def failing_loop() -> Loop:
            loop = Loop()
            loop.listenTCP = failing(loop.listenTCP, *errors)
            return loop

        with mock.patch.object(loopback, "Loop", failing_loop), with_console(console):
            self.begin()

    def asked_lists(self) -> list[str]:
        return super().asked_lists() if self.app.port is not None or not self.app.failed else ["none"]

    def check_serving(self) -> None:
        side = self.client()
        side.send(http.request("GET", "/up", "x"))
        self.assertEqual(200, self.answer(side).status)

    def test_a_temporary_resource_error_is_retried(self) -> None:
        for number in RESOURCE_ERROR_NUMBERS:
            with self.subTest(errno.errorcode[number]):
                error = system_error(number)
                self.begin_with(CannotListenError("127.0.0.1", 0, error), error, error)  # type: ignore[no-untyped-call]
                self.wait(4 * LISTEN_RETRY_INTERVAL_MS)
                self.check_serving()
                self.assertEqual(1, len([line for line in self.lines if line.startswith("listen ")]))

    def test_the_console_listener_is_retried_too(self) -> None:
        self.begin_with(system_error(errno.ENFILE), console=True)
        self.wait(2 * LISTEN_RETRY_INTERVAL_MS)
        self.check_serving()
        self.assertIsNotNone(self.app.console_acceptor)

    def test_an_address_in_use_ends_the_program_at_once_and_is_logged(self) -> None:
        error = CannotListenError("127.0.0.1", 7, system_error(errno.EADDRINUSE))  # type: ignore[no-untyped-call]
        for console in (False, True):
            with self.subTest(console=console):
                self.begin_with(error, console=console)
                self.wait(10)
                self.assertTrue(self.app.failed and self.loop.stopped)
                messages = [line for line in self.lines if line.startswith("exit cannot begin: ")]
                self.assertEqual(1, len(messages), self.lines)
                self.assertIn("127.0.0.1:7", messages[0])

    def test_a_lasting_resource_error_ends_the_program(self) -> None:
        self.begin_with(*[system_error(errno.ENFILE)] * (MAX_LISTEN_RETRIES + 1))
        self.wait((MAX_LISTEN_RETRIES - 1) * LISTEN_RETRY_INTERVAL_MS)
        self.assertFalse(self.app.failed)
        self.wait(10 * LISTEN_RETRY_INTERVAL_MS)
        self.assertTrue(self.app.failed and self.loop.stopped)
        self.assertLessEqual(len([line for line in self.lines if line.startswith("listen ")]), 7)

    def test_sigterm_between_retries_ends_the_program(self) -> None:
        self.begin_with(system_error(errno.ENOMEM))
        self.app.sigterm()
        self.wait(2 * LISTEN_RETRY_INTERVAL_MS)
        self.assertIsNone(self.app.port)
        self.assertTrue(self.loop.stopped)


class AdoptionErrors(Loopback):
    """A successor cannot adopt the listener or connections handed to it, temporarily or at all."""

    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.predecessor = socket.socket(socket.AF_UNIX)
        self.addCleanup(self.predecessor.close)
        self.predecessor.bind(f"{folder.name}/elderstall-127.0.0.1-0.sock")
        self.predecessor.listen()
        self.begin(folder=folder.name)
        self.link, _ = self.predecessor.accept()
        self.link.setblocking(False)
        self.addCleanup(self.link.close)
        self.assertIn(b'"hello"', self.link.recv(1_000))

    def asked_lists(self) -> list[str]:
        return super().asked_lists() if self.app.port is not None else ["none yet"]

    def hand_over(self) -> None:
        self.listening = self.listener()
        state = {"m": "state", "fd": 1, "known": self.raw["known"], "discovery": self.raw["discovery"],
                 "banned": {}, "back": {}, "ids": [], "begun": [], "learned": None, "held": 0}  # fmt: skip
        socket.send_fds(self.link, [json.dumps(state).encode() + b"\n"], [self.listening.fileno()])
        self.turn()

    def adopt_port_fails(self, *errors: BaseException) -> None:
        self.loop.adoptStreamPort = failing(self.loop.adoptStreamPort, *errors)

    def adopt_connection_fails(self, *errors: BaseException) -> None:
        adopt = failing(self.loop.adoptStreamConnection, *errors)
        self.loop.adoptStreamConnection = adopt

    def connection(self) -> tuple[socket.socket, socket.socket]:
        """Return a client's end of a connection and the end of the predecessor."""
        server = socket.create_server(("127.0.0.1", 0))
        client = socket.create_connection(server.getsockname())
        accepted, _ = server.accept()
        server.close()
        self.addCleanup(client.close)
        self.addCleanup(accepted.close)
        return client, accepted

    def send_connection(self, accepted: socket.socket, **fields: Any) -> None:
        message = {"m": "connection", "fd": 1, "client": True, "worker": False, "asked": 1, "age": 1.0}
        socket.send_fds(self.link, [json.dumps(message | fields).encode() + b"\n"], [accepted.fileno()])
        accepted.close()
        self.turn()

    def job_fields(self, request_id: str) -> dict[str, Any]:
        now = self.app.deadlines.now()
        state: dict[str, Any] = {
            "cid": request_id,
            "cls": {"name": "album", "worth": 4.0, "aim": 4000.0, "deadline": 9000.0, "effect": "safe",
                    "scope": "all"},
            "tenant": "norte", "key": None, "hint": None, "slots": 1, "arrived": now - 10,
            "deadline": now + 8_000, "sent": 0, "ran": False, "unsure": [], "attempt": None,
        }  # fmt: skip
        original = http.Message((1, 1), http.Headers(), b"body", "POST", "/album").to_fields()
        return {"job": state, "parcel": original, "last": False}

    def test_adopting_a_listener_is_retried(self) -> None:
        self.adopt_port_fails(system_error(errno.EMFILE), system_error(errno.ENOMEM))
        self.hand_over()
        self.assertIsNone(self.app.port)
        self.wait(3 * LISTEN_RETRY_INTERVAL_MS)
        self.assertIsNotNone(self.app.port)
        self.assertIn(b'"serving"', self.link.recv(1_000))
        self.assertIsNone(self.app.inherited)

    def test_a_listener_that_cannot_be_adopted_stays_with_the_predecessor(self) -> None:
        self.adopt_port_fails(system_error(errno.EINVAL))
        self.hand_over()
        self.wait(10)
        self.assertTrue(self.app.failed and self.loop.stopped)
        self.assertNotIn(b'"serving"', self.link.recv(1_000))
        self.assertEqual(1, count_copies(self.listening))  # the descriptor that the test itself holds

    def test_adopting_a_connection_is_retried(self) -> None:
        self.hand_over()
        for number in RESOURCE_ERROR_NUMBERS:
            with self.subTest(errno.errorcode[number]):
                descriptors = open_descriptors()
                client, accepted = self.connection()
                self.adopt_connection_fails(*[system_error(number)] * 3)
                self.send_connection(accepted)
                self.assertEqual(1, self.app.upgrade.adoption.waiting)
                self.wait(100)
                self.assertEqual(0, self.app.upgrade.adoption.waiting)
                client.sendall(http.request("GET", "/up", "x"))
                self.turn()
                self.assertIn(b" 200 ", client.recv(1_000))
                client.close()
                self.turn()
                self.assertEqual(descriptors, open_descriptors())

    def test_a_call_back_before_adoption_is_rejected_and_its_job_continues(self) -> None:
        self.hand_over()
        _, accepted = self.connection()
        self.adopt_connection_fails(system_error(errno.EMFILE))
        self.send_connection(accepted, **self.job_fields("a1"))
        self.link.recv(10_000)
        side = self.client()
        call = {"id": "a1", "from": "w1", "state": "done", "result": "x"}
        side.send(http.request("POST", "/callback", "n1", (), json.dumps(call).encode()))
        self.turn()
        query = json.loads(self.link.recv(10_000).splitlines()[-1])
        self.assertEqual("callback", query["m"])
        self.link.sendall(json.dumps({"m": "word", "n": query["n"], "good": True}).encode() + b"\n")
        self.assertEqual(503, self.answer(side).status)
        self.wait(100)
        self.take("POST /album")
        self.assertEqual(set(), self.app.server.ids_in_transfer)

    def test_a_connection_that_cannot_be_adopted_is_closed_after_the_last_retry(self) -> None:
        self.hand_over()
        client, accepted = self.connection()
        self.adopt_connection_fails(*[system_error(errno.ENFILE)] * (MAX_ADOPT_RETRIES + 1))
        self.send_connection(accepted, **self.job_fields("a1"))
        self.wait(3_000)
        self.assertEqual(0, self.app.upgrade.adoption.waiting)
        self.assertLessEqual(len([line for line in self.lines if line.startswith("adopt ")]), 4)
        self.assertEqual(b"", client.recv(1_000))  # so no copy of the other end is open

    def test_a_connection_whose_client_disconnected_is_closed_at_once(self) -> None:
        self.hand_over()
        for number in (errno.ENOTCONN, errno.EINVAL, errno.ECONNRESET):
            with self.subTest(errno.errorcode[number]):
                descriptors = open_descriptors()
                client, accepted = self.connection()
                self.adopt_connection_fails(system_error(number))
                self.send_connection(accepted)
                self.assertEqual(0, self.app.upgrade.adoption.waiting)
                client.close()
                self.assertEqual(descriptors, open_descriptors())

    def test_a_failed_close_ends_neither_the_link_nor_the_connection(self) -> None:
        self.hand_over()
        client, accepted = self.connection()
        close = os.close

        def close_and_fail(fd: int) -> None:
            close(fd)
            raise system_error(errno.EIO)

        with mock.patch("elderstall.upgrade.adoption.os.close", close_and_fail):
            self.send_connection(accepted)
        assert self.app.upgrade.handover is not None
        self.assertEqual([self.app.upgrade.handover.predecessor], self.app.upgrade.handover.links)
        client.sendall(http.request("GET", "/up", "x"))
        self.turn()
        self.assertIn(b" 200 ", client.recv(1_000))


class HandOverErrors(Loopback):
    """The predecessor has no descriptor left for the copies that it hands over."""

    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.begin(folder=folder.name)
        assert self.app.upgrade.handover is not None
        self.path = self.app.upgrade.handover.path

    def new_process(self) -> socket.socket:
        link = socket.socket(socket.AF_UNIX)
        self.addCleanup(link.close)
        link.connect(self.path)
        link.sendall(b'{"m": "hello", "version": 1}\n')
        return link

    def test_a_listener_that_cannot_be_copied_is_sent_on_the_next_request(self) -> None:
        for number in (errno.EMFILE, errno.ENFILE, errno.ENOMEM, errno.EBADF):
            with self.subTest(errno.errorcode[number]):
                descriptors = open_descriptors()
                with mock.patch("elderstall.upgrade.upgrade.os.dup", failing(os.dup, system_error(number))):
                    link = self.new_process()
                    self.turn()
                    link.setblocking(False)
                    self.assertEqual(b"", link.recv(1_000))
                    link.close()
                self.turn()
                self.assertEqual(descriptors, open_descriptors())
                assert self.app.upgrade.handover is not None
                self.assertEqual([], self.app.upgrade.handover.links)
        link = self.new_process()
        self.turn()
        data, descriptors_sent, _, _ = socket.recv_fds(link, 100_000, 1)
        self.assertIn(b'"state"', data + link.recv(100_000))
        os.close(descriptors_sent[0])

    def test_a_connection_that_cannot_be_copied_stays_with_this_process(self) -> None:
        side = self.client()
        side.send(http.request("GET", "/up", "x"))
        self.assertEqual(200, self.answer(side).status)
        with mock.patch(
            "elderstall.net.server.handing_over.os.dup", mock.Mock(side_effect=system_error(errno.EMFILE))
        ):
            link = self.new_process()
            link.sendall(b'{"m": "got"}\n{"m": "serving"}\n')
            self.wait(200)
            side.send(http.request("GET", "/up", "x"))
            self.assertEqual(200, self.answer(side).status)


class PollErrors(Loopback):
    """The system call that checks for unread bytes of a peer fails."""

    def test_a_failed_poll_loses_no_request(self) -> None:
        self.begin()
        side = self.client()
        side.send(self.job("a1"))
        at_worker = self.take("POST a1")
        for number in (errno.ENOMEM, errno.EINTR, errno.EINVAL):
            poll = mock.Mock()
            poll.return_value.poll.side_effect = system_error(number)
            with self.subTest(errno.errorcode[number]), mock.patch("elderstall.net.peer.select.poll", poll):
                connection = next(iter(self.app.server.connections))
                self.assertFalse(peer.has_peer_closed(connection.transport))
                self.assertTrue(peer.has_unread_data(connection.transport))
        at_worker.send(http.response(202))
        self.call_back("a1")
        self.assertEqual(200, self.answer(side).status)


class Pipe:
    """A pipe in place of standard error."""

    def __init__(self) -> None:
        self.read_end, self.write_end = os.pipe()

    def fileno(self) -> int:
        return self.write_end

    def lines(self) -> list[str]:
        os.set_blocking(self.read_end, False)
        return os.read(self.read_end, 1 << 20).decode().splitlines()

    def close(self) -> None:
        os.close(self.read_end)
        os.close(self.write_end)


class LogWriteErrors(unittest.TestCase):
    """Writes of log lines fail."""

    def setUp(self) -> None:
        self.pipe = Pipe()
        self.addCleanup(self.pipe.close)
        patch = mock.patch.object(sys, "stderr", self.pipe)
        patch.start()
        self.addCleanup(patch.stop)
        self.clock = [0.0]
        self.log = Log(lambda: self.clock[0], burst=1e9)

    def texts(self) -> list[str]:
        return [line.split(" ", 1)[1] for line in self.pipe.lines()]

    def test_lines_that_fail_are_counted_and_never_written_later(self) -> None:
        for number in (errno.EAGAIN, errno.ENOSPC, errno.EIO, errno.EPIPE, errno.EINTR, errno.EBADF):
            with self.subTest(errno.errorcode[number]):
                self.log.write("a", "before")
                with mock.patch("elderstall.log.os.write", mock.Mock(side_effect=system_error(number))):
                    for _ in range(3):
                        self.log.write("b", "fails")
                self.log.write("a", "after")
                # Each write is preceded by a line on suppressed lines, which fails and is counted as well.
                texts = self.texts()
                self.assertEqual(["a before", "a after"], [texts[0], texts[-1]])
                self.assertTrue(texts[1].startswith("suppressed "), texts)
                self.assertNotIn("b fails", texts)

    def test_a_line_cut_by_a_short_write_is_ended_before_the_next(self) -> None:
        write = os.write
        with mock.patch("elderstall.log.os.write", lambda fd, data: write(fd, data[:9])):
            self.log.write("a", "cut")
        self.log.write("b", "next")
        lines = self.pipe.lines()
        self.assertEqual("0.000 a c", lines[0])
        self.assertEqual(["0.000 suppressed a=1", "0.000 b next"], lines[1:])

    def test_a_line_is_bounded_in_bytes(self) -> None:
        self.log.write("a", "\u00e9\U0001f4e6" * MAX_LINE_BYTES)
        self.log.write("a", "\ud800" * MAX_LINE_BYTES)
        for line in os.read(self.pipe.read_end, 1 << 20).splitlines():
            self.assertLessEqual(len(line), MAX_LINE_BYTES + 20)

    def test_without_a_standard_error_lines_are_counted(self) -> None:
        with mock.patch.object(sys, "stderr", None):
            self.log.write("a", "nowhere")
            self.assertEqual(1, self.log.suppressed["a"])
            self.assertRaises(OSError, StandardError().fileno)

    def test_system_errors_are_logged_once_per_second_and_counted(self) -> None:
        for n in range(100):
            self.clock[0] = n * 30.0
            self.log.failure("twisted", system_error(errno.EINVAL))
        system_lines = [text for text in self.texts() if text.startswith("system ")]
        self.assertEqual(3, len(system_lines))
        self.log.failure("request", ValueError("x"))
        self.assertTrue(any(text.startswith("bug request: ValueError") for text in self.texts()))


class ReloadErrors(Loopback):
    """The configuration cannot be read at SIGHUP."""

    def setUp(self) -> None:
        self.begin()
        self.reads = 0

    def read_fails(self, *errors: Exception) -> None:
        read = failing(lambda: parse_config(self.raw, {}), *errors)

        def counted() -> Config:
            self.reads += 1
            result: Config = read()
            return result

        self.app.read = counted

    def test_a_temporary_read_error_is_retried(self) -> None:
        self.read_fails(*[UnreadableError("RELAY_CONFIG: /x: EIO")] * 3)
        old_config = self.app.config
        self.app.sighup()
        self.assertIs(old_config, self.app.config)
        self.assertEqual(
            (1, 0), (self.app.engine.counters.settings_load_errors, self.app.engine.counters.settings_loads)
        )
        self.wait(4 * RELOAD_RETRY_INTERVAL_MS)
        self.assertEqual(
            (1, 1), (self.app.engine.counters.settings_load_errors, self.app.engine.counters.settings_loads)
        )
        self.assertEqual(4, self.reads)
        self.assertEqual(1, len([line for line in self.lines if "nothing changed" in line]))

    def test_an_unreadable_file_is_read_again_only_on_the_next_signal(self) -> None:
        self.read_fails(*[UnreadableError("RELAY_CONFIG: /x: EIO")] * (MAX_RELOAD_RETRIES + 1))
        self.app.sighup()
        self.wait(RELOAD_RETRY_INTERVAL_MS * (MAX_RELOAD_RETRIES + 5))
        self.assertEqual(MAX_RELOAD_RETRIES + 1, self.reads)
        self.assertEqual(
            (1, 0), (self.app.engine.counters.settings_load_errors, self.app.engine.counters.settings_loads)
        )
        self.app.sighup()
        self.assertEqual(
            (1, 1), (self.app.engine.counters.settings_load_errors, self.app.engine.counters.settings_loads)
        )

    def test_repeated_signals_share_one_series_of_retries(self) -> None:
        self.read_fails(*[UnreadableError("RELAY_CONFIG: /x: EMFILE")] * 5)
        for _ in range(5):
            self.app.sighup()
        self.assertEqual(5, self.reads)
        self.wait(4 * RELOAD_RETRY_INTERVAL_MS)
        self.assertEqual((6, 1), (self.reads, self.app.engine.counters.settings_loads))


class ConfigurationFiles(unittest.TestCase):
    """Configuration files that cannot be read, are truncated, or hold invalid values."""

    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.file = Path(folder.name, "config.json")
        self.file.write_text(json.dumps(platform()))

    def test_each_read_error_names_the_key_and_the_path(self) -> None:
        for number in (errno.EIO, errno.EMFILE, errno.ENFILE, errno.ENOENT, errno.EACCES, errno.ENOMEM,
                       errno.EISDIR, errno.ESTALE, errno.ELOOP):  # fmt: skip
            with (
                self.subTest(errno.errorcode[number]),
                mock.patch.object(Path, "read_text", mock.Mock(side_effect=system_error(number))),
                self.assertRaises(UnreadableError) as raised,
            ):
                load(str(self.file), {})
            self.assertTrue(str(raised.exception).startswith(f"RELAY_CONFIG: {self.file}: "))
            with (
                mock.patch.object(Path, "read_text", failing(self.file.read_text, system_error(number))),
                self.assertRaises(UnreadableError) as raised,
            ):
                load(None, {"RELAY_CONFIG": "/x", "ELDERSTALL_FRONT": "/y"})

    def test_a_truncated_file_is_rejected(self) -> None:
        text = self.file.read_text()
        for size in range(0, len(text) - 1, 7):
            self.file.write_text(text[:size])
            with self.assertRaises(ConfigError):
                load(str(self.file), {})

    def test_any_wrong_value_raises_only_configuration_errors(self) -> None:
        wrong_values: tuple[Any, ...] = (
            None, True, -1, 1e308, float("inf"), 10**400, "", "\u00b2", "a:\u00b2", "a:" + "9" * 5_000,
            [], [[]], {}, {"": None}, [None])  # fmt: skip
        for path in value_paths(platform()):
            for value in wrong_values:
                raw: Any = copy.deepcopy(platform())  # some of its objects are shared with other tests
                container = raw
                for key in path[:-1]:
                    container = container[key]
                container[path[-1]] = copy.deepcopy(value)
                with self.subTest(f"{path} = {str(value)[:20]!r}"):
                    try:
                        parse_config(raw, {})
                    except ConfigError as error:
                        self.assertRegex(str(error), r"^[a-z_.]+: ")


def value_paths(node: Any, path: tuple[Any, ...] = ()) -> list[tuple[Any, ...]]:
    """Return the path to each value of a JSON object."""
    items = node.items() if isinstance(node, dict) else enumerate(node) if isinstance(node, list) else ()
    return [found for name, value in items for found in ((*path, name), *value_paths(value, (*path, name)))]


class ProgramProcess(Program):
    """The program, as a process, meets real errors."""

    def start_with(self, raw: dict[str, Any]) -> subprocess.CompletedProcess[str]:
        self.file.write_text(json.dumps(raw))
        return subprocess.run(
            [sys.executable, "-m", "elderstall", "--config", str(self.file)], cwd=ROOT, timeout=TIMEOUT_S,
            env={**os.environ, "TMPDIR": ""}, capture_output=True, text=True, check=False)  # fmt: skip

    def test_addresses_in_use_end_the_program_with_a_message_and_a_status(self) -> None:
        self.begin()
        for key, address in (("listen", self.address), ("console", self.console)):
            with self.subTest(key):
                text = f"{address[0]}:{address[1]}"
                done = self.start_with({**self.raw, key: text})
                self.assertEqual(1, done.returncode)
                self.assertIn("exit cannot begin: ", done.stderr)
                self.assertIn(text, done.stderr)
                self.assertNotIn("Traceback", done.stderr)

    def test_clients_that_connect_without_a_free_descriptor_are_served_later(self) -> None:
        self.begin()
        pid = self.program.pid
        limits = resource.prlimit(pid, resource.RLIMIT_NOFILE)
        resource.prlimit(pid, resource.RLIMIT_NOFILE, (3, limits[1]))
        connections = [self.connect() for _ in range(5)]
        for connection in connections:
            connection.sock.sendall(http.request("GET", "/up", "x"))
        time_limit = time.monotonic() + TIMEOUT_S
        while not any(" accept failed with EMFILE" in call for call in self.calls):
            self.assertIsNone(self.program.poll())
            self.assertLess(time.monotonic(), time_limit, "no error of accept was logged")
        resource.prlimit(pid, resource.RLIMIT_NOFILE, limits)
        for connection in connections:
            self.assertEqual(200, connection.read().status)
            connection.sock.close()
        self.assertEqual(200, self.ask(self.job("a1")).status)
        self.assertFalse([call for call in self.calls if " bug " in call])

    def test_a_closed_standard_error_does_not_change_the_exit_status(self) -> None:
        raw = {**platform(), "listen": "127.0.0.1:0", "discovery": self.discovery.address}
        with tempfile.TemporaryDirectory() as folder:
            Path(folder, "config.json").write_text(json.dumps(raw))
            program = subprocess.Popen(
                [sys.executable, "-m", "elderstall", "--config", f"{folder}/config.json"], cwd=ROOT,
                env={**os.environ, "TMPDIR": folder}, stderr=subprocess.PIPE, text=True)  # fmt: skip
            self.addCleanup(self.end, program)
            assert program.stderr is not None
            line = ""
            while " start " not in line:
                line = program.stderr.readline()
                self.assertTrue(line, "the program ended")
            self.address = ("127.0.0.1", int(line.split(":")[-1]))
            program.stderr.close()
            program.send_signal(signal.SIGHUP)
            self.assertEqual(200, self.ask(http.request("GET", "/up", "x")).status)
            program.send_signal(signal.SIGTERM)
            self.assertEqual(0, program.wait(TIMEOUT_S))

    def test_an_unreadable_configuration_at_start_ends_the_program_naming_the_path(self) -> None:
        for path in ("/proc/self/mem", tempfile.gettempdir(), "/nowhere/config.json"):
            with self.subTest(path):
                done = subprocess.run([sys.executable, "-m", "elderstall", "--config", path], cwd=ROOT,
                                      capture_output=True, text=True, check=False)  # fmt: skip
                self.assertEqual(2, done.returncode)
                self.assertTrue(done.stderr.startswith(f"elderstall: RELAY_CONFIG: {path}: "), done.stderr)
                self.assertEqual(1, done.stderr.count("\n"))

    def test_an_error_message_that_cannot_be_written_does_not_change_the_exit_status(self) -> None:
        with open("/dev/full", "w") as full:
            done = subprocess.run([sys.executable, "-m", "elderstall", "--config", "/nowhere"], cwd=ROOT,
                                  stderr=full, check=False)  # fmt: skip
        self.assertEqual(2, done.returncode)
