"""The connection to a peer process of an upgrade: a Unix socket that carries messages and descriptors."""

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
from elderstall.net.handover.framing import MessageReader, Received, UnconfirmedDescriptor
from elderstall.net.handover.messages import (
    ConnectionTransfer,
    Envelope,
    Got,
    Message,
    Question,
    QuestionAnswer,
    encode,
)
from elderstall.net.handover.questions import OpenQuestions

READ_TIMEOUT_MS = 5_000.0  # for which the peer process may leave written data unread

# Errors of malformed or unknown messages, and some failures while handling them, after which pending
# confirmations are written before the link is closed. After any other exception, such as AssertionError or
# RequestError, Twisted closes the link at once.
LINK_ERRORS = (ValueError, KeyError, TypeError, IndexError, AttributeError, OSError)


class LinkOwner(Protocol):
    """The owner of a link, which handles its events."""

    deadlines: Deadlines
    log: Log
    closed: bool  # this process is ending: no connection returns to it

    def link_opened(self, link: Link) -> None:
        """Record a new link."""

    def link_removed(self, link: Link) -> None:
        """Remove a link, before its open questions are answered with no."""

    def link_closed(self, link: Link) -> None:
        """Handle the end of a link, as its process ended or as either side closed it."""

    def message_received(self, link: Link, received: Received) -> None:
        """Handle a message."""

    def descriptor_confirmed(self) -> None:
        """Handle a confirmed descriptor: one more may be sent."""

    def connection_returned(self, descriptor: int, transfer: ConnectionTransfer) -> None:
        """Resume serving a connection that the peer process has not received."""


@implementer(IFileDescriptorReceiver, IPushProducer)
class Link(TwistedProtocol):
    """The connection to one peer process."""

    transport: Any  # IUNIXTransport, as zope's interfaces say nothing to mypy

    def __init__(self, owner: LinkOwner) -> None:
        self.owner = owner
        self.reader = MessageReader()
        self.questions = OpenQuestions(owner.deadlines)
        self.unconfirmed: deque[UnconfirmedDescriptor] = deque()  # oldest first
        self.is_successor = False  # the peer process is a new one that has requested a hand-over
        self.serving = False  # the peer process accepts clients; this one hands over
        self.is_unresponsive = False  # the peer process is alive but does not read
        self.read_timer: Deadline | None = None  # runs while the peer process does not read

    def connectionMade(self) -> None:  # noqa: N802, D102
        self.owner.link_opened(self)
        self.transport.registerProducer(self, True)

    def pauseProducing(self) -> None:  # noqa: N802
        """Start the time-out of a process that does not read, as unread data waits in memory."""
        self.read_timer = self.owner.deadlines.after(READ_TIMEOUT_MS, self.abort_unresponsive)

    def resumeProducing(self) -> None:  # noqa: N802
        """Cancel the time-out, as the peer process reads again."""
        if self.read_timer is not None:
            self.read_timer.cancel()

    def stopProducing(self) -> None:  # noqa: N802, D102
        pass

    def abort_unresponsive(self) -> None:
        """Abort the link to a process that does not read; this one continues to serve."""
        self.owner.log.write("handover", "the other process does not read; closing the link to it")
        self.is_unresponsive = True
        self.transport.abortConnection()

    def fileDescriptorReceived(self, descriptor: int) -> None:  # noqa: N802, D102
        self.reader.descriptors.append(descriptor)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802, D102
        try:
            for received in self.reader.received(data):
                self.message_received(received)
        except LINK_ERRORS as error:
            self.owner.log.failure("link", error)
            # Confirmations are written first; else the peer process would take back a connection served here.
            self.transport.unregisterProducer()
            self.transport.loseConnection()

    def message_received(self, received: Received) -> None:
        """Handle answers and confirmations here; pass other messages to the owner."""
        match received.envelope.message:
            case QuestionAnswer(number, accepted):
                self.questions.answer(number, accepted)
            case Got():
                os.close(self.unconfirmed.popleft().descriptor)
                self.owner.descriptor_confirmed()
            case _:
                self.owner.message_received(self, received)

    def send(self, message: Message, *, number: int | None = None) -> None:
        """Send a message, which is a question if it has a number."""
        self.transport.write(encode(Envelope(message, number)))

    def send_descriptor(self, message: Message, descriptor: int) -> None:
        """Send a message with a descriptor, which the link closes once the peer process has confirmed it."""
        self.unconfirmed.append(UnconfirmedDescriptor(descriptor, message))
        self.transport.sendFileDescriptor(descriptor)
        self.transport.write(encode(Envelope(message, has_descriptor=True)))

    def ask(self, question: Question) -> Deferred[bool]:
        """Ask the peer process a question; the result is False if it does not answer."""
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
            # A process that ended confirmed what it received; an unresponsive one may still receive the rest.
            returns = not self.is_unresponsive and not self.owner.closed
            if returns and isinstance(sent.message, ConnectionTransfer):
                self.owner.connection_returned(sent.descriptor, sent.message)
            else:
                os.close(sent.descriptor)
        self.unconfirmed.clear()
