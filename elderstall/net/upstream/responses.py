"""Parsing of workers' answers: load reports, and the outcome of an attempt that an answer ends."""

from __future__ import annotations

import json

from elderstall.interface import Ending
from elderstall.messages import Outcome
from elderstall.net import http

MAX_REPORT_VALUE = 1e15  # a report with a value this large, infinite or NaN is ignored

LoadReport = tuple[float, ...]  # in the order of the settings' fields


def read_report(load: object, fields: tuple[str, ...]) -> LoadReport:
    """Return a load report's values in the order of ``fields``; empty if one is not a valid number."""
    if not isinstance(load, dict):
        return ()
    values = [load.get(name) for name in fields]
    if not all(isinstance(value, int | float) and abs(value) < MAX_REPORT_VALUE for value in values):
        return ()
    return tuple(float(value) for value in values if value is not None)


def read_outcome(message: http.Message, fields: tuple[str, ...]) -> Outcome:
    """Return the outcome of an attempt that an answer ends.

    FULL for a 503 or a 504 with ``X-Rejected: 1``, ERROR for all others.
    """
    report: LoadReport = ()
    try:
        text = message.headers.get("X-Load-Report")
        report = read_report(json.loads(text), fields) if text else ()
        rejected = message.headers.get("X-Rejected") == "1"
    except (ValueError, RecursionError, http.MessageError):
        # A malformed or repeated load report does not hide a rejection; a repeated X-Rejected is none.
        rejected = message.headers.all("X-Rejected") == ["1"]
    if message.status in (503, 504) and rejected:
        return Outcome(Ending.FULL, report=report)
    return Outcome(Ending.ERROR, report=report)
