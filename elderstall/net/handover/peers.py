"""Rendezvous of the processes of an upgrade, and which of them serves the listening socket.

They connect through a Unix socket in the dispatcher's own folder. A new process requests the hand-over from
the one that listens there. If an upgrade starts before the previous one is over, there are three processes.
"""

from __future__ import annotations

import os
from typing import Any, Protocol, cast

from twisted.internet.defer import Deferred
from twisted.internet.protocol import Factory

from elderstall.deadlines import Deadlines
from elderstall.log import Log
from elderstall.net.handover.framing import Received
from elderstall.net.handover.link import Link
from elderstall.net.handover.messages import (
    VERSION,
    Busy,
    ConnectionTransfer,
    Got,
    Hello,
    Message,
    ProgramMessage,
    Question,
    QuestionAnswer,
    Released,
    Serving,
    State,
)
from elderstall.net.handover.questions import any_accepted
from elderstall.net.handover.search import Offer, PredecessorSearch, is_path_too_long

MAX_UNCONFIRMED_DESCRIPTORS = 32  # sent and not confirmed yet; each is open in both processes


class HandoverDelegate(Protocol):
    """The handler of the messages that are not about the listening socket, see `elderstall.upgrade`."""

    def make_offer(self) -> Offer:
        """Return the offer for a new process, with a copy of the listener's descriptor for it to close."""

    def message_received(self, message: ProgramMessage, descriptor: int | None) -> bool:
        """Handle a message; return the answer if it is a question."""

    def links_changed(self) -> None:
        """Adapt limits and accepting to the connected peer processes."""

    def descriptor_confirmed(self) -> None:
        """Handle a confirmed descriptor: one more connection may be sent."""

    def connection_returned(self, descriptor: int, transfer: ConnectionTransfer) -> None:
        """Resume serving a connection that the peer process has not received."""


class Handover(Factory):
    """Requests a hand-over from the running process, and listens for the next one."""

    noisy = False

    def __init__(self, deadlines: Deadlines, log: Log, reactor: Any, folder: str, name: str) -> None:
        self.deadlines = deadlines
        self.log = log
        self.reactor = reactor
        self.path = os.path.join(folder, f"{name}.sock")
        self.links: list[Link] = []
        self.port: Any = None  # listens for the next process
        self.closed = False
        self.is_path_available = True  # no other process listens at the path
        self.predecessor: Link | None = None  # to the process that hands over to this one
        self.search = PredecessorSearch(deadlines, log, reactor, self, self.predecessor_found)
        self.delegate: HandoverDelegate  # set by the delegate itself

    def buildProtocol(self, addr: object) -> Link:  # noqa: N802, D102
        return Link(self)

    def find(self) -> Deferred[Offer | None]:
        """Request a hand-over; the result is the running process's offer, or None if there is none.

        Fails with TimeoutError if a process is running but does not hand over.
        """
        return self.search.begin(self.path)

    def predecessor_found(self, link: Link) -> None:
        """Record the link to the process that the hand-over is requested from."""
        self.predecessor = link
        self.is_path_available = False

    # ---- messages ----

    def message_received(self, link: Link, received: Received) -> None:
        """Handle the messages about the listening socket; pass the others to the delegate."""
        match received.envelope.message:
            case Hello(version):
                self.offer(link, version)
            case Busy():
                link.transport.loseConnection()
            case State(fields):
                assert received.descriptor is not None
                link.send(Got())
                self.search.settle(Offer(fields, received.descriptor))
            case Serving():
                self.release(link)
            case Released():
                self.is_path_available = True
                self.listen()
            case message:
                self.delegate_message(link, cast("ProgramMessage", message), received)

    def delegate_message(self, link: Link, message: ProgramMessage, received: Received) -> None:
        """Pass a message to the delegate; a question is forwarded to a third process too, and answered."""
        accepted = self.delegate.message_received(message, received.descriptor)
        if received.descriptor is not None:
            link.send(Got())
        number = received.envelope.number
        if number is not None:
            others = self.ask_others(cast("Question", message), asker=link)
            others.addCallback(lambda yes: link.send(QuestionAnswer(number, accepted or yes)))

    def offer(self, link: Link, version: object) -> None:
        """Send the offer to a new process, or Busy if there is another successor or the version differs."""
        if version != VERSION or any(other.is_successor for other in self.links):
            link.send(Busy())
            return
        link.is_successor = True
        offer = self.delegate.make_offer()
        link.send_descriptor(State(offer.state), offer.listener)
        self.log.write("handover", "a new process asks for the listener")
        self.delegate.links_changed()

    def release(self, link: Link) -> None:
        """Leave accepting and the path of the Unix socket to a new process that serves."""
        self.log.write("handover", "a new process accepts clients; handing over connections to it")
        link.serving = True
        self.stop_listening().addBoth(lambda _: link.send(Released()))
        self.delegate.links_changed()

    # ---- the Unix socket ----

    def listen(self) -> None:
        """Listen for the next process, replacing a dead one's socket; a failure only prevents upgrades."""
        if self.port is not None or not self.is_path_available or is_path_too_long(self.path):
            return
        try:
            if os.path.exists(self.path):
                os.unlink(self.path)
            self.port = self.reactor.listenUNIX(self.path, self, mode=0o600)
        except Exception as error:
            self.log.write("handover", f"no next process can take over: {error}")

    def stop_listening(self) -> Deferred[None]:
        """Stop listening, so that the next process connects to the one that serves now."""
        port = self.port
        self.port = None
        done = Deferred[None]()
        if port is None:
            done.callback(None)
            return done
        return cast("Deferred[None]", port.stopListening())

    def close(self) -> None:
        """Ignore the ends of links from now on, as this process is ending.

        Otherwise this process would replace the socket of the process that serves.
        """
        self.closed = True

    # ---- the other processes ----

    def is_established(self, link: Link) -> bool:
        """Return whether a link counts as one to another process of this dispatcher.

        A successor counts from its request on, a predecessor from the end of the search on, even
        if that timed out.
        """
        return link.is_successor or (link is self.predecessor and not self.search.is_active)

    @property
    def others(self) -> list[Link]:
        """The links to the dispatcher's other processes."""
        return [link for link in self.links if self.is_established(link)]

    @property
    def successor(self) -> Link | None:
        """The link to the process that serves instead of this one, or None."""
        return next((link for link in self.links if link.serving), None)

    def ask_others(self, question: Question, asker: Link | None = None) -> Deferred[bool]:
        """Ask every other process except the asker; the result is whether any answers yes."""
        return any_accepted([link.ask(question) for link in self.others if link is not asker])

    def announce(self, message: Message) -> None:
        """Send a message to every other process."""
        for link in self.others:
            link.send(message)

    def send_connection(self, descriptor: int, transfer: ConnectionTransfer) -> bool:
        """Send a connection to the successor; return False if there is none."""
        successor = self.successor
        if successor is None:
            return False
        successor.send_descriptor(transfer, descriptor)
        return True

    @property
    def can_send_connection(self) -> bool:
        """Whether there is a successor and another descriptor may be sent to it."""
        successor = self.successor
        return successor is not None and len(successor.unconfirmed) < MAX_UNCONFIRMED_DESCRIPTORS

    @property
    def has_unconfirmed(self) -> bool:
        """Whether sent descriptors are unconfirmed, so that they may still return."""
        return any(link.unconfirmed for link in self.links)

    # ---- events of links ----

    def link_opened(self, link: Link) -> None:
        """Record a new link."""
        self.links.append(link)

    def link_removed(self, link: Link) -> None:
        """Remove a link."""
        self.links.remove(link)

    def link_closed(self, link: Link) -> None:
        """Handle the end of a link, as its process ended or as either side closed it."""
        if self.closed:
            return
        if link is self.predecessor:
            self.predecessor = None
            self.is_path_available = True
            if self.search.is_active:
                self.search.retry()
                return
            self.listen()
        elif not link.is_successor:
            return
        self.log.write("handover", f"the {'new' if link.is_successor else 'former'} process is gone")
        self.delegate.links_changed()

    def descriptor_confirmed(self) -> None:
        """Notify the delegate that another descriptor may be sent."""
        self.delegate.descriptor_confirmed()

    def connection_returned(self, descriptor: int, transfer: ConnectionTransfer) -> None:
        """Resume serving a connection that the peer process has not received."""
        self.delegate.connection_returned(descriptor, transfer)
