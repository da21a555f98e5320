"""The program as a process of its own, started as the platform starts it and used over sockets.

The system chooses the ports and every wait is for an event, so that the result does not depend on speed.
"""

from __future__ import annotations

import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import tomllib
import unittest
from pathlib import Path
from typing import Any

from elderstall.net import http
from tests.scenario import CLASSES, entry, platform

ROOT = Path(__file__).parent.parent
TIMEOUT_S = 30.0  # reached only by a program that hangs


class MessageConnection:
    """A connection that reads complete messages."""

    def __init__(self, sock: socket.socket, responses: bool) -> None:
        self.sock = sock
        self.parser = http.Parser(responses=responses, max_body=0)
        sock.settimeout(TIMEOUT_S)

    def event(self) -> http.Event | None:
        while (event := self.parser.next()) is None:
            data = self.sock.recv(65536)
            if not data:
                return None
            self.parser.feed(data)
        return event

    def read(self) -> http.Message:
        message = http.Message((0, 0), http.Headers())
        body = b""
        while not isinstance(event := self.event(), http.End):
            if event is None:
                raise EOFError("the connection ended")
            if isinstance(event, http.Head):
                message = event.message
            else:
                body += event.data
        message.body = body
        return message


class PeerServer:
    """A listener on a port that the system chooses; a thread serves each connection."""

    def __init__(self, serve: Any) -> None:
        self.sock = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self.sock.getsockname()[1]}"
        self.serve = serve
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self) -> None:
        while True:
            try:
                sock, _ = self.sock.accept()
            except OSError:
                return
            threading.Thread(target=self.run, args=(sock,), daemon=True).start()

    def run(self, sock: socket.socket) -> None:
        try:
            self.serve(MessageConnection(sock, responses=False))
        except OSError:
            pass
        except EOFError:
            sock.close()

    def close(self) -> None:
        self.sock.close()


class Program(unittest.TestCase):
    """One dispatcher, one worker and discovery on loopback."""

    command = ("-m", "elderstall")

    def setUp(self) -> None:
        self.calls: list[str] = []
        self.streams = False
        self.seen = threading.Event()
        self.worker = PeerServer(self.work)
        self.discovery = PeerServer(self.watch)
        self.addCleanup(self.worker.close)
        self.addCleanup(self.discovery.close)

    def begin(self, *options: str) -> None:
        raw = platform()
        raw["known"]["endpoints"] = [entry("w1", address=self.worker.address)]
        raw.update(listen="127.0.0.1:0", discovery=self.discovery.address, console="127.0.0.1:0")
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.raw = raw
        self.file = Path(folder.name, "config.json")
        self.folder = folder.name
        self.program, self.address, self.console = self.launch(*options)

    def launch(self, *options: str) -> tuple[subprocess.Popen[str], tuple[str, int], tuple[str, int]]:
        """Start a process; return it and its addresses for clients and for operators."""
        self.file.write_text(json.dumps(self.raw))
        env = {**os.environ, "RELAY_CONFIG": str(self.file), "TMPDIR": self.folder}
        program = subprocess.Popen(
            [sys.executable, *self.command, *options], cwd=ROOT, env=env, stderr=subprocess.PIPE, text=True
        )
        self.addCleanup(self.end, program)
        assert program.stderr is not None
        addresses = {"console": ("", 0), "start": ("", 0)}
        while not addresses["start"][1]:
            line = program.stderr.readline()
            self.assertTrue(line, "the program ended")
            code = line.split()[1]
            if code in addresses:
                host, _, port = line.split()[-1].rpartition(":")
                addresses[code] = host, int(port)
        threading.Thread(target=self.drain_log, args=(program,), daemon=True).start()
        return program, addresses["start"], addresses["console"]

    def drain_log(self, program: subprocess.Popen[str]) -> None:
        assert program.stderr is not None
        for line in program.stderr:
            self.calls.append(line)

    def end(self, program: subprocess.Popen[str]) -> None:
        if program.poll() is None:
            program.kill()
        program.wait()
        assert program.stderr is not None
        program.stderr.close()

    def watch(self, connection: MessageConnection) -> None:
        connection.read()
        head = http.encode_head("HTTP/1.1 200 OK", [("Transfer-Encoding", "chunked")])
        body = json.dumps({"index": 42, "snapshot": False, "endpoints": []}).encode()
        connection.sock.sendall(head + http.chunk(body + b"\n"))
        connection.read()

    def work(self, connection: MessageConnection) -> None:
        while True:
            message = connection.read()
            request_id = message.headers.get("X-Call-Id") or message.target
            self.calls.append(f"{message.method} {request_id}")
            if self.streams:
                head = [("Content-Type", "text/event-stream"), ("Transfer-Encoding", "chunked")]
                connection.sock.sendall(http.encode_head("HTTP/1.1 200 OK", head))
                connection.sock.sendall(http.chunk(b'event: progress\ndata: {"share":0.5}\n\n'))
                if request_id == "drop":
                    raise EOFError
                if request_id == "stall":
                    connection.read()
                connection.sock.sendall(http.chunk(b"event: result\ndata: a deck\n\n") + http.chunk(b""))
                continue
            connection.sock.sendall(http.response(202))
            if request_id == "held":
                self.seen.set()
            if message.method == "POST" and request_id not in ("held", "never"):
                self.call_back(request_id)

    def call_back(self, request_id: str) -> None:
        call = {"id": request_id, "from": "w1", "state": "done", "result": f"deck {request_id}"}
        answer = self.ask(http.request("POST", "/callback", "x", (), json.dumps(call).encode()))
        assert answer.status == 204, answer.status

    def connect(self, address: tuple[str, int] | None = None) -> MessageConnection:
        return MessageConnection(socket.create_connection(address or self.address, TIMEOUT_S), responses=True)

    def ask(self, request: bytes, address: tuple[str, int] | None = None) -> http.Message:
        try:
            return self.ask_once(request, address)
        except EOFError:
            if not request.startswith(b"GET "):
                raise
            # The server may close an idle connection while a request is on its way; clients then retry once.
            return self.ask_once(request, address)

    def ask_once(self, request: bytes, address: tuple[str, int] | None) -> http.Message:
        connection = self.connect(address)
        with connection.sock:
            connection.sock.sendall(request)
            return connection.read()

    def job(
        self, request_id: str, job_class: str = "deck-fetch", budget: int = 20_000, *more: tuple[str, str]
    ) -> bytes:
        fields = [
            ("X-Call-Id", request_id),
            ("X-Call-Class", job_class),
            ("X-Caller", "norte"),
            ("X-Budget-Ms", str(budget)),
            *more,
        ]
        return http.request("POST", f"/{job_class}?obj=1", "x", fields, b"body")


class Running(Program):
    """The program from its start to its end."""

    def test_jobs_are_served_and_sigterm_shuts_down_gracefully(self) -> None:
        self.begin()
        self.assertEqual(200, self.ask(http.request("GET", "/up", "x")).status)
        connection = self.connect()
        for request_id in ("a1", "a2", "a3"):
            connection.sock.sendall(self.job(request_id))
            answer = connection.read()
            self.assertEqual((200, f"deck {request_id}".encode()), (answer.status, answer.body))
        connection.sock.sendall(self.job("held", "deck-build"))
        self.assertTrue(self.seen.wait(TIMEOUT_S))
        self.program.send_signal(signal.SIGTERM)
        while self.ask(http.request("GET", "/up", "x")).status != 503:
            pass
        while b"shutting down" not in self.ask(self.job("late", "deck-fetch", 1)).body:
            pass
        self.call_back("held")
        self.assertEqual(b"deck held", connection.read().body)
        connection.sock.close()
        self.assertEqual(0, self.program.wait(TIMEOUT_S))
        self.assertEqual(1, self.calls.count("POST held"))

    def test_sighup_moves_the_watch_and_the_program_keeps_serving(self) -> None:
        self.begin()
        moved = threading.Event()

        def watch(connection: MessageConnection) -> None:
            self.assertIn("from=0", connection.read().target)
            moved.set()
            connection.read()

        other = PeerServer(watch)
        self.addCleanup(other.close)
        connection = self.connect()
        connection.sock.sendall(self.job("held", "deck-build"))
        self.assertTrue(self.seen.wait(TIMEOUT_S))
        self.file.write_text("{")
        self.program.send_signal(signal.SIGHUP)
        while not any("nothing changed: RELAY_CONFIG" in line for line in self.calls):
            self.assertEqual(200, self.ask(http.request("GET", "/up", "x")).status)
        self.file.write_text(json.dumps({**self.raw, "discovery": other.address}))
        self.program.send_signal(signal.SIGHUP)
        self.assertTrue(moved.wait(TIMEOUT_S))
        self.call_back("held")
        self.assertEqual(b"deck held", connection.read().body)
        connection.sock.close()

    def test_a_time_out_is_answered_with_504(self) -> None:
        self.begin()
        answer = self.ask(self.job("never", "deck-build", 700))
        self.assertEqual(504, answer.status)
        self.assertEqual(200, self.ask(http.request("GET", "/up", "x")).status)

    def test_progress_is_forwarded_and_a_dropped_build_runs_once(self) -> None:
        self.streams = True
        self.begin("--front", "deploy/progress.toml")
        accept = ("Accept", "text/event-stream")
        answer = self.ask(self.job("deck", "deck-build", 20_000, accept))
        self.assertEqual(200, answer.status)
        self.assertIn(b'event: progress\ndata: {"share":0.5}\n\n', answer.body)
        self.assertTrue(answer.body.endswith(b"event: result\ndata: a deck\n\n"), answer.body)
        answer = self.ask(self.job("drop", "deck-build", 20_000, accept))
        self.assertTrue(answer.body.endswith(b'event: error\ndata: {"status": 502}\n\n'), answer.body)
        answer = self.ask(self.job("stall", "deck-build", 500, accept))
        self.assertTrue(answer.body.endswith(b'event: error\ndata: {"status": 504}\n\n'), answer.body)
        self.assertEqual(204, self.ask(self.job("drop", "deck-build", 20_000, accept)).status)
        self.assertEqual(1, self.calls.count("POST drop"))

    def test_sighup_during_the_first_reading_of_the_configuration_is_neither_fatal_nor_lost(self) -> None:
        """A named pipe as the configuration file blocks the program in its first and its second reading."""
        with tempfile.TemporaryDirectory() as folder:
            path = os.path.join(folder, "config.json")
            os.mkfifo(path)
            program = subprocess.Popen(
                [sys.executable, "-m", "elderstall", "--config", path],
                cwd=ROOT,
                env={**os.environ, "TMPDIR": folder},
                stderr=subprocess.PIPE,
                text=True,
            )
            self.addCleanup(self.end, program)
            assert program.stderr is not None
            for classes, last in ((CLASSES, " start "), ([{**CLASSES[0], "name": "scan"}], "classes are ")):
                raw = platform() | {"listen": "127.0.0.1:0", "discovery": self.discovery.address}
                raw["settings"]["classes"] = classes
                with open(path, "w") as pipe:  # opens once the program reads
                    if classes is CLASSES:
                        program.send_signal(signal.SIGHUP)
                    pipe.write(json.dumps(raw))
                line = ""
                while last not in line:
                    line = program.stderr.readline()
                    self.assertTrue(line, "the program ended")
            self.assertIn("classes are scan;", line)

    def test_the_deploy_file_starts_dispatchers_with_sighup_ignored(self) -> None:
        run = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        with tempfile.TemporaryDirectory() as folder:
            python = Path(folder, ".venv", "bin", "python")
            python.parent.mkdir(parents=True)
            python.write_text("#!/bin/sh\nexec grep SigIgn /proc/self/status\n")
            python.chmod(0o755)
            status = subprocess.run(["sh", "-c", run], cwd=folder, capture_output=True, text=True, check=True)
        self.assertTrue(int(status.stdout.split()[1], 16) & 1 << (signal.SIGHUP - 1))

    def test_an_invalid_configuration_ends_the_program_naming_the_key(self) -> None:
        cases = {
            "{}": "settings",
            '{"settings": {"classes": 3}}': "settings",
            "{": "RELAY_CONFIG",
            "[" * 20_000: "RELAY_CONFIG",
        }
        for text, key in cases.items():
            read, write = os.pipe()
            os.write(write, text.encode())
            os.close(write)
            run = subprocess.run(
                [sys.executable, "-m", "elderstall", "check", "--config", f"/dev/fd/{read}"],
                cwd=ROOT,
                pass_fds=[read],
                capture_output=True,
                text=True,
                check=False,
            )
            os.close(read)
            self.assertEqual(2, run.returncode)
            self.assertIn(f"elderstall: {key}", run.stderr)
