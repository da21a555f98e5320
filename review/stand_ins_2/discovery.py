"""A stand-in of discovery: the list, and watches on it."""

from __future__ import annotations

import asyncio
import contextlib
import json
from typing import Any

from review.stand_ins_2.http1 import Reader
from review.stand_ins_2.record import Record

KEEP_ALIVE_S = 2.0


class Discovery:
    """The list of workers; a change is written to all open watches at once."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.index = 40
        self.entries: dict[str, dict[str, Any]] = {}
        self.watches: set[asyncio.StreamWriter] = set()
        self.server: asyncio.Server | None = None
        self.port = 0
        self.keep_alive: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Listen."""
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]
        self.keep_alive = asyncio.create_task(self._keep_alive())

    def put(self, name: str, address: str, *, status: str = "in_service", **fields: Any) -> None:
        """Add or change an entry."""
        entry = {
            "name": name,
            "address": address,
            "zone": "a",
            "type": "m",
            "group": 0,
            "status": status,
            "weight": 1.0,
            "since_ms": 0,
            **fields,
        }
        self.entries[name] = entry
        self.index += 1
        self.record.write("list", index=self.index, worker=name, status=status)
        line = {"index": self.index, "snapshot": False, "endpoints": [entry]}
        if status == "terminated":
            del self.entries[name]
        for writer in list(self.watches):
            self._write(writer, json.dumps(line) + "\n")

    def listing(self) -> dict[str, Any]:
        """Return the whole list."""
        return {"index": self.index, "snapshot": True, "endpoints": list(self.entries.values())}

    def _write(self, writer: asyncio.StreamWriter, text: str) -> None:
        data = text.encode()
        with contextlib.suppress(OSError, RuntimeError):
            writer.write(b"%x\r\n%s\r\n" % (len(data), data))

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        parser = Reader()
        try:
            while data := await reader.read(65536):
                for message in parser.feed(data):
                    if "watch=1" in message.target:
                        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
                        self._write(writer, json.dumps(self.listing()) + "\n")
                        self.watches.add(writer)
                    else:
                        body = json.dumps(self.listing()).encode()
                        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body)
        except OSError:
            pass
        finally:
            self.watches.discard(writer)
            writer.close()

    async def _keep_alive(self) -> None:
        while True:
            await asyncio.sleep(KEEP_ALIVE_S)
            for writer in list(self.watches):
                self._write(writer, "\n")

    def stop(self) -> None:
        """Close everything."""
        if self.keep_alive is not None:
            self.keep_alive.cancel()
        if self.server is not None:
            self.server.close()
        for writer in self.watches:
            writer.close()
