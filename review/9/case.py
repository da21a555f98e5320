"""A second copy of a request goes out while its first attempt runs, as the first was not given up in time."""

from __future__ import annotations

import asyncio
import os
import random
import sys
from dataclasses import dataclass
from pathlib import Path

from review.stand_ins_2 import sites
from review.stand_ins_2.clients import Clients
from review.stand_ins_2.discovery import Discovery
from review.stand_ins_2.http1 import Message
from review.stand_ins_2.late import LatePath
from review.stand_ins_2.platform import Dispatcher, Folder, free_port
from review.stand_ins_2.record import Record
from review.stand_ins_2.worker import Worker, WorkerConnection

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
SEED = 45
WORKERS = 8
PLAY_S = 75.0
REST_S = 6.0
JOBS_PER_S = 10.0
WAY_S = 0.0003  # one way, within the data centre
RESET_SHARE = 0.1  # of the requests that have begun: "some are reset under requests"
LATE_S = (0.5, 1.5)  # "come up late (up to 1.5 s)"
PROMPT_S = (1.0, 3.0)  # between: so a third of the connections come up late
CLASSES = (("deck-fetch", 0.42, 310.0), ("deck-build", 0.33, 1000.0), ("deck-purchase", 0.11, 155.0))
BUDGETS_MS = {"deck-fetch": 5000, "deck-build": 15000, "deck-purchase": 5000}

broken = 1
held = 0
could_not_run = 2


@dataclass(slots=True)
class SecondCopy:
    """A further attempt that arrived while an earlier one of its request was out."""

    request_id: str
    first_worker: str
    second_worker: str


class Case:
    """One dispatcher and its workers."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.random = random.Random(SEED)
        self.discovery = Discovery(record)
        self.listen = free_port()
        self.workers = [WatchedWorker(self, f"s-{number}") for number in range(WORKERS)]
        self.paths: list[LatePath] = []
        self.second_copies: list[SecondCopy] = []

    async def start(self) -> None:
        """Start workers, their paths and discovery."""
        await self.discovery.start()
        for worker in self.workers:
            await worker.start()
            path = LatePath(self.record, worker.name, worker.port, WAY_S, self.random)
            await path.start()
            self.paths.append(path)
            self.discovery.put(worker.name, f"127.0.0.1:{path.port}", zone="bog-1", type="fast-2c")

    async def disturb(self, path: LatePath) -> None:
        """Let connections come up late from time to time, and reset some under requests."""
        path.reset_share = RESET_SHARE
        while True:
            await asyncio.sleep(self.random.uniform(*PROMPT_S))
            path.begin_late()
            await asyncio.sleep(self.random.uniform(*LATE_S))
            path.end_late()

    def arrived(self, worker: Worker, request_id: str) -> None:
        """Look for an earlier attempt that is taken, has not ended and was not given up."""
        for other in self.workers:
            earlier = other.attempts.get(request_id)
            if earlier is not None and not (earlier.ended or earlier.given_up):
                self.second_copies.append(SecondCopy(request_id, other.name, worker.name))
                self.record.write("second-copy", id=request_id, first=other.name, second=worker.name)

    def stop(self) -> None:
        """Stop everything."""
        for path in self.paths:
            path.stop()
        for worker in self.workers:
            worker.stop()
        self.discovery.stop()


class WatchedWorker(Worker):
    """A worker that reports each attempt as it arrives."""

    def __init__(self, case: Case, name: str) -> None:
        super().__init__(case.record, name, case.listen)
        self.case = case

    def handle(self, connection: WorkerConnection, message: Message) -> None:
        """Report an attempt, and answer it."""
        if message.method == "POST":
            self.case.arrived(self, message.headers.get("x-call-id", ""))
        super().handle(connection, message)


async def load(clients: Clients, rng: random.Random) -> None:
    """Send jobs at random times."""
    tasks = set()
    loop = asyncio.get_running_loop()
    end = loop.time() + PLAY_S
    names = [name for name, _, _ in CLASSES]
    shares = [share for _, share, _ in CLASSES]
    mean_work = {name: work for name, _, work in CLASSES}
    while loop.time() < end:
        await asyncio.sleep(rng.expovariate(JOBS_PER_S))
        name = rng.choices(names, shares)[0]
        work_ms = mean_work[name] * rng.uniform(0.5, 1.5)
        tasks.add(asyncio.create_task(clients.call(name, "red-valle", BUDGETS_MS[name], work_ms)))
    await asyncio.wait(tasks, timeout=REST_S)


async def play(record: Record) -> int:
    """Play the case; return the exit status."""
    case = Case(record)
    await case.start()
    folder = Folder()
    folder.write_config(
        sites.config(sites.bogota(), case.listen, case.discovery.port, case.discovery.listing())
    )
    dispatcher = Dispatcher(record, folder, "n1", {})
    clients = Clients(record, case.listen, SEED)
    troubles: list[asyncio.Task[None]] = []
    try:
        if not await dispatcher.wait_ready("127.0.0.1", case.listen):
            return could_not_run
        if TROUBLE:
            troubles = [asyncio.create_task(case.disturb(path)) for path in case.paths]
        await load(clients, random.Random(SEED))
        served = sum(call.status == 200 for call in clients.calls)
        resets = sum(path.resets for path in case.paths)
        copies = len(case.second_copies)
        record.write("verdict", jobs=len(clients.calls), served=served, resets=resets, second_copies=copies)
        print(f"{len(clients.calls)} jobs, {served} served, {resets} resets; second copies: {copies}")
        if not served:
            return could_not_run
        return broken if copies else held
    finally:
        for task in troubles:
            task.cancel()
        dispatcher.end()
        case.stop()
        clients.connections.close()
        folder.remove()


if __name__ == "__main__":
    sys.exit(asyncio.run(play(Record(Path(__file__).with_name("record.txt")))))
