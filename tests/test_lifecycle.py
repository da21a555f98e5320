"""The transition tables of jobs and attempts, and their copy in docs/architecture.md."""

from __future__ import annotations

import unittest
from pathlib import Path

from elderstall.engine.lifecycle import (
    ATTEMPT_TRANSITIONS,
    JOB_TRANSITIONS,
    AttemptEvent,
    AttemptState,
    IllegalTransitionError,
    JobEvent,
    JobState,
    as_markdown,
    next_state,
)

PAGE = Path(__file__).parent.parent / "docs" / "architecture.md"


class Tables(unittest.TestCase):
    """Transitions that the tables allow."""

    def test_the_architecture_page_contains_them(self) -> None:
        page = PAGE.read_text()
        self.assertIn(as_markdown(JOB_TRANSITIONS), page)
        self.assertIn(as_markdown(ATTEMPT_TRANSITIONS), page)

    def test_they_contain_every_state_and_event(self) -> None:
        for transitions, states, events in (
            (JOB_TRANSITIONS, JobState, JobEvent),
            (ATTEMPT_TRANSITIONS, AttemptState, AttemptEvent),
        ):
            self.assertEqual(set(states), {state for state, _ in transitions} | set(transitions.values()))
            self.assertEqual(set(events), {event for _, event in transitions})

    def test_closed_and_ended_are_final(self) -> None:
        for event in JobEvent:
            after = JOB_TRANSITIONS.get((JobState.CLOSED, event), JobState.CLOSED)
            self.assertIs(JobState.CLOSED, after)
        for attempt_event in AttemptEvent:
            ended = ATTEMPT_TRANSITIONS.get((AttemptState.ENDED, attempt_event), AttemptState.ENDED)
            self.assertIs(AttemptState.ENDED, ended)

    def test_a_closed_job_is_not_closed_a_second_time(self) -> None:
        """A second close would send a second final answer."""
        with self.assertRaises(IllegalTransitionError):
            next_state(JOB_TRANSITIONS, JobState.CLOSED, JobEvent.CLOSED)

    def test_an_attempt_starts_only_if_none_is_in_flight_and_no_cancel_is_pending(self) -> None:
        allowed = {state for state, event in JOB_TRANSITIONS if event is JobEvent.FORWARDED}
        self.assertEqual({JobState.PENDING}, allowed)


if __name__ == "__main__":
    unittest.main()
