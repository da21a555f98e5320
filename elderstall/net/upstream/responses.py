"""Reading of workers' answers: load reports, and how an answer ends an attempt."""

from __future__ import annotations

import json

from elderstall.interface import Ending
from elderstall.messages import Outcome
from elderstall.net import http

LARGEST_VALUE = 1e15  # of a load report's field; anything larger is an error of its writer

LoadReport = tuple[float, ...]  # in the order of the settings' fields


def read_report(load: object, fields: tuple[str, ...]) -> LoadReport:
    """Read a load report in the order of ``fields``; one that lacks any of them is empty."""
    if not isinstance(load, dict):
        return ()
    values = [load.get(name) for name in fields]
    if not all(isinstance(value, int | float) and abs(value) < LARGEST_VALUE for value in values):
        return ()
    return tuple(float(value) for value in values if value is not None)


def read_outcome(message: http.Message, fields: tuple[str, ...]) -> Outcome:
    """Read an answer that ends an attempt, by the protocol's table."""
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
