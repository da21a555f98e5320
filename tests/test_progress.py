"""Scenarios of progress as server-sent events, against a simulated worker."""

from __future__ import annotations

from hypothesis import given
from hypothesis import settings as tune
from hypothesis import strategies as st

from elderstall.interface import AttemptProgressed, Event, ResponseStarted
from elderstall.net.event_stream import EventParser, ServerEvent, encode_event, parse_share
from tests.scenario import Scenario, World

ACCEPT_EVENTS = "Accept=text/event-stream"
OPEN_STREAM = f"c send job a1 deck-build {ACCEPT_EVENTS}\nw expect POST a1\nw send stream"


class Progress(Scenario):
    """Events from a worker's stream to the client's."""

    def begin(self, workers: int = 1, progress: bool = True, **more: object) -> World:
        return super().begin(workers, progress, **more)

    def test_progress_reaches_client_and_decisions_and_one_result_closes(self) -> None:
        self.begin()
        engine = self.world.app.engine
        events = list[Event]()
        handle = engine.decisions.handle
        engine.decisions.handle = lambda now, event: (events.append(event), handle(now, event))[1]  # type: ignore
        self.play(f"""
            {OPEN_STREAM}
            c expect nothing
            w send event progress {{"share": 0.4}}
            c expect event progress {{"share": 0.4}}
            w send event note unheard
            w send event result a deck of forty
            c expect event result a deck of forty
            c expect end
            w send event result twice
            w send event progress {{"share": 0.9}}
            c expect nothing
            w send end
            c send job a2 deck-fetch
            w expect POST a2
            w send stream
            w send event progress 0.5
            w send event result plain
            c expect 200 plain
        """)
        self.assertIn(0.4, [event.share for event in events if isinstance(event, AttemptProgressed)])
        self.assertFalse([event for event in events if isinstance(event, ResponseStarted)])

    def test_call_backs_of_a_worker_become_events(self) -> None:
        self.play(f"""
            c send job a1 deck-build {ACCEPT_EVENTS}
            w expect POST a1
            w send 202
            w send call running a1
            c expect event progress 0.4
            w send call done a1 hello
            c expect event result hello
            c expect end
        """)

    def test_a_build_whose_stream_breaks_fails_with_one_error_and_is_not_retried(self) -> None:
        for failure in ("w close", "w send end", "w send raw zz\\r\\n", "w send event error full disk"):
            self.begin(workers=2)
            self.play(f"""
                {OPEN_STREAM}
                w send event progress {{"share": 0.4}}
                c expect event progress
                {failure}
                c expect event error 502
                c expect end
                wait 3000
                w expect nothing
                c expect nothing
            """)

    def test_a_fetch_whose_stream_breaks_is_retried_on_the_same_client_stream(self) -> None:
        self.play(
            f"""
            c send job a1 deck-fetch {ACCEPT_EVENTS}
            w expect POST a1
            w send stream
            w send event progress {{"share": 0.4}}
            c expect event progress 0.4
            w close
            w expect POST a1
            w send stream
            w send event result second
            c expect event result second
            c expect end
        """,
            workers=2,
        )

    def test_before_the_first_event_a_rejection_is_a_plain_503_and_a_failure_a_502(self) -> None:
        self.play(f"""
            {OPEN_STREAM}
            w close
            c expect 502
            w close listener
            c send job a2 deck-build {ACCEPT_EVENTS} budget=400
            wait 450
            c expect 503
        """)

    def test_a_stalled_stream_ends_at_the_deadline(self) -> None:
        self.play(f"""
            c send job a1 deck-build {ACCEPT_EVENTS} budget=900
            w expect POST a1
            w send stream
            w send event progress {{"share": 0.1}}
            c expect event progress
            wait 890
            w send raw 3\\r\\n:k\\n\\r\\n
            c expect nothing
            wait 15
            c expect event error 504
            c expect end
            w expect DELETE a1
            log expect end:given-up
        """)

    def test_a_stalled_safe_job_is_rejected_in_the_stream(self) -> None:
        self.play(f"""
            c send job a1 deck-fetch {ACCEPT_EVENTS} budget=900
            w expect POST a1
            w send stream
            w send event progress 0.1
            c expect event progress
            wait 905
            c expect event error 503
            c expect end
        """)

    def test_a_draining_worker_finishes_its_streams_and_gets_no_new_jobs(self) -> None:
        self.play(f"""
            d send beat
            {OPEN_STREAM}
            d send changes 42 w1=draining
            c2 send job a2 deck-build {ACCEPT_EVENTS}
            w send event progress {{"share": 0.7}}
            c expect event progress 0.7
            wait 2500
            w send event result hello
            c expect event result hello
            w send end
            wait 2500
            w expect nothing
        """)

    def test_a_slow_client_gets_the_newest_progress_and_the_final_event(self) -> None:
        """Bounds memory: unread progress of a client is coalesced, but its last event is never dropped."""
        self.begin()
        long = "x" * 3_000
        notes = "\n".join(f"w send event progress {n} {long}" for n in range(200))
        self.play(f"""
            {OPEN_STREAM}
            c close reading
            {notes}
        """)
        self.assertLess(self.world.peers["c"].wire.unread, 25_000)
        self.play("""
            w send event result hello
            c send reading
        """)
        events = [e for e in self.world.peers["c"].events if isinstance(e, ServerEvent)]
        self.assertEqual(("result", "hello"), (events[-1].event, events[-1].data))
        self.assertLess(len(events), 12)

    def test_a_disconnecting_client_ends_the_stream_and_its_reconnect_runs_no_job(self) -> None:
        self.play(f"""
            {OPEN_STREAM}
            w send event progress {{"share": 0.2}}
            c expect event progress
            c close
            w expect DELETE a1
            w send 200
            c2 send job a1 deck-build {ACCEPT_EVENTS}
            c2 expect 204
            c3 send job a9 deck-build {ACCEPT_EVENTS} Last-Event-ID=a1/1
            c3 expect 204
            wait 500
            w expect nothing
            log expect end:client-gone
        """)

    def test_sigterm_lets_open_streams_finish(self) -> None:
        self.play(f"""
            {OPEN_STREAM}
            w send event progress {{"share": 0.2}}
            c expect event progress
            term send
            wait 2000
            term expect running
            w send event result hello
            c expect event result hello
            c expect end
            wait 1500
            c expect closed
            c close
            wait 200
            term expect exit
        """)

    def test_streams_are_disabled_unless_configured(self) -> None:
        self.begin(progress=False)
        self.play(f"""
            c send job a1 deck-fetch {ACCEPT_EVENTS}
            w expect POST a1
            w send 202
            w send call running a1
            w send call done a1 hello
            c expect 200 hello
        """)


TEXTS = st.text(st.characters(blacklist_characters="\r\0", blacklist_categories=["Cs"]), max_size=40)


@tune(deadline=None, derandomize=True)
@given(
    events=st.lists(st.tuples(st.sampled_from(["progress", "result"]), TEXTS), max_size=5),
    cuts=st.lists(st.integers(1, 9), max_size=60),
    end=st.sampled_from(["\n", "\r", "\r\n"]),
)
def test_encoded_events_are_parsed_back_from_pieces_of_any_size(
    events: list[tuple[str, str]], cuts: list[int], end: str
) -> None:
    raw = b"\xef\xbb\xbf" + b"".join(encode_event(name, data, "7") for name, data in events)
    raw = raw.decode().replace("\n", end).encode()
    parser, got, at = EventParser(), list[ServerEvent](), 0
    for cut in [*cuts, len(raw)]:
        got += parser.feed(raw[at : at + cut])
        at += cut
    assert got == [ServerEvent(name, data, "7") for name, data in events]


def test_special_cases_of_the_format() -> None:
    parser = EventParser()
    text = (
        ": comment\n\nevent: lost\n\ndata\n\ndata:two\ndata: lines\nid: 4\nretry: 250\nodd: x\n\n"
        "data:  kept\nid: no\0\n\nevent: progress\ndata: cut"
    )
    assert list(parser.feed(text.encode())) == [
        ServerEvent("message", ""),
        ServerEvent("message", "two\nlines", "4"),
        ServerEvent("message", " kept", "4"),
    ]
    assert parser.retry == 250
    assert (parse_share('{"share": 0.4}'), parse_share("0.2"), parse_share("true"), parse_share("[")) == (
        0.4,
        0.2,
        0,
        0,
    )
