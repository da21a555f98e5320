"""A real dispatcher with simulated workers on sockets; executions are counted at the workers."""

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
    figures = trial("none")
    assert Counter(figures["statuses"])[200] > 0 and set(figures["statuses"]) <= {200, 503}
    assert len(figures["statuses"]) == 60
    assert figures["runs"] == figures["jobs"] == figures["statuses"].count(200) and not figures["broken"]
    assert figures["call_backs"]["n1"]["failed"] == figures["call_backs"]["n1"]["dropped"] == 0


@pytest.mark.parametrize("fault", ["restart", "pause", "drain", "vanish"])
def test_with_a_fault_all_are_answered_and_nothing_unsafe_runs_twice(fault: str) -> None:
    figures = trial(fault)
    assert len(figures["statuses"]) == 60 and not figures["broken"] and not figures["fallen"]
    assert figures["statuses"].count(200) > 20
