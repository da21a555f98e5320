"""Tests of the components of the client side towards workers that use no socket."""

from __future__ import annotations

import pytest

from elderstall.interface import Ending
from elderstall.log import Log
from elderstall.messages import Outcome
from elderstall.net import http
from elderstall.net.upstream.keep_alive import MIN_DOUBLING_TIME_MS, MIN_IDLE_TIMEOUT_MS, KeepAlive
from elderstall.net.upstream.open_connections import MAX_CLOSING_CONNECTIONS, OpenConnections
from elderstall.net.upstream.request import WorkerRequest
from elderstall.net.upstream.responses import read_outcome, read_report

IDLE_LIMIT = 8_000.0
FIELDS = ("running", "waiting")


class Clock:
    """A clock that the test sets."""

    def __init__(self) -> None:
        self.time = 1_000_000.0

    def now(self) -> float:
        return self.time


def keep_alive_on(clock: Clock) -> KeepAlive:
    return KeepAlive(IDLE_LIMIT, clock.now, Log(clock.now))


class IdleConnection:
    """A connection that can be idle and can be closed."""

    def __init__(self, connections: OpenConnections[IdleConnection]) -> None:
        self.connections = connections
        self.number = connections.add(self)
        connections.idle[self] = None

    def close_idle(self) -> None:
        del self.connections.idle[self]
        self.connections.closing.add(self)


# ---- idle connections ----


def test_a_stale_connection_reduces_the_idle_timeout_which_grows_back() -> None:
    clock = Clock()
    keep_alive = keep_alive_on(clock)
    keep_alive.record_use(400.0)
    keep_alive.record_break("w", 400.0)
    assert keep_alive.idle_timeout == 200.0
    assert keep_alive.prefers_new_connections
    clock.time += MIN_DOUBLING_TIME_MS
    assert keep_alive.idle_timeout == 400.0
    clock.time += 10 * MIN_DOUBLING_TIME_MS
    assert keep_alive.idle_timeout == IDLE_LIMIT
    assert not keep_alive.prefers_new_connections


def test_a_second_stale_connection_soon_after_slows_the_growth() -> None:
    clock = Clock()
    keep_alive = keep_alive_on(clock)
    for idle_ms in (400.0, 100.0):
        keep_alive.record_use(idle_ms)
        keep_alive.record_break("w", idle_ms)
    assert (keep_alive.idle_timeout, keep_alive.doubling_time) == (50.0, 2 * MIN_DOUBLING_TIME_MS)


def test_the_idle_timeout_is_never_less_than_the_minimum() -> None:
    keep_alive = keep_alive_on(Clock())
    keep_alive.record_use(1.0)
    keep_alive.record_break("w", 1.0)
    assert keep_alive.idle_timeout == MIN_IDLE_TIMEOUT_MS


def test_the_idle_timeout_stays_if_new_connections_break_too() -> None:
    keep_alive = keep_alive_on(Clock())
    for idle_ms in (0.0, 400.0):
        keep_alive.record_use(idle_ms)
        keep_alive.record_break("w", idle_ms)
    assert keep_alive.idle_timeout == IDLE_LIMIT


# ---- number of connections ----


def test_opening_connections_count_and_the_longest_idle_one_is_closed_for_them() -> None:
    connections = OpenConnections["IdleConnection"](2)
    first = IdleConnection(connections)
    second = IdleConnection(connections)
    assert connections.make_room()
    assert (list(connections.idle), connections.closing) == ([second], {first})
    connections.opening += 1
    assert connections.make_room()
    assert not connections.idle
    connections.opening += 1
    assert not connections.make_room()


def test_only_a_few_connections_close_at_once_to_make_room() -> None:
    connections = OpenConnections["IdleConnection"](2 * MAX_CLOSING_CONNECTIONS)
    for _ in range(2 * MAX_CLOSING_CONNECTIONS):
        IdleConnection(connections)
    opened = 0
    while connections.make_room():
        connections.opening += 1
        opened += 1
    assert opened == len(connections.closing) == MAX_CLOSING_CONNECTIONS


# ---- requests and answers ----


def test_a_request_states_the_time_left_and_is_not_rendered_without_any() -> None:
    request = WorkerRequest("POST", "/jobs", "w:1", ends_at=1_000.0)
    data = request.render(600.0)
    assert data is not None
    assert b"X-Budget-Ms: 380\r\n" in data
    assert request.render(1_000.0) is None
    assert b"X-Budget-Ms" not in (WorkerRequest("GET", "/metrics/load", "w:1").render(1e9) or b"")


@pytest.mark.parametrize(
    ("load", "report"),
    [
        ({"running": 1, "waiting": 2.5, "more": "x"}, (1.0, 2.5)),
        ({"running": 1}, ()),
        ({"running": 1, "waiting": "2"}, ()),
        ({"running": 1, "waiting": 1e15}, ()),
        ([1, 2], ()),
        (None, ()),
    ],
)
def test_a_load_report_that_lacks_a_field_is_empty(load: object, report: tuple[float, ...]) -> None:
    assert read_report(load, FIELDS) == report


@pytest.mark.parametrize(
    ("status", "fields", "outcome"),
    [
        (503, [("X-Rejected", "1")], Outcome(Ending.FULL)),
        (504, [("X-Rejected", "1")], Outcome(Ending.FULL)),
        (503, [], Outcome(Ending.ERROR)),
        (500, [("X-Rejected", "1")], Outcome(Ending.ERROR)),
        (503, [("X-Rejected", "1"), ("X-Load-Report", "{")], Outcome(Ending.FULL)),
        (503, [("X-Rejected", "1"), ("X-Rejected", "1")], Outcome(Ending.ERROR)),
        (
            500,
            [("X-Load-Report", '{"running": 1, "waiting": 2}')],
            Outcome(Ending.ERROR, report=(1.0, 2.0)),
        ),
    ],
)
def test_only_a_503_or_504_with_x_rejected_means_a_full_worker(
    status: int, fields: list[tuple[str, str]], outcome: Outcome
) -> None:
    message = http.Message((1, 1), http.Headers(fields), status=status)
    assert read_outcome(message, FIELDS) == outcome
