"""A job that comes over 0.7 s after SIGTERM keeps its whole time, and SIGKILL finds it unanswered."""

from __future__ import annotations

import asyncio
import os
import signal
import sys
import time
from pathlib import Path

from review.stand_ins_2 import sites
from review.stand_ins_2.clients import Call, Clients
from review.stand_ins_2.discovery import Discovery
from review.stand_ins_2.pipeline import Pipeline
from review.stand_ins_2.platform import Dispatcher, Folder, free_port
from review.stand_ins_2.record import Record
from review.stand_ins_2.worker import Worker

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
SEED = 45
WORKERS = 8
ROUNDS = 10
CLIENTS = 5
HELD_UP_S = 0.13
MAX_HELD_UP_S = 0.15  # "a dispatcher that is held up for up to 0.15 s"
SEND_AFTER_SIGTERM_S = 0.74
COUNTS_AFTER_S = 0.7  # after SIGTERM: what SIGKILL finds unanswered is lost, if it came later than this
KILL_AFTER_S = 3.7  # after SIGTERM: the longest deadline, counted as 3 s, and 0.7 s
FIRST_WORK_MS = 300.0  # of a deck-fetch, after which each client keeps its connection
WORK_MS = 2400.0  # of a print-order: 1,300 to 2,400 ms of running on average
SPEED = 0.77  # of a slow-2c worker: 0.77 to 1
BUDGET_MS = 20_000

broken = 1
held = 0
could_not_run = 2


class Restart:
    """One dispatcher that is started, used and told to end."""

    def __init__(self, record: Record, discovery: Discovery, clients: Clients, listen: int) -> None:
        self.record = record
        self.discovery = discovery
        self.clients = clients
        self.listen = listen
        self.folder = Folder()
        self.process: Dispatcher | None = None
        self.pipelines = [Pipeline(clients, listen) for _ in range(CLIENTS)]
        self.calls: list[Call] = []  # that came over 0.7 s after SIGTERM
        self.held_up_s = 0.0

    async def play(self, name: str) -> bool:
        """Play one planned restart up to SIGKILL; return whether it could run."""
        self.folder.write_config(
            sites.config(sites.bogota(), self.listen, self.discovery.port, self.discovery.listing())
        )
        self.process = Dispatcher(self.record, self.folder, name, {})
        if not await self.process.wait_ready("127.0.0.1", self.listen):
            return False
        for pipeline in self.pipelines:
            await pipeline.connect()
            pipeline.send(1, "deck-fetch", "red-valle", 5000, FIRST_WORK_MS)
        for pipeline in self.pipelines:
            await pipeline.wait(5.0)
        told_at = self.tell_to_end(self.process)
        await asyncio.sleep(told_at + SEND_AFTER_SIGTERM_S - time.monotonic())
        late_enough = time.monotonic() - told_at > COUNTS_AFTER_S
        for pipeline in self.pipelines:
            if pipeline.ended_at is None and late_enough:
                self.calls += pipeline.send(1, "print-order", "red-valle", BUDGET_MS, WORK_MS)
        await asyncio.sleep(told_at + KILL_AFTER_S - time.monotonic())
        self.process.signal(signal.SIGKILL)
        for pipeline in self.pipelines:
            await pipeline.wait(2.0)
        return True

    def tell_to_end(self, process: Dispatcher) -> float:
        """Send SIGTERM to the process, which is held up just then; return when it was sent."""
        if TROUBLE:
            process.signal(signal.SIGSTOP)
        stopped_at = time.monotonic()
        process.signal(signal.SIGTERM)
        told_at = time.monotonic()
        if TROUBLE:
            time.sleep(HELD_UP_S)
            process.signal(signal.SIGCONT)
            self.held_up_s = time.monotonic() - stopped_at
            self.record.write("held-up", seconds=f"{self.held_up_s:.4f}")
        return told_at

    def stop(self) -> None:
        """End the process."""
        for pipeline in self.pipelines:
            pipeline.close()
        if self.process is not None:
            self.process.end()
        self.folder.remove()


async def play(record: Record) -> int:
    """Play the case; return the exit status."""
    discovery = Discovery(record)
    await discovery.start()
    listen = free_port()
    workers = [Worker(record, f"s-{number}", listen, speed=SPEED) for number in range(WORKERS)]
    for worker in workers:
        await worker.start()
        discovery.put(worker.name, f"127.0.0.1:{worker.port}", zone="bog-1", type="slow-2c")
    clients = Clients(record, listen, SEED)
    counted: list[Call] = []
    try:
        for number in range(ROUNDS):
            restart = Restart(record, discovery, clients, listen)
            try:
                if not await restart.play(f"n1-{number}"):
                    return could_not_run
            finally:
                restart.stop()
            if restart.held_up_s <= MAX_HELD_UP_S:
                counted += restart.calls
            else:
                record.write("not-counted", reason="held-up-for-too-long")
    finally:
        for worker in workers:
            worker.stop()
        discovery.stop()
    lost = [call for call in counted if call.status is None]
    for call in lost:
        record.write("lost", id=call.request_id, sent_at=f"{call.sent_at:.3f}")
    record.write("verdict", sent=len(counted), lost=len(lost))
    print(f"{len(counted)} jobs sent over 0.7 s after SIGTERM, without any answer: {len(lost)}")
    if not counted:
        return could_not_run
    return broken if lost else held


if __name__ == "__main__":
    sys.exit(asyncio.run(play(Record(Path(__file__).with_name("record.txt")))))
