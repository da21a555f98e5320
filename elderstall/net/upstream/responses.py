"""Parsing of workers' answers: load reports, and the outcome of an attempt that an answer ends."""

from __future__ import annotations

import json

from elderstall.interface import Ending
from elderstall.messages import Outcome
from elderstall.net import http

MAX_REPORT_VALUE = 1e15  # a larger value in a load report is an error of the worker

LoadReport = tuple[float, ...]  # in the order of the settings' fields


def read_report(load: object, fields: tuple[str, ...]) -> LoadReport:
    """Return a load report's values in the order of ``fields``; empty if any of them is missing."""
    if not isinstance(load, dict):
        return ()
    values = [load.get(name) for name in fields]
    if not all(isinstance(value, int | float) and abs(value) < MAX_REPORT_VALUE for value in values):
        return ()
    return tuple(float(value) for value in values if value is not None)


def read_outcome(message: http.Message, fields: tuple[str, ...]) -> Outcome:
    """Return the outcome that an answer which ends an attempt stands for in the protocol's table."""
    report: LoadReport = ()
    try:
        text = message.headers.get("X-Load-Report")
        report = read_report(json.loads(text), fields) if text else ()
        rejected = message.headers.get("X-Rejected") == "1"
    except (ValueError, RecursionError, http.MessageError):
        rejected = message.headers.all("X-Rejected") == ["1"]
    if message.status in (503, 504) and rejected:
        return Outcome(Ending.FULL, report=report)
    return Outcome(Ending.ERROR, report=report)
