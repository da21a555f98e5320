"""An id that was sent to a worker is not accepted again, also at the next process, whatever comes between."""

from __future__ import annotations

from dataclasses import replace

from elderstall.engine.jobs import MAX_RECENT_IDS, Job
from elderstall.messages import JobRequest
from elderstall.net import http
from tests.loopback import Loopback


class Ids(Loopback):
    """A client leaves its job; others send many ids; its id comes again."""

    def leave(self, request_id: str) -> None:
        """Send a job, and leave when a worker has it."""
        client = self.client()
        client.send(self.job(request_id))
        self.take(f"POST {request_id}").send(http.response(202))
        self.turn()
        client.sock.close()
        self.take(f"DELETE /jobs/{request_id}").send(http.response(200))
        self.turn()

    def new_job(self, request_id: str, attempts: int) -> Job:
        """Return a job that was sent to workers as often."""
        self.client()
        self.turn(1)
        client = next(iter(self.app.server.connections))
        request = JobRequest(request_id, "deck-fetch", 0.0, None)
        job_class = self.app.engine.classes["deck-fetch"]
        return Job(request, client, job_class, 0.0, 0.0, attempts=attempts)

    def close_jobs(self, name: str, count: int, attempts: int) -> None:
        """Close as many jobs, each under a new id."""
        jobs = self.app.engine.jobs
        job = self.new_job("", attempts)
        for number in range(count):
            job.request = replace(job.request, request_id=f"{name}{number}")
            jobs.add(job)
            jobs.remove(job)

    def assert_refused(self, request_id: str) -> None:
        client = self.client()
        client.send(self.job(request_id))
        self.assertEqual(400, self.answer(client).status)
        self.assert_nothing_received()

    def test_an_id_that_comes_again_after_its_client_has_left_is_refused(self) -> None:
        self.begin()
        self.leave("a1")
        self.assert_refused("a1")

    def test_thousands_of_rejected_jobs_do_not_bring_a_forwarded_id_back(self) -> None:
        """Incident 2026-12-05, 8: a job ran twice, as rejected ones had evicted its id."""
        self.begin()
        self.leave("a1")
        self.close_jobs("rejected", 2 * MAX_RECENT_IDS, attempts=0)
        self.assert_refused("a1")

    def test_the_next_process_refuses_every_id_that_this_one_refuses(self) -> None:
        self.begin()
        self.close_jobs("ran", MAX_RECENT_IDS, attempts=1)
        for number in range(3):
            self.app.engine.jobs.add(self.new_job(f"live{number}", attempts=1))
        state = self.app.upgrade.state_transfer.export_state(self.app.config.discovery)
        self.begin()
        self.app.upgrade.state_transfer.import_state(state)
        for request_id in ("ran0", f"ran{MAX_RECENT_IDS - 1}", "live0"):
            self.assert_refused(request_id)
