"""Questions to the other process of an upgrade that wait for their answers."""

from __future__ import annotations

from collections.abc import Sequence

from twisted.internet.defer import Deferred

from elderstall.deadlines import Deadlines

QUESTION_TIMEOUT = 300.0  # ms for the other process's answer; operators wait 1 s for theirs


class OpenQuestions:
    """The questions of one link. Without an answer in time, or at the link's end, the answer is no."""

    def __init__(self, deadlines: Deadlines) -> None:
        self.deadlines = deadlines
        self.count = 0
        self.waiting: dict[int, Deferred[bool]] = {}

    def open(self) -> tuple[int, Deferred[bool]]:
        """Give a new question's number, and what its answer comes to."""
        self.count += 1
        number, answered = self.count, Deferred[bool]()
        self.waiting[number] = answered
        timer = self.deadlines.after(QUESTION_TIMEOUT, self.answer, number, False)

        def cancel_timer(accepted: bool) -> bool:  # noqa: FBT001 - a Deferred's callback
            timer.cancel()
            return accepted

        answered.addCallback(cancel_timer)
        return number, answered

    def answer(self, number: int, accepted: bool) -> None:  # noqa: FBT001 - called by a timer
        """Pass an answer on, if it is still waited for."""
        answered = self.waiting.pop(number, None)
        if answered is not None:
            answered.callback(accepted)

    def close(self) -> None:
        """Answer what still waits with no."""
        for number in list(self.waiting):
            self.answer(number, False)


def any_accepted(answers: Sequence[Deferred[bool]]) -> Deferred[bool]:
    """Give, once all answers are there, whether one of them is yes."""
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
