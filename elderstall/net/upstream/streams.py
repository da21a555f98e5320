"""Attempts whose answers may be event streams: progress events, then one result or error."""

from __future__ import annotations

from twisted.internet.defer import Deferred

from elderstall.interface import Ending
from elderstall.messages import Acceptance, Outcome
from elderstall.net import http
from elderstall.net.event_stream import MEDIA_TYPE, EventParser, ServerEvent, parse_share
from elderstall.net.upstream.exchange import RequestFailure
from elderstall.net.upstream.job_exchange import AttemptServices, JobAttempt, JobExchange
from elderstall.net.upstream.pool import Pool
from elderstall.net.upstream.request import job_request
from elderstall.net.upstream.transport import WorkerTransport

STREAM_END_TIMEOUT_MS = 1_000.0  # for a worker's stream to end after its last event
NO_BODY_LIMIT = 0  # a stream is forwarded piece by piece, so its total size is not limited


def ignore_progress(share: float, text: str) -> None:
    """Ignore the progress of an attempt whose outcome is reported already."""


class StreamExchange(JobExchange):
    """The exchange of one attempt whose answer may be a stream."""

    answer_statuses = JobExchange.answer_statuses | {200}

    def __init__(self, services: AttemptServices, attempt: JobAttempt) -> None:
        super().__init__(services, attempt)
        self.on_progress = attempt.on_progress
        self.event_parser: EventParser | None = None
        self.has_reported_outcome = False

    @property
    def allows_retry(self) -> bool:
        """Whether the answer is neither a 202 nor a stream: the job may then be attempted again."""
        return self.message.status != 202 and self.event_parser is None

    def head_received(self, message: http.Message) -> None:
        """Handle the head of a stream, or of an answer that ``JobExchange`` handles."""
        super().head_received(message)
        media_types = message.headers.tokens("Content-Type")
        if message.status == 200 and media_types and media_types[0].split(";")[0].strip() == MEDIA_TYPE:
            self.event_parser = EventParser()

    def data_received(self, data: bytes) -> None:
        """Handle a piece of the stream; data after the last event is ignored."""
        if self.event_parser is None or self.has_reported_outcome:
            return
        for event in self.event_parser.feed(data):
            self._handle_event(event)
            if self.has_reported_outcome:
                break

    def _handle_event(self, event: ServerEvent) -> None:
        """Report a progress event, or the outcome of a result or an error event."""
        if event.event == "progress":
            self.on_progress(parse_share(event.data), event.data)
        elif event.event == "result":
            self.finish(Outcome(Ending.SERVED, event.data.encode("utf-8", "replace")))
        elif event.event == "error":
            self.finish(Outcome(Ending.ERROR))

    def completed(self, acceptance: Acceptance = Acceptance.RULED_OUT) -> None:
        """Report the answer's end; a stream that ends without a result or an error is broken."""
        if self.event_parser is not None:
            self.finish(Outcome(Ending.BROKEN))
        else:
            super().completed(acceptance)

    def failed(self, failure: RequestFailure) -> None:
        """Report the connection's end; once a stream has begun, its job may have run."""
        if self.event_parser is not None:
            self.finish(Outcome(Ending.BROKEN))
        else:
            super().failed(failure)

    def detach(self) -> Deferred[Outcome | None] | None:
        """Drop the references to the attempt, see ``JobExchange.detach``."""
        self.on_progress = ignore_progress
        return super().detach()

    def finish(self, outcome: Outcome | None) -> None:
        """Report the attempt's outcome, once; the stream must then end within a timeout."""
        if self.has_reported_outcome:
            return
        self.has_reported_outcome = True
        if self.event_parser is not None:
            self.services.deadlines.after(STREAM_END_TIMEOUT_MS, self.abort)
        super().finish(outcome)


class StreamTransport(WorkerTransport):
    """The transport of attempts that requests event streams from workers."""

    def start_attempt(self, pool: Pool, attempt: JobAttempt) -> StreamExchange:
        """Start the exchange of an attempt.

        No answer timeout is set: a stream may begin only when its job starts, as late as the deadline.
        """
        exchange = StreamExchange(self, attempt)
        request = job_request(attempt.request, pool.address, attempt.ends_at, MEDIA_TYPE)
        exchange.handle = pool.start_request(
            request, exchange, max_body=NO_BODY_LIMIT, repeatable=attempt.request.repeatable
        )
        return exchange
