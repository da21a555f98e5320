"""A stand-in for the platform: starts the dispatcher as the deploy file says, and signals it."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import socket
import subprocess
import tomllib
from pathlib import Path
from typing import Any

from review.standins.record import Record
from review.standins.wire import encode, read_message

ROOT = Path(__file__).resolve().parents[2]
READY_TIMEOUT_S = 6.0
STARTED: list[subprocess.Popen[bytes]] = []  # all processes of the dispatcher, to be ended
CLASSES = (("deck-fetch", "safe", 5000.0, 2.0, 250.0), ("deck-purchase", "unsafe", 5000.0, 10.0, 150.0))


def free_port() -> int:
    """Return a port that is free now."""
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return int(sock.getsockname()[1])


def settings() -> dict[str, Any]:
    """Return settings like those of the first deployment."""
    classes = [
        {
            "name": name,
            "effect": effect,
            "deadline": deadline,
            "points": points,
            "aim": aim,
            "key_scope": "all",
            "late_share": 0.0,
            "memory_span": 5000.0,
            "streamed": False,
        }
        for name, effect, deadline, points, aim in CLASSES
    ]
    return {
        "azs": ["bog-1"],
        "balancers": 1,
        "classes": classes,
        "client_habits": {"marks_retry": True},
        "counted_by": "work",
        "discovery": "subscribe",
        "fees": {"handshake": 0.02, "late_fail": 0.038, "probe": 0.0015, "waste": 0.037},
        "kind_of_service": "jobs",
        "layers": ["tarjeta-workers"],
        "limits": {
            "cancel": True,
            "conn_idle": 10000.0,
            "connect_timeout": 250.0,
            "cpu_us_per_request": 10.0,
            "cpu_us_per_s": 8000,
            "max_attempts": 5,
            "max_open": 20000,
            "max_retry_after": 2000.0,
            "max_streams": 1,
            "peers": False,
            "probes": True,
            "retry_after": True,
            "second_copies": False,
        },
        "load_report": {"fields": ["served_ps", "cpu_share", "x0"], "source": "piggyback"},
        "locality": "bog-1",
        "over_share_worth": 0.05,
        "projects": [{"name": "red-valle", "portion": 1.0, "quota_per_s": 100.0}],
        "rank": 0,
        "rules": {
            "answer_slack": 8.0,
            "ask_within": 10000.0,
            "cold": 9000.0,
            "cold_share": 0.42,
            "fall_multiple": 4.0,
            "overload_for": 2000.0,
            "stop_sending_within": 2000.0,
        },
        "skus": ["fast-2c"],
        "specifics": {
            "class_kind": [-1] * len(classes),
            "class_priority": [0] * len(classes),
            "class_stretch": [2.0] * len(classes),
            "memory_unit": "a worker has one unit for each slot",
            "notes": "1 it has started, 2 share done",
            "progress": 2000.0,
            "queue_order": "fifo",
            "report_x0": "free slots",
            "report_x1": "free memory",
            "tells_start": False,
        },
        "tick": 2.0,
        "tier": 0,
        "weight_source": "nominal",
    }


class Platform:
    """The machine of one dispatcher: its addresses, its configuration and its temporary folder."""

    def __init__(
        self, record: Record, folder: Path, discovery: str, known: dict[str, Any], tmpdir: str = "tmp"
    ) -> None:
        self.record = record
        self.folder = folder
        self.tmpdir = folder / tmpdir
        self.tmpdir.mkdir(parents=True)
        self.listen = f"127.0.0.1:{free_port()}"
        self.discovery = discovery
        self.known = known
        self.limits: dict[str, float] = {"cores": 1.0, "memory_mb": 192, "sockets": 1024}
        self.settings = settings()
        with (ROOT / "deploy" / "balancer.toml").open("rb") as file:
            self.run = tomllib.load(file)["run"]
        self.processes: list[Process] = []

    def start(self) -> Process:
        """Start a process of the dispatcher, with a console address of its own."""
        number = len(self.processes) + 1
        console = f"127.0.0.1:{free_port()}"
        config = self.folder / f"config-{number}.json"
        value = {
            "name": "n1",
            "listen": self.listen,
            "discovery": self.discovery,
            "console": console,
            "seed": f"{number:016x}",
            "limits": self.limits,
            "known": self.known,
            "settings": self.settings,
        }
        config.write_text(json.dumps(value), encoding="utf-8")
        process = Process(self, number, config, console)
        self.processes.append(process)
        return process

    def end_all(self) -> None:
        """End all processes."""
        for process in self.processes:
            if process.popen.poll() is None:
                process.popen.kill()
            process.popen.wait()


class Process:
    """One process of the dispatcher."""

    def __init__(self, platform: Platform, number: int, config: Path, console: str) -> None:
        self.record = platform.record
        self.name = f"process-{number}"
        self.console = console
        environment = {
            "PATH": os.environ.get("PATH", "/usr/bin:/bin"),
            "RELAY_NAME": "n1",
            "RELAY_LISTEN": platform.listen,
            "RELAY_DISCOVERY": platform.discovery,
            "RELAY_CONFIG": str(config),
            "RELAY_CONSOLE": console,
            "TMPDIR": str(platform.tmpdir),
        }
        self.log_path = platform.folder / f"{self.name}.log"
        with self.log_path.open("wb") as log:
            self.popen = subprocess.Popen(
                ["/bin/sh", "-c", platform.run],
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        STARTED.append(self.popen)
        self.record.write(self.name, f"started, console {console}")

    async def ready(self) -> bool:
        """Wait until the process says at its console that it is ready; return whether it does in time."""
        loop = asyncio.get_running_loop()
        end = loop.time() + READY_TIMEOUT_S
        while loop.time() < end and self.popen.poll() is None:
            if await self.call("GET", "/api/ready") == "200":
                self.record.write(self.name, "ready")
                return True
            await asyncio.sleep(0.02)
        self.record.write(self.name, f"not ready; exit status {self.popen.poll()}")
        return False

    async def call(self, method: str, target: str) -> str:
        """Make a call at the console; return its status, or the name of an error."""
        host, _, port = self.console.rpartition(":")
        try:
            reader, writer = await asyncio.open_connection(host, int(port))
        except OSError as error:
            return type(error).__name__
        writer.write(encode(f"{method} {target} HTTP/1.1", {"Host": "console"}))
        message = await read_message(reader)
        writer.close()
        return "closed" if message is None else message.line[1]

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        if self.popen.poll() is None:
            self.record.write(self.name, f"gets {number.name}")
            self.popen.send_signal(number)

    async def ended(self, timeout_s: float) -> bool:
        """Wait for the end of the process; return whether it comes in time."""
        loop = asyncio.get_running_loop()
        end = loop.time() + timeout_s
        while self.popen.poll() is None and loop.time() < end:
            await asyncio.sleep(0.02)
        if self.popen.poll() is None:
            return False
        self.record.write(self.name, f"ended with status {self.popen.poll()}")
        return True
