"""A request that comes in the moment of an upgrade's hand-over is read, forgotten and never answered."""

from __future__ import annotations

import asyncio
import os
import random
import signal
import sys
from pathlib import Path

from review.stand_ins_2 import sites
from review.stand_ins_2.clients import Clients
from review.stand_ins_2.discovery import Discovery
from review.stand_ins_2.platform import Dispatcher, Folder, free_port
from review.stand_ins_2.record import Record
from review.stand_ins_2.worker import Worker

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
SEED = 45
WORKERS = 9
JOBS_PER_S = 45.0  # of the 53 a second of all dispatchers: most carry little traffic, some far more
PLAY_S = 95.0
PAUSE_S = 0.3  # between the end of an old process and the next upgrade
KILL_AFTER_S = 3.7  # after SIGTERM: the longest deadline, counted as 3 s, and 0.7 s
# Classes by share, with their mean work, ms.
CLASSES = (("board-build", 0.57, 430.0), ("move-log", 0.22, 220.0), ("star-award", 0.21, 220.0))
BUDGET_MS = 5000
NO_ANSWER = "TimeoutError"  # the connection is open, and a second after the request's time no answer has come

broken = 1
held = 0
could_not_run = 2


class Case:
    """One dispatcher, which is upgraded again and again under load."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.folder = Folder()
        self.discovery = Discovery(record)
        self.listen = free_port()
        self.workers = [Worker(record, f"s-{number}", self.listen, slots=3) for number in range(WORKERS)]
        self.clients = Clients(record, self.listen, SEED)
        self.processes: list[Dispatcher] = []
        self.stop_load = asyncio.Event()

    async def start(self) -> bool:
        """Start workers, discovery, the first process and the clients' connections."""
        await self.discovery.start()
        for worker in self.workers:
            await worker.start()
            self.discovery.put(worker.name, f"127.0.0.1:{worker.port}", zone="ktm-a", type="big-3core")
        return await self.start_process()

    async def start_process(self) -> bool:
        """Start a process with a second address of its own; return whether it says yes."""
        console = free_port()
        self.folder.write_config(
            sites.config(
                sites.kathmandu(),
                self.listen,
                self.discovery.port,
                self.discovery.listing(),
                console=f"127.0.0.1:{console}",
            )
        )
        process = Dispatcher(self.record, self.folder, f"v{len(self.processes)}", {})
        self.processes.append(process)
        return await process.wait_ready("127.0.0.1", console, "/api/ready")

    async def upgrade(self) -> bool:
        """Upgrade once, and wait until the old process has left; return whether the new one said yes."""
        old = self.processes[-1]
        if not await self.start_process():
            return False
        old.signal(signal.SIGTERM)
        for _ in range(int(KILL_AFTER_S / 0.05)):
            await asyncio.sleep(0.05)
            if old.status is not None:
                return True
        old.signal(signal.SIGKILL)
        return True

    async def load(self) -> None:
        """Send jobs at random times on connections that are free."""
        rng = random.Random(SEED)
        tasks = set()
        shares = [share for _, share, _ in CLASSES]
        while not self.stop_load.is_set():
            await asyncio.sleep(rng.expovariate(JOBS_PER_S))
            name, _, work_ms = rng.choices(CLASSES, shares)[0]
            call = self.clients.call(name, "valley-schools", BUDGET_MS, work_ms * rng.uniform(0.5, 1.5))
            tasks.add(asyncio.create_task(call))
        await asyncio.wait(tasks)

    def stop(self) -> None:
        """End everything."""
        for process in self.processes:
            process.end()
        for worker in self.workers:
            worker.stop()
        self.clients.connections.close()
        self.discovery.stop()
        self.folder.remove()


async def play(record: Record) -> int:
    """Play the case; return the exit status."""
    case = Case(record)
    upgrades = 0
    try:
        if not await case.start():
            return could_not_run
        loading = asyncio.create_task(case.load())
        while record.now() < PLAY_S:
            await asyncio.sleep(PAUSE_S)
            if TROUBLE:
                if not await case.upgrade():
                    record.write("verdict", text="a new process did not say yes")
                    return could_not_run
                upgrades += 1
        case.stop_load.set()
        await loading
    finally:
        case.stop()
    calls = case.clients.calls
    lost = [call for call in calls if call.status is None and call.error == NO_ANSWER]
    forwarded = {request_id for worker in case.workers for request_id in worker.attempts}
    for call in lost:
        record.write("lost", id=call.request_id, cls=call.job_class, forwarded=call.request_id in forwarded)
    served = sum(call.status == 200 for call in calls)
    ended = sum(call.status is None for call in calls) - len(lost)
    record.write("verdict", jobs=len(calls), served=served, lost=len(lost), ended=ended, upgrades=upgrades)
    print(f"{len(calls)} jobs, {served} served; {upgrades} upgrades, never answered: {len(lost)}")
    if not served:
        return could_not_run
    return broken if lost else held


if __name__ == "__main__":
    sys.exit(asyncio.run(play(Record(Path(__file__).with_name("record.txt")))))
