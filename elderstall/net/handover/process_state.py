"""The state of the process that runs, as it hands it to the next one: a record with one codec.

The message's keys are fixed, as processes of two versions meet there. Times stay as the sender's shared clock
has written them, so that they compare with those in ``learned``; ``clock`` reads them.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from typing import Any

from elderstall.clocks import SharedClock


@dataclass(slots=True, frozen=True)
class ProcessState:
    """What a new process needs to go on. Times are as ``clock`` writes them, ms."""

    clock: SharedClock
    starts: Mapping[str, Sequence[float]]  # of workers: Unix ms by the list, and the reading for it
    endpoints: dict[str, Any] | None  # the list as discovery writes it; None where it was not sent
    discovery: str | None  # the address the list came from
    banned: Mapping[str, float]  # when each worker was banned
    bans_ended: Mapping[str, Sequence[float]]  # when each was banned, and when its ban ended
    request_ids: Sequence[str]  # of jobs that were taken: none of them is taken again
    streamed: Sequence[str]  # ids of jobs that must not run again for a client that connects anew
    learned: dict[str, Any] | None  # by the decisions, see `engine.learned_transfer`
    connections: int  # of clients, which the process that runs still has

    def encode(self) -> dict[str, Any]:
        """Write it as plain data for a message."""
        return {
            "clock": self.clock.encode(),
            "starts": self.starts,
            "known": self.endpoints,
            "discovery": self.discovery,
            "banned": self.banned,
            "back": self.bans_ended,
            "ids": self.request_ids,
            "begun": self.streamed,
            "learned": self.learned,
            "held": self.connections,
        }

    @classmethod
    def decode(cls, message: dict[str, Any], local_offset: float) -> ProcessState:
        """Read it from a message; raises KeyError where a key is missing that every version sends."""
        return cls(
            clock=SharedClock.of_message(message, local_offset),
            starts=message.get("starts", {}),
            endpoints=message.get("known"),
            discovery=message.get("discovery"),
            banned=message["banned"],
            bans_ended=message["back"],
            request_ids=message["ids"],
            streamed=message["begun"],
            learned=message.get("learned"),
            connections=message["held"],
        )
