"""What the process keeps in memory for its clients, and when it lets go of it."""

from __future__ import annotations

import gc
import unittest

from elderstall.engine.jobs import Attempt, Job
from elderstall.net import http
from elderstall.net.upstream.job_exchange import JobExchange
from tests.loopback import Loopback, PeerSocket


def tracked_jobs() -> list[object]:
    """Return what the collector knows of jobs and their attempts."""
    return [found for found in gc.get_objects() if type(found) in (Job, Attempt, JobExchange)]


class Memory(Loopback):
    """A dispatcher with two workers; the garbage collector is off, as it may run late."""

    def begin(self) -> None:  # type: ignore[override]
        super().begin(workers=2)
        gc.collect()
        gc.disable()
        self.addCleanup(gc.enable)
        self.of_other_tests = tracked_jobs()

    def worker_name(self, worker: PeerSocket) -> str:
        ports = [sock.getsockname()[1] for sock in self.listeners]
        return f"w{ports.index(worker.sock.getsockname()[1]) + 1}"


class ReferenceCycles(Memory):
    """A finished job is freed at once: cycles would keep its body until the next full collection."""

    def send_job(self) -> tuple[PeerSocket, PeerSocket]:
        client = self.client()
        client.send(self.job("a1"))
        return client, self.take("POST a1")

    def assert_freed(self) -> None:
        self.turn()
        self.assertNotIn("a1", self.app.engine.jobs.by_request_id)
        known = {id(found) for found in self.of_other_tests}
        self.assertEqual([], [found for found in tracked_jobs() if id(found) not in known])

    def test_a_served_job_is_freed(self) -> None:
        """Incident 2026-12-05, 3: bodies of served jobs took the process past its memory limit."""
        self.begin()
        client, worker = self.send_job()
        worker.send(http.response(202))
        self.turn()
        self.call_back("a1", worker=self.worker_name(worker))
        self.assertEqual(200, self.answer(client).status)
        self.assert_freed()

    def test_a_failed_job_is_freed(self) -> None:
        self.begin()
        client, worker = self.send_job()
        worker.send(http.response(202))
        self.turn()
        self.call_back("a1", "failed", self.worker_name(worker))
        while "POST a1" not in [what for what, _ in self.came()]:
            self.wait(10)
        worker = self.take("POST a1")
        worker.send(http.response(202))
        self.turn()
        self.call_back("a1", worker=self.worker_name(worker))
        self.answer(client)
        self.assert_freed()

    def test_a_job_whose_client_has_left_is_freed(self) -> None:
        self.begin()
        client, worker = self.send_job()
        client.sock.close()
        self.assert_freed()


if __name__ == "__main__":
    unittest.main()
