"""Export of a process's state in an upgrade, and its import by the successor."""

from __future__ import annotations

from collections.abc import Iterable

from elderstall.deadlines import Deadlines
from elderstall.engine import Engine
from elderstall.engine.learned_transfer import decode_learned, encode_learned
from elderstall.interface import Endpoint
from elderstall.net.discovery import Discovery, encode_list
from elderstall.net.handover.process_state import ProcessState
from elderstall.net.server.listener import Server


class StateTransfer:
    """Exports the state of this process, and imports that of its predecessor."""

    def __init__(self, deadlines: Deadlines, engine: Engine, discovery: Discovery, server: Server) -> None:
        self.deadlines = deadlines
        self.engine = engine
        self.discovery = discovery
        self.server = server

    def export_state(self, discovery_address: str) -> ProcessState:
        """Return the state of this process for its successor."""
        view = self.engine.view
        clock = self.deadlines.shared()
        return ProcessState(
            clock=clock,
            starts=self.discovery.starts.encode(clock),
            endpoints=encode_list(self.discovery.index, view.entries.values(), self.discovery.addresses),
            discovery=discovery_address,
            banned={worker: clock.encode_reading(since) for worker, since in view.banned.items()},
            bans_ended={
                worker: (clock.encode_reading(since), clock.encode_reading(until))
                for worker, (since, until) in view.ended_bans.items()
            },
            request_ids=self.engine.jobs.known_ids,
            streamed=self.server.streamed_ids(),
            learned=encode_learned(self.engine.decisions.learned(), view, clock),
            connections=len(self.server.connections),
        )

    def import_state(self, state: ProcessState) -> None:
        """Import the predecessor's state, except what it has learned, which needs the endpoint list."""
        view = self.engine.view
        clock = state.clock
        view.banned.update((worker, clock.decode_reading(since)) for worker, since in state.banned.items())
        view.ended_bans.update(
            (worker, (clock.decode_reading(since), clock.decode_reading(until)))
            for worker, (since, until) in state.bans_ended.items()
        )
        self.discovery.starts.inherit(state.starts, clock)
        for request_id in state.request_ids:
            self.engine.jobs.taken_by_other_process.add(request_id)
        self.server.inherit_streamed_ids(list(state.streamed))
        self.server.peer_process_connections = state.connections

    def read_learned(self, state: ProcessState, entries: Iterable[Endpoint]) -> None:
        """Import what the predecessor has learned of the listed endpoints; decode ``learned`` in place."""
        if state.learned is not None:
            decode_learned(state.learned, entries, state.bans_ended, self.engine.view, state.clock)
