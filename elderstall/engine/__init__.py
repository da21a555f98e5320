"""The engine: it owns jobs and attempts and keeps the rules; it knows no wire.

A front hands in jobs and is told their answers. A transport takes attempts to workers. The decisions
(``elderstall.decisions``) are fed events, and their actions are carried out, each checked against the rules.
"""

from elderstall.engine.engine import Engine
from elderstall.engine.jobs import RepeatedIdError, TooManyJobsError

__all__ = ["Engine", "RepeatedIdError", "TooManyJobsError"]
