"""The engine: owns jobs and attempts and enforces the rules, independently of any wire protocol.

A listener submits jobs and receives their answers. A transport sends attempts to workers. The engine feeds
events to the decisions (``elderstall.decisions``) and carries out their actions, each checked against the
rules.
"""

from elderstall.engine.engine import Engine
from elderstall.engine.jobs import RepeatedIdError, TooManyJobsError

__all__ = ["Engine", "RepeatedIdError", "TooManyJobsError"]
