"""Attempts whose answers may be event streams: progress as it comes, and one result or error."""

from __future__ import annotations

from elderstall.interface import Ending
from elderstall.messages import Outcome
from elderstall.net import http
from elderstall.net.event_stream import MEDIA_TYPE, EventParser, ServerEvent, parse_share
from elderstall.net.upstream.handle import RequestHandle
from elderstall.net.upstream.job_exchange import JobAttempt, JobExchange, JobTransport
from elderstall.net.upstream.pool import Pool
from elderstall.net.upstream.request import job_request
from elderstall.net.upstream.transport import WorkerTransport

AFTER_RESULT = 1_000.0  # ms for a worker's stream to end after its last event
NO_BODY_LIMIT = 0  # a stream is passed on as it comes, so no limit holds for the whole


class StreamExchange(JobExchange):
    """The exchange of one attempt whose answer may be a stream."""

    answer_statuses = JobExchange.answer_statuses | {200}

    def __init__(self, transport: JobTransport, attempt: JobAttempt) -> None:
        super().__init__(transport, attempt)
        self.on_progress = attempt.on_progress
        self.events: EventParser | None = None
        self.ended = False

    @property
    def ends_attempt(self) -> bool:
        """Whether the answer is neither a 202 nor a stream: it frees the job to go elsewhere."""
        return self.message.status != 202 and self.events is None

    def head_received(self, message: http.Message) -> None:
        """Take the head: a stream, or an answer of the platform's protocol."""
        super().head_received(message)
        kinds = message.headers.tokens("Content-Type")
        if message.status == 200 and kinds and kinds[0].split(";")[0].strip() == MEDIA_TYPE:
            self.events = EventParser()

    def data_received(self, data: bytes) -> None:
        """Take a piece of the stream; after the last event nothing counts."""
        if self.events is None or self.ended:
            return
        for event in self.events.feed(data):
            self._take(event)
            if self.ended:
                break

    def _take(self, event: ServerEvent) -> None:
        """Take one event of the stream."""
        if event.event == "progress":
            self.on_progress(parse_share(event.data), event.data)
        elif event.event == "result":
            self.finish(Outcome(Ending.SERVED, event.data.encode("utf-8", "replace")))
        elif event.event == "error":
            self.finish(Outcome(Ending.ERROR))

    def completed(self, *, maybe_accepted: bool = False, answer_begun: bool = False) -> None:
        """Take the answer's end: a stream that ends without a result was broken off."""
        if self.events is not None:
            self.finish(Outcome(Ending.BROKEN))
        else:
            super().completed(maybe_accepted=maybe_accepted, answer_begun=answer_begun)

    def failed(self, ending: Ending, *, answer_begun: bool = False, worker_unreachable: bool = False) -> None:
        """Take the connection's end: once a stream has begun, its job may have run."""
        if self.events is not None:
            self.finish(Outcome(Ending.BROKEN))
        else:
            super().failed(ending, answer_begun=answer_begun, worker_unreachable=worker_unreachable)

    def finish(self, outcome: Outcome | None) -> None:
        """Give the attempt's outcome, once; the connection has a little time to finish the answer."""
        if self.ended:
            return
        self.ended = True
        if self.events is not None:
            self.transport.deadlines.after(AFTER_RESULT, self.abort)
        super().finish(outcome)


class StreamTransport(WorkerTransport):
    """The transport that asks workers for streams."""

    def start_attempt(self, pool: Pool, attempt: JobAttempt) -> RequestHandle:
        """Start the exchange of an attempt.

        A stream may begin with the job's start, so the worker's first byte is waited for to the deadline.
        """
        exchange = StreamExchange(self, attempt)
        request = job_request(attempt.request, pool.address, attempt.ends_at, MEDIA_TYPE)
        exchange.handle = pool.begin(
            request, exchange, max_body=NO_BODY_LIMIT, repeatable=attempt.request.repeatable
        )
        return exchange.handle
