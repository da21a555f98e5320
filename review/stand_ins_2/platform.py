"""The platform: the configuration of a dispatcher, and its process, started as the deploy file says."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import socket
import subprocess
import tempfile
import tomllib
from pathlib import Path
from typing import Any

from review.stand_ins_2.record import Record

ROOT = Path(__file__).resolve().parents[2]
READY_TIMEOUT_S = 20.0
POLL_INTERVAL_S = 0.02


def free_port(host: str = "127.0.0.1") -> int:
    """Return a port that is free now."""
    with socket.socket() as probe:
        probe.bind((host, 0))
        return int(probe.getsockname()[1])


def deploy_command(name: str) -> str:
    """Return a command of the deploy file."""
    with (ROOT / "deploy" / "balancer.toml").open("rb") as file:
        return str(tomllib.load(file)[name])


class Folder:
    """The folder of one dispatcher: its configuration file, its log and its private $TMPDIR."""

    def __init__(self, temporary: str = "tmp") -> None:
        self.holder = tempfile.TemporaryDirectory(prefix="el-")
        self.path = Path(self.holder.name)
        self.config = self.path / "config.json"
        self.tmp = self.path / temporary
        self.tmp.mkdir(parents=True)

    def write_config(self, config: dict[str, Any]) -> None:
        """Replace the configuration file as a whole."""
        new = self.config.with_suffix(".new")
        new.write_text(json.dumps(config), encoding="utf-8")
        new.replace(self.config)

    def remove(self) -> None:
        """Remove the folder."""
        self.holder.cleanup()


class Dispatcher:
    """One process of the dispatcher."""

    def __init__(self, record: Record, folder: Folder, name: str, environment: dict[str, str]) -> None:
        self.record = record
        self.name = name
        self.log = (folder.path / f"{name}.log").open("wb")
        self.log_path = folder.path / f"{name}.log"
        self.process = subprocess.Popen(
            ["/bin/sh", "-c", deploy_command("run")],
            cwd=ROOT,
            env={
                **{key: os.environ[key] for key in ("PATH", "LANG", "HOME") if key in os.environ},
                "TMPDIR": str(folder.tmp),
                "RELAY_CONFIG": str(folder.config),
                **environment,
            },
            stdin=subprocess.DEVNULL,
            stdout=self.log,
            stderr=self.log,
        )
        record.write("process-started", name=name)

    @property
    def status(self) -> int | None:
        """The exit status, None while the process runs."""
        return self.process.poll()

    async def wait_ready(self, host: str, port: int, path: str = "/up") -> bool:
        """Wait until ``path`` is answered 200; return False if that does not come or the process ends."""
        for _ in range(int(READY_TIMEOUT_S / POLL_INTERVAL_S)):
            if self.status is not None:
                return False
            if await answers_yes(host, port, path):
                self.record.write("process-ready", name=self.name)
                return True
            await asyncio.sleep(POLL_INTERVAL_S)
        return False

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        if self.status is None:
            self.record.write("signal", name=self.name, signal=number.name)
            self.process.send_signal(number)

    def end(self) -> None:
        """End the process."""
        if self.status is None:
            self.process.kill()
        self.process.wait()
        self.log.close()
        self.record.write("process-ended", name=self.name, status=self.status)

    def log_text(self) -> str:
        """Return what the process has written so far."""
        return self.log_path.read_text(encoding="utf-8", errors="replace")


async def answers_yes(host: str, port: int, path: str) -> bool:
    """Return whether a GET is answered 200."""
    try:
        reader, writer = await asyncio.open_connection(host, port)
    except OSError:
        return False
    try:
        writer.write(f"GET {path} HTTP/1.1\r\nHost: platform\r\nConnection: close\r\n\r\n".encode())
        line = await asyncio.wait_for(reader.readline(), 1.0)
    except (OSError, TimeoutError):
        return False
    finally:
        writer.close()
    return line.startswith(b"HTTP/1.1 200")
