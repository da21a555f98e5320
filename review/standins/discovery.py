"""A stand-in for discovery: the whole list, and watches on changes."""

from __future__ import annotations

import asyncio
import json
from typing import Any

from review.standins.record import Record
from review.standins.wire import read_message, reply

KEEP_ALIVE_S = 2.0  # an empty line, while nothing changes


class Discovery:
    """One discovery service."""

    def __init__(self, record: Record, host: str = "127.0.0.1") -> None:
        self.record = record
        self.host = host
        self.index = 1
        self.entries: dict[str, dict[str, Any]] = {}
        self.changes: list[tuple[int, dict[str, Any]]] = []
        self.watches: set[asyncio.StreamWriter] = set()
        self.server: asyncio.Server | None = None
        self.address = ""

    async def start(self) -> None:
        """Listen on a free port."""
        self.server = await asyncio.start_server(self._serve, self.host, 0)
        host, port = self.server.sockets[0].getsockname()[:2]
        self.address = f"{host}:{port}"

    def list_worker(self, name: str, address: str, kind: str, since_ms: int = 0) -> None:
        """Add a worker to the list."""
        self._change(
            {
                "name": name,
                "address": address,
                "zone": "bog-1",
                "type": kind,
                "group": 0,
                "status": "in_service",
                "weight": 1.0,
                "since_ms": since_ms,
            }
        )

    def set_status(self, name: str, status: str) -> None:
        """Change a worker's status, and write the change to all watches."""
        self._change({**self.entries[name], "status": status})

    def _change(self, entry: dict[str, Any]) -> None:
        self.index += 1
        name = entry["name"]
        if entry["status"] == "terminated":
            self.entries.pop(name, None)
        else:
            self.entries[name] = entry
        self.changes.append((self.index, entry))
        line = self._line([entry], snapshot=False)
        for writer in self.watches:
            self._write_chunk(writer, line)
        self.record.write("discovery", f"version {self.index}: {name} {entry['status']} {entry['address']}")

    def _line(self, entries: list[dict[str, Any]], *, snapshot: bool) -> bytes:
        value = {"index": self.index, "snapshot": snapshot, "endpoints": entries}
        return json.dumps(value).encode() + b"\n"

    @staticmethod
    def _write_chunk(writer: asyncio.StreamWriter, data: bytes) -> None:
        writer.write(b"%x\r\n%s\r\n" % (len(data), data))

    def snapshot(self) -> dict[str, Any]:
        """Return the whole list."""
        return {"index": self.index, "snapshot": True, "endpoints": list(self.entries.values())}

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while (message := await read_message(reader)) is not None:
                target = message.line[1]
                if "watch=1" not in target:
                    writer.write(reply(200, self._line(list(self.entries.values()), snapshot=True)))
                    continue
                await self._watch(reader, writer, int(target.rpartition("from=")[2] or 0))
                return
        except (OSError, asyncio.CancelledError):
            pass  # the dispatcher has gone, or the case ends
        finally:
            self.watches.discard(writer)
            writer.close()

    async def _watch(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, version: int) -> None:
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        if version == 0:
            self._write_chunk(writer, self._line(list(self.entries.values()), snapshot=True))
        else:
            missed = [entry for index, entry in self.changes if index > version]
            self._write_chunk(writer, self._line(missed, snapshot=False))
        self.watches.add(writer)
        self.record.write("discovery", f"watch from {version}")
        while True:
            try:
                await asyncio.wait_for(reader.read(1), KEEP_ALIVE_S)
            except TimeoutError:
                self._write_chunk(writer, b"\n")
            else:
                return

    async def stop(self) -> None:
        """Stop listening, and end the watches."""
        if self.server is not None:
            self.server.close()
        for writer in list(self.watches):
            writer.close()
