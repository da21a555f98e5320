"""Open questions to a peer process of an upgrade."""

from __future__ import annotations

from collections.abc import Sequence

from twisted.internet.defer import Deferred

from elderstall.deadlines import Deadlines

QUESTION_TIMEOUT_MS = 300.0  # for the answer of the peer process; operators wait 1 s for a call's answer


class OpenQuestions:
    """The open questions of one link. The answer is no after a time-out or at the link's end."""

    def __init__(self, deadlines: Deadlines) -> None:
        self.deadlines = deadlines
        self.last_number = 0
        self.waiting: dict[int, Deferred[bool]] = {}

    def open(self) -> tuple[int, Deferred[bool]]:
        """Return a new question's number and the Deferred of its answer."""
        self.last_number += 1
        number = self.last_number
        answered = Deferred[bool]()
        self.waiting[number] = answered
        timer = self.deadlines.after(QUESTION_TIMEOUT_MS, self.answer, number, False)

        def cancel_timer(accepted: bool) -> bool:  # noqa: FBT001 - a Deferred's callback
            timer.cancel()
            return accepted

        answered.addCallback(cancel_timer)
        return number, answered

    def answer(self, number: int, accepted: bool) -> None:  # noqa: FBT001 - called by a timer
        """Resolve a question with its answer, if it is still open."""
        answered = self.waiting.pop(number, None)
        if answered is not None:
            answered.callback(accepted)

    def close(self) -> None:
        """Answer all open questions with no."""
        for number in list(self.waiting):
            self.answer(number, False)


def any_accepted(answers: Sequence[Deferred[bool]]) -> Deferred[bool]:
    """Return a Deferred that fires when all answers are known, with whether any of them is yes."""
    done = Deferred[bool]()
    if not answers:
        done.callback(False)
        return done
    received: list[bool] = []

    def count(accepted: bool) -> None:  # noqa: FBT001 - a Deferred's callback
        received.append(accepted)
        if len(received) == len(answers):
            done.callback(any(received))

    for answer in answers:
        answer.addCallback(count)
    return done
