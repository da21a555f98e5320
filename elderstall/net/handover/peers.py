"""How the processes of an upgrade find each other, and who of them is the listener's.

They meet at a Unix socket in the dispatcher's own folder. The process that is there first hands over, the
other asks for it. Where one upgrade follows on another before it is over, there are three.
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
    Answer,
    Busy,
    ConnectionTransfer,
    Got,
    Hello,
    Message,
    ProgramMessage,
    Question,
    Released,
    Serving,
    State,
)
from elderstall.net.handover.questions import any_accepted
from elderstall.net.handover.search import Offer, PredecessorSearch, path_too_long

UNCONFIRMED_LIMIT = 32  # descriptors on the way at once: each is held twice for a moment


class Program(Protocol):
    """What the program does in an upgrade, see `elderstall.upgrade`."""

    def make_offer(self) -> Offer:
        """Give a new process what it needs; the listener's descriptor is a copy, the receiver's to close."""

    def message_received(self, message: ProgramMessage, descriptor: int | None) -> bool:
        """Act on a message; gives the answer if it is a question."""

    def links_changed(self) -> None:
        """Adapt to the other processes that are there now."""

    def descriptor_confirmed(self) -> None:
        """Note that one more connection may be sent."""

    def connection_returned(self, descriptor: int, transfer: ConnectionTransfer) -> None:
        """Serve on with a connection that the other process has not taken."""


class Handover(Factory):
    """Finds the process that runs, and is found by the next one."""

    noisy = False

    def __init__(self, deadlines: Deadlines, log: Log, reactor: Any, folder: str, name: str) -> None:
        self.deadlines, self.log, self.reactor = deadlines, log, reactor
        self.path = os.path.join(folder, f"{name}.sock")
        self.links: list[Link] = []
        self.port: Any = None  # where the next process finds this one
        self.closed = False
        self.path_free = True  # nobody else is to be found at the path
        self.predecessor: Link | None = None  # to the process that hands over to this one
        self.search = PredecessorSearch(deadlines, log, reactor, self, self.predecessor_found)
        self.program: Program  # set as the program is put together

    def buildProtocol(self, addr: object) -> Link:  # noqa: N802, D102
        return Link(self)

    def find(self) -> Deferred[Offer | None]:
        """Ask the process that runs to hand over; gives its offer, or None if there is no such process.

        Fails with TimeoutError where one is there but does not hand over.
        """
        return self.search.begin(self.path)

    def predecessor_found(self, link: Link) -> None:
        """Note the process that is asked to hand over."""
        self.predecessor, self.path_free = link, False

    # ---- messages ----

    def message_received(self, link: Link, received: Received) -> None:
        """Act on a message: on those about the listener here, on the others in the program."""
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
                self.path_free = True
                self.listen()
            case message:
                self.program_message(link, cast("ProgramMessage", message), received)

    def program_message(self, link: Link, message: ProgramMessage, received: Received) -> None:
        """Have the program act on a message; a question is put to a third process too, and answered."""
        accepted = self.program.message_received(message, received.descriptor)
        if received.descriptor is not None:
            link.send(Got())
        number = received.envelope.number
        if number is not None:
            others = self.ask_others(cast("Question", message), asker=link)
            others.addCallback(lambda yes: link.send(Answer(number, accepted or yes)))

    def offer(self, link: Link, version: object) -> None:
        """Hand over to a new process: one at a time."""
        if version != VERSION or any(other.is_successor for other in self.links):
            link.send(Busy())
            return
        link.is_successor = True
        offer = self.program.make_offer()
        link.send_descriptor(State(offer.state), offer.listener)
        self.log.write("handover", "a new process asks for the listener")
        self.program.links_changed()

    def release(self, link: Link) -> None:
        """Leave the listener, and the place at the path, to a new process that serves now."""
        self.log.write("handover", "a new process serves; it gets the connections")
        link.serving = True
        self.stop_listening().addBoth(lambda _: link.send(Released()))
        self.program.links_changed()

    # ---- the place at the path ----

    def listen(self) -> None:
        """Be there for the next process. A dead one's socket is replaced; without any all else works."""
        if self.port is not None or not self.path_free or path_too_long(self.path):
            return
        try:
            if os.path.exists(self.path):
                os.unlink(self.path)
            self.port = self.reactor.listenUNIX(self.path, self, mode=0o600)
        except Exception as error:
            self.log.write("handover", f"no next process can take over: {error}")

    def stop_listening(self) -> Deferred[None]:
        """Be found no more: the next process asks the one that serves now."""
        port, self.port = self.port, None
        done = Deferred[None]()
        if port is None:
            done.callback(None)
            return done
        return cast("Deferred[None]", port.stopListening())

    def close(self) -> None:
        """End with this process: its links end with no word on what they were for.

        Guards the socket of the process that serves now: this one would take its place as it goes.
        """
        self.closed = True

    # ---- the other processes ----

    def established(self, link: Link) -> bool:
        """Say whether one of the two processes has handed its state over to the other."""
        return link.is_successor or (link is self.predecessor and not self.search.under_way)

    @property
    def others(self) -> list[Link]:
        """The other processes of the dispatcher."""
        return [link for link in self.links if self.established(link)]

    @property
    def successor(self) -> Link | None:
        """The process that serves instead of this one."""
        return next((link for link in self.links if link.serving), None)

    def ask_others(self, question: Question, asker: Link | None = None) -> Deferred[bool]:
        """Ask every other process but the asker; gives whether any says yes."""
        return any_accepted([link.ask(question) for link in self.others if link is not asker])

    def announce(self, message: Message) -> None:
        """Send a message to every other process."""
        for link in self.others:
            link.send(message)

    def send_connection(self, descriptor: int, transfer: ConnectionTransfer) -> bool:
        """Hand a connection to the process that serves, if there is one."""
        successor = self.successor
        if successor is None:
            return False
        successor.send_descriptor(transfer, descriptor)
        return True

    @property
    def may_send_connection(self) -> bool:
        """Whether there is a new process, and another descriptor may go its way."""
        successor = self.successor
        return successor is not None and len(successor.unconfirmed) < UNCONFIRMED_LIMIT

    @property
    def has_unconfirmed(self) -> bool:
        """Whether descriptors are on their way that may yet come back."""
        return any(link.unconfirmed for link in self.links)

    # ---- what links note ----

    def link_opened(self, link: Link) -> None:
        """Note a new link."""
        self.links.append(link)

    def link_removed(self, link: Link) -> None:
        """Count a link no more."""
        self.links.remove(link)

    def link_closed(self, link: Link) -> None:
        """Note that the other process is gone."""
        if self.closed:
            return
        if link is self.predecessor:
            self.predecessor, self.path_free = None, True
            if self.search.under_way:
                self.search.retry()
                return
            self.listen()
        elif not link.is_successor:
            return
        self.log.write("handover", f"the {'new' if link.is_successor else 'former'} process is gone")
        self.program.links_changed()

    def descriptor_confirmed(self) -> None:
        """Use the room on the way."""
        self.program.descriptor_confirmed()

    def connection_returned(self, descriptor: int, transfer: ConnectionTransfer) -> None:
        """Serve on with a connection that the other process has not taken."""
        self.program.connection_returned(descriptor, transfer)
