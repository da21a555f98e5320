"""The adapter to the simulator: translation of messages, and errors that name malformed input."""

from __future__ import annotations

import io
import json
import subprocess
import sys
from typing import Any

import pytest

from elderstall.benchlink import SimulatorAdapter, WireError

SETTINGS: dict[str, Any] = {
    "balancers": 2,
    "locality": "a",
    "surprise": 1,
    "discovery": "subscribe",
    "classes": [{"name": "c", "points": 1, "aim": 100, "deadline": 900, "effect": "safe", "odd": 2}],
}
START = [
    {"m": "BeginBatch", "time": 10.0, "serial": 1},
    {"m": "NewInstance", "who": 3, "salt": 5, "conf": SETTINGS},
    {"m": "Roster", "slot": 0, "items": [{"worker": "w", "lifecycle": "IN", "cluster": 0, "new": 1}]},
    {"m": "Members", "who": 3, "scope": "Persisted", "generation": 1, "slot": 0},
]
REQUEST = {"m": "Request", "who": 3, "id": 2**50, "priority": "c", "budget": 900}
DONE = {"m": "OverToYou"}


def run_host(messages: list[Any]) -> list[dict[str, Any]]:
    out = io.StringIO()
    SimulatorAdapter(out).run(m if isinstance(m, str) else json.dumps(m) for m in messages)
    return [json.loads(line) for line in out.getvalue().splitlines()]


def test_a_request_is_sent_and_the_batch_yielded() -> None:
    replies = run_host([*START, REQUEST, DONE])
    assert {"who": 3, "m": "Follow", "want": True} in replies
    assert {"who": 3, "m": "Issue", "id": 2**50, "worker": "w", "try_for": 900.0} in replies
    assert replies[-1] == {"m": "Yield", "serial": 1}


def test_a_killed_instance_sends_nothing_more() -> None:
    replies = run_host([*START, {"m": "Kill", "who": 3}, REQUEST, DONE])
    assert not [r for r in replies if r["m"] == "Issue"]


def test_two_instances_share_nothing() -> None:
    other = [dict(m, who=4) if "who" in m else m for m in START[1:]]
    replies = run_host([*START, *other, REQUEST, dict(REQUEST, who=4), DONE])
    assert [r["who"] for r in replies if r["m"] == "Issue"] == [3, 4]


@pytest.mark.parametrize(
    "malformed,word",
    [
        ("{oops", "malformed JSON"),
        ("[1]", "object"),
        ({"m": "Whatever"}, "Whatever"),
        ({"m": "Request", "who": 3}, "'id'"),
        ({"m": "NewInstance", "who": 1, "salt": 1, "conf": {}}, "classes"),
        (
            {"m": "Resolved", "who": 3, "id": 1, "send_no": 0, "worker": "w", "ending": "odd", "terminal": 0},
            "odd",
        ),
    ],
)
def test_the_error_names_the_malformed_input(malformed: Any, word: str) -> None:
    with pytest.raises(WireError, match=word):
        run_host([*START, malformed])


def test_an_unknown_event_ends_the_process_with_one_message() -> None:
    run = subprocess.run(
        [sys.executable, "-m", "elderstall.benchlink"],
        input='{"m":"Nope"}\n',
        text=True,
        capture_output=True,
        check=False,
    )
    assert run.returncode != 0
    assert run.stdout == ""
    assert run.stderr.strip() == "benchlink: unknown event: 'Nope'"


def test_the_process_ends_without_errors_at_the_end_of_its_input() -> None:
    text = "".join(json.dumps(m) + "\n" for m in [*START, REQUEST, DONE])
    run = subprocess.run(
        [sys.executable, "-m", "elderstall.benchlink"],
        input=text,
        text=True,
        capture_output=True,
        check=False,
    )
    assert (run.returncode, run.stderr) == (0, "")
