"""The connection to the other process of an upgrade: a Unix socket that carries messages and descriptors."""

from __future__ import annotations

import os
from collections import deque
from typing import Any, Protocol

from twisted.internet.defer import Deferred
from twisted.internet.interfaces import IFileDescriptorReceiver, IPushProducer
from twisted.internet.protocol import Protocol as TwistedProtocol
from twisted.internet.protocol import connectionDone
from twisted.python.failure import Failure
from zope.interface import implementer

from elderstall.deadlines import Deadline, Deadlines
from elderstall.log import Log
from elderstall.net.handover.framing import MessageReader, Received, Unconfirmed
from elderstall.net.handover.messages import (
    Answer,
    ConnectionTransfer,
    Envelope,
    Got,
    Message,
    Question,
    encode,
)
from elderstall.net.handover.questions import OpenQuestions

READ_TIMEOUT = 5_000.0  # ms for which the other process may leave what is written to it unread

# What ends a link: messages that are malformed or unknown, and what fails as they are acted on.
LINK_ERRORS = (ValueError, KeyError, TypeError, IndexError, AttributeError, OSError)


class LinkOwner(Protocol):
    """What a link needs of the one that holds it."""

    deadlines: Deadlines
    log: Log
    closed: bool  # this process ends: nothing comes back to it

    def link_opened(self, link: Link) -> None:
        """Note a new link."""

    def link_removed(self, link: Link) -> None:
        """Count a link no more: its questions are answered next."""

    def link_closed(self, link: Link) -> None:
        """Note that the other process is gone."""

    def message_received(self, link: Link, received: Received) -> None:
        """Act on a message."""

    def descriptor_confirmed(self) -> None:
        """Note that one more descriptor may be sent."""

    def connection_returned(self, descriptor: int, transfer: ConnectionTransfer) -> None:
        """Serve on with a connection that the other process has not taken."""


@implementer(IFileDescriptorReceiver, IPushProducer)
class Link(TwistedProtocol):
    """The connection to one other process."""

    transport: Any  # IUNIXTransport, as zope's interfaces say nothing to mypy

    def __init__(self, owner: LinkOwner) -> None:
        self.owner = owner
        self.reader = MessageReader()
        self.questions = OpenQuestions(owner.deadlines)
        self.unconfirmed: deque[Unconfirmed] = deque()  # the oldest first
        self.is_successor = False  # the other is the new one, and has asked
        self.serving = False  # the new one accepts; the old one hands over
        self.given_up = False  # the other process lives, but does not read
        self.read_timer: Deadline | None = None  # runs while the other does not read

    def connectionMade(self) -> None:  # noqa: N802, D102
        self.owner.link_opened(self)
        self.transport.registerProducer(self, True)

    def pauseProducing(self) -> None:  # noqa: N802
        """Limit for how long the other may read nothing: what is written to it waits in memory."""
        self.read_timer = self.owner.deadlines.after(READ_TIMEOUT, self.give_up)

    def resumeProducing(self) -> None:  # noqa: N802
        """Note that the other reads on."""
        if self.read_timer is not None:
            self.read_timer.cancel()

    def stopProducing(self) -> None:  # noqa: N802, D102
        pass

    def give_up(self) -> None:
        """Give up on a process that reads nothing: this one serves on by itself."""
        self.owner.log.write("handover", "the other process does not read")
        self.given_up = True
        self.transport.abortConnection()

    def fileDescriptorReceived(self, descriptor: int) -> None:  # noqa: N802, D102
        self.reader.descriptors.append(descriptor)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802, D102
        try:
            for received in self.reader.received(data):
                self.message_received(received)
        except LINK_ERRORS as error:
            self.owner.log.failure("link", error)
            # What was confirmed is written first: the other would take back a connection served here.
            self.transport.unregisterProducer()
            self.transport.loseConnection()

    def message_received(self, received: Received) -> None:
        """Act on a message: answers and confirmations here, the others at the owner."""
        match received.envelope.message:
            case Answer(number, accepted):
                self.questions.answer(number, accepted)
            case Got():
                os.close(self.unconfirmed.popleft().descriptor)
                self.owner.descriptor_confirmed()
            case _:
                self.owner.message_received(self, received)

    def send(self, message: Message, *, number: int | None = None) -> None:
        """Send a message; with a number it is a question."""
        self.transport.write(encode(Envelope(message, number)))

    def send_descriptor(self, message: Message, descriptor: int) -> None:
        """Send a message with a descriptor: it is the link's, which closes it once the other has it."""
        self.unconfirmed.append(Unconfirmed(descriptor, message))
        self.transport.sendFileDescriptor(descriptor)
        self.transport.write(encode(Envelope(message, has_descriptor=True)))

    def ask(self, question: Question) -> Deferred[bool]:
        """Ask for the other process's yes or no; without an answer it is a no."""
        number, answered = self.questions.open()
        self.send(question, number=number)
        return answered

    def connectionLost(self, reason: Failure = connectionDone) -> None:  # noqa: N802, D102
        self.owner.link_removed(self)
        self.resumeProducing()
        self.reader.close()
        self.questions.close()
        self.owner.link_closed(self)
        for sent in self.unconfirmed:
            # A process that has ended confirmed what it took. One that does not read may yet take the rest.
            returns = not self.given_up and not self.owner.closed
            if returns and isinstance(sent.message, ConnectionTransfer):
                self.owner.connection_returned(sent.descriptor, sent.message)
            else:
                os.close(sent.descriptor)
        self.unconfirmed.clear()
