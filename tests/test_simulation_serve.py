"""The worker model on sockets: a real dispatcher among stand-in workers, with runs counted at the workers."""

from __future__ import annotations

import json
import subprocess
import sys
from collections import Counter
from pathlib import Path
from typing import Any

import pytest

ROOT = Path(__file__).parent.parent


def trial(fault: str) -> dict[str, Any]:
    done = subprocess.run(
        [sys.executable, "-m", "tests.serve_trial", fault],
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=120,
    )
    assert done.returncode == 0, done.stderr
    assert "Traceback" not in done.stderr and " bug " not in done.stderr, done.stderr
    figures: dict[str, Any] = json.loads(done.stdout.splitlines()[-1])
    return figures


def test_every_job_is_served_and_runs_once() -> None:
    told = trial("none")
    assert Counter(told["statuses"])[200] > 0 and set(told["statuses"]) <= {200, 503}
    assert len(told["statuses"]) == 60
    assert told["runs"] == told["jobs"] == told["statuses"].count(200) and not told["broken"]
    assert told["call_backs"]["n1"]["failed"] == told["call_backs"]["n1"]["dropped"] == 0


@pytest.mark.parametrize("fault", ["restart", "pause", "drain", "vanish"])
def test_with_trouble_all_are_answered_and_nothing_unsafe_runs_twice(fault: str) -> None:
    told = trial(fault)
    assert len(told["statuses"]) == 60 and not told["broken"] and not told["fallen"]
    assert told["statuses"].count(200) > 20
