"""HTTP parsing and its limits, buffers, slots, deadlines, the log, and validation of settings."""

from __future__ import annotations

import os
from typing import Any

import pytest
from hypothesis import given
from hypothesis import settings as tune
from hypothesis import strategies as st
from twisted.internet.task import Clock

from elderstall.config import ConfigError, load_progress, parse_config
from elderstall.deadlines import Deadlines
from elderstall.log import Log
from elderstall.net import http
from elderstall.net.buffer import Buffer
from elderstall.slots import Slots
from tests.scenario import platform

ParsedMessage = tuple[str, str, bytes]


def parse(parser: http.Parser, pieces: list[bytes]) -> list[ParsedMessage]:
    parsed: list[ParsedMessage] = []
    message = http.Message((1, 1), http.Headers())
    body = b""
    for piece in pieces:
        parser.feed(piece)
        while (event := parser.next()) is not None:
            if isinstance(event, http.Head):
                message = event.message
                body = b""
            elif isinstance(event, http.Data):
                body += event.data
            else:
                parsed.append((message.method, message.target, body))
    return parsed


@tune(deadline=None, derandomize=True)
@given(
    bodies=st.lists(st.tuples(st.binary(max_size=200), st.booleans()), max_size=4),
    cuts=st.lists(st.integers(1, 30), max_size=80),
)
def test_messages_are_parsed_from_pieces_of_any_size(
    bodies: list[tuple[bytes, bool]], cuts: list[int]
) -> None:
    raw = b""
    for body, chunked in bodies:
        if chunked:
            raw += http.encode_head("POST /x HTTP/1.1", [("Transfer-Encoding", "chunked")])
            raw += b"".join(http.chunk(body[n : n + 50]) for n in range(0, len(body), 50)) + http.chunk(b"")
        else:
            raw += http.request("POST", "/x", "h", (), body)
    pieces = []
    start = 0
    for cut in [*cuts, len(raw)]:
        pieces.append(raw[start : start + cut])
        start += cut
    assert parse(http.Parser(), pieces) == [("POST", "/x", body) for body, _ in bodies]


@tune(deadline=None, derandomize=True)
@given(noise=st.lists(st.binary(max_size=60), max_size=8), responses=st.booleans())
def test_random_bytes_raise_only_errors_with_a_response_status(noise: list[bytes], responses: bool) -> None:
    try:
        parse(http.Parser(responses=responses), noise)
    except http.MessageError as error:
        assert 400 <= error.status < 600


@pytest.mark.parametrize(
    "head",
    [
        "Content-Length: 1\r\nContent-Length: 2",
        "Content-Length: -1",
        "Content-Length: +1",
        "Content-Length:",
        "Transfer-Encoding: gzip",
        "Transfer-Encoding: chunked, chunked",
        "A b: c",
        "NoColon",
        " folded: x",
        "Transfer-Encoding: chunked\r\nContent-Length: 3",
        "X: a\x00b",
    ],
)
def test_ambiguous_framing_is_refused(head: str) -> None:
    with pytest.raises(http.MessageError):
        parse(http.Parser(), [f"POST / HTTP/1.1\r\n{head}\r\n\r\n".encode()])


def test_a_response_without_length_ends_with_its_connection() -> None:
    parser = http.Parser(responses=True)
    assert parse(parser, [b"HTTP/1.1 200 OK\r\n\r\nabc"]) == []
    assert isinstance(parser.eof(), http.End)
    parser = http.Parser(responses=True)
    parse(parser, [b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nabc"])
    assert parser.eof() is None


def test_the_buffer_is_compacted_in_place() -> None:
    buffer = Buffer()
    for _ in range(2_000):
        buffer.append(b"x" * 100)
        assert buffer.take(99) == b"x" * 99
    assert len(buffer) == 2_000
    assert len(buffer.data) < 20_000


def test_a_freed_slot_is_reused_under_another_number() -> None:
    slots: Slots[str] = Slots(2)
    first, second = slots.add("a"), slots.add("b")
    assert slots.is_full
    slots.remove(first)
    third = slots.add("c")
    slots.remove(first)
    assert (slots.get(first), slots.get(second), slots.get(third)) == (None, "b", "c")
    assert (len(slots), sorted(slots)) == (2, ["b", "c"])
    with pytest.raises(OverflowError):
        slots.add("d")


def test_deadlines_run_in_order_with_one_reactor_call_and_survive_an_exception() -> None:
    clock, got, errors = Clock(), list[object](), list[BaseException]()
    deadlines = Deadlines(clock, clock.seconds, 0.0)
    deadlines.on_error = errors.append
    deadlines.after(30, got.append, "c")
    deadlines.after(10, got.append, "a")
    deadlines.after(10, [].pop)
    deadlines.after(20, got.append, "never").cancel()
    deadlines.after(15, lambda: deadlines.after(0, got.append, "b"))
    assert len(clock.getDelayedCalls()) == 1
    for _ in range(40):
        clock.advance(0.001)
    assert (got, len(errors), clock.getDelayedCalls()) == (["a", "b", "c"], 1, [])


def test_cancelled_deadlines_do_not_accumulate() -> None:
    """Every request restarts an idle timer of 75 s, which leaves thousands of cancelled deadlines."""
    clock, got = Clock(), list[int]()
    deadlines = Deadlines(clock, clock.seconds, 0.0)
    for n in range(20_000):
        last = deadlines.after(75_000, got.append, n)
        if n < 19_999:
            last.cancel()
    assert len(deadlines.heap) < 1_100
    clock.advance(76)
    assert (got, deadlines.active_count) == ([19_999], 0)


def test_the_log_is_rate_limited_and_counts_suppressed_lines() -> None:
    clock, lines = [0.0], list[str]()
    log = Log(lambda: clock[0], lines_per_s=1, burst=2)
    log.print = lambda now, code, text: lines.append(f"{code} {text}")  # type: ignore[method-assign]
    for n in range(5):
        log.ended("client", n, "idle")
    clock[0] = 3_000.0
    log.write("start", "again")
    assert lines == ["end:idle client 0", "end:idle client 1", "suppressed end:idle=3", "start again"]


class FullPipe:
    """The writing end of a pipe; a write that would block fails the test."""

    def __init__(self) -> None:
        self.read, self.write_end = os.pipe()
        os.set_blocking(self.write_end, False)

    def fileno(self) -> int:
        return self.write_end

    def write(self, text: str) -> int:
        try:
            return os.write(self.write_end, text.encode())
        except BlockingIOError:
            raise AssertionError("the process would block here") from None

    def flush(self) -> None:
        pass


def test_a_log_that_is_not_read_does_not_block_and_counts_suppressed_lines() -> None:
    pipe: Any = FullPipe()
    log = Log(lambda: 0.0, burst=1e9, out=pipe)
    while not log.suppressed:
        log.write("limit", "x" * 3_000)
    suppressed = log.suppressed["limit"]
    log.write("limit", "y")
    assert log.suppressed["limit"] == suppressed + 1
    os.read(pipe.read, 1 << 20)
    log.write("start", "again")
    lines = os.read(pipe.read, 1 << 20).decode().splitlines()
    assert [line.split(" ", 1)[1] for line in lines] == [f"suppressed limit={suppressed + 1}", "start again"]
    os.close(pipe.read)
    os.close(pipe.write_end)


@pytest.mark.parametrize(
    "path,value,key",
    [
        ("listen", "nowhere", "listen"),
        ("discovery", "a:b", "discovery"),
        ("seed", "xyz", "seed"),
        ("settings", None, "settings"),
        ("known", {"index": 1}, "known"),
        ("limits", {"sockets": 3}, "limits.sockets"),
        ("limits", [], "limits"),
        ("settings.classes", [{"name": "x"}], "settings"),
        ("name", 5, "name"),
        ("settings.limits.conn_idle", "long", "settings.limits.conn_idle"),
    ],
)
def test_an_invalid_key_is_named(path: str, value: Any, key: str) -> None:
    raw = platform()
    section = raw
    names = path.split(".")
    for name in names[:-1]:
        section = section[name]
    section[names[-1]] = value
    with pytest.raises(ConfigError, match=f"^{key}"):
        parse_config(raw, {})


def test_the_progress_file_is_validated(tmp_path: Any) -> None:
    path = tmp_path / "front.toml"
    for text, key in (
        ("[progress]\nenabled = 3", "enabled"),
        ("[progress]\nodd = 1", "odd"),
        ("x = 1", "front.x"),
        ("[progress]\nremember = -4", "remember"),
    ):
        path.write_text(text)
        with pytest.raises(ConfigError, match=key):
            load_progress(str(path))
    assert load_progress("deploy/progress.toml").enabled
    assert not load_progress(None).enabled
