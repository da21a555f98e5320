"""The adapter: the wire in, the wire out, and plain words about what is malformed."""

from __future__ import annotations

import io
import json
import subprocess
import sys
from typing import Any

import pytest

from elderstall.benchlink import Host, WireError

CONF: dict[str, Any] = {
    "balancers": 2,
    "locality": "a",
    "surprise": 1,
    "discovery": "subscribe",
    "classes": [{"name": "c", "points": 1, "aim": 100, "deadline": 900, "effect": "safe", "odd": 2}],
}
START = [
    {"m": "BeginBatch", "time": 10.0, "serial": 1},
    {"m": "NewInstance", "who": 3, "salt": 5, "conf": CONF},
    {"m": "Roster", "slot": 0, "items": [{"worker": "w", "lifecycle": "IN", "cluster": 0, "new": 1}]},
    {"m": "Members", "who": 3, "scope": "Persisted", "generation": 1, "slot": 0},
]
REQUEST = {"m": "Request", "who": 3, "id": 2**50, "priority": "c", "budget": 900}
DONE = {"m": "OverToYou"}


def play(messages: list[Any]) -> list[dict[str, Any]]:
    out = io.StringIO()
    Host(out).run(m if isinstance(m, str) else json.dumps(m) for m in messages)
    return [json.loads(line) for line in out.getvalue().splitlines()]


def test_a_request_is_sent_and_the_batch_yielded() -> None:
    replies = play([*START, REQUEST, DONE])
    assert {"who": 3, "m": "Follow", "want": True} in replies
    assert {"who": 3, "m": "Issue", "id": 2**50, "worker": "w", "try_for": 900.0} in replies
    assert replies[-1] == {"m": "Yield", "serial": 1}


def test_a_killed_instance_says_nothing_more() -> None:
    replies = play([*START, {"m": "Kill", "who": 3}, REQUEST, DONE])
    assert not [r for r in replies if r["m"] == "Issue"]


def test_two_instances_share_nothing() -> None:
    other = [dict(m, who=4) if "who" in m else m for m in START[1:]]
    replies = play([*START, *other, REQUEST, dict(REQUEST, who=4), DONE])
    assert [r["who"] for r in replies if r["m"] == "Issue"] == [3, 4]


@pytest.mark.parametrize(
    "bad,word",
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
def test_malformed_input_is_named(bad: Any, word: str) -> None:
    with pytest.raises(WireError, match=word):
        play([*START, bad])


def test_the_process_ends_with_a_plain_message() -> None:
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


def test_the_process_ends_quietly_with_its_input() -> None:
    text = "".join(json.dumps(m) + "\n" for m in [*START, REQUEST, DONE])
    run = subprocess.run(
        [sys.executable, "-m", "elderstall.benchlink"],
        input=text,
        text=True,
        capture_output=True,
        check=False,
    )
    assert (run.returncode, run.stderr) == (0, "")
