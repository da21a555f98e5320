"""The state that a running process hands over to its successor: a record with one codec.

The message's keys are fixed, as the processes may run different releases of the program. Some differ from the
fields: "known" holds ``endpoints``, "back" ``bans_ended``, "ids" ``request_ids``, "begun" ``streamed`` and
"held" ``connections``. Times stay as encoded by the sender's shared clock, so that they compare with those in
``learned``; ``clock`` decodes them.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from typing import Any

from elderstall.clocks import SharedClock


@dataclass(slots=True, frozen=True)
class ProcessState:
    """The state that a new process continues from. Times are as encoded by ``clock``, ms."""

    clock: SharedClock
    # By worker: its start in Unix time from the endpoint list, ms, and as a reading of ``clock``.
    starts: Mapping[str, Sequence[float]]
    endpoints: dict[str, Any] | None  # the endpoint list as discovery encodes it; None if not sent
    discovery: str | None  # the address that the list came from
    banned: Mapping[str, float]  # when each worker was banned
    bans_ended: Mapping[str, Sequence[float]]  # when each was banned, and when its ban ended
    request_ids: Sequence[str]  # of accepted jobs; none of them is accepted again
    streamed: Sequence[str]  # ids of jobs that must not run again when a client reconnects
    learned: dict[str, Any] | None  # of the decisions, see `engine.learned_transfer`
    connections: int  # open connections of the running process

    def encode(self) -> dict[str, Any]:
        """Return the state as the fields of a message."""
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
        """Return the state of a message; raises KeyError if a key that every version sends is missing."""
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
