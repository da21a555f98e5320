"""An upgrade: a new process takes the listener and the connections over from the one that runs.

Both speak over a Unix socket in the dispatcher's own folder: JSON, one message a line, in order; a message
that says so comes with one descriptor. The process that is there first hands over, the other asks for it.
"""

from __future__ import annotations

import json
import os
from collections import deque
from collections.abc import Callable
from typing import Any, cast

from twisted.internet.defer import Deferred
from twisted.internet.endpoints import UNIXClientEndpoint
from twisted.internet.interfaces import IFileDescriptorReceiver, IPushProducer
from twisted.internet.protocol import Factory, Protocol, connectionDone
from twisted.python.failure import Failure
from zope.interface import implementer

from elderstall.deadlines import Deadline, Deadlines
from elderstall.log import Log
from elderstall.net.buffer import Buffer

VERSION = 1  # of the messages; another one is not spoken to
LINE_MOST = 8 * 1024 * 1024  # bytes of one message: thousands of ids and a long list
IN_FLIGHT = 32  # descriptors on the way at once: each is held twice for a moment
FIND = 1.0  # s to connect to the one that runs; it is on this machine
ANSWER = 5_000.0  # ms for it to hand over: the platform waits 6 s for the new one
ASK_AGAIN = 100.0  # ms until a call that found the other too busy is made again
WORD = 300.0  # ms for the other's word in a call; operators wait 1 s for theirs
PATH_MOST = 107  # bytes of a Unix socket's path, by the system's limit

Message = dict[str, Any]


@implementer(IFileDescriptorReceiver, IPushProducer)
class Link(Protocol):
    """The way to the other process of an upgrade."""

    transport: Any  # IUNIXTransport, as zope's interfaces say nothing to mypy

    def __init__(self, handover: Handover) -> None:
        self.handover = handover
        self.buffer = Buffer()
        self.came: deque[int] = deque()  # descriptors whose message is still to come
        self.sent: deque[tuple[int, Message]] = deque()  # what the other has not yet confirmed
        self.asked: dict[int, Deferred[bool]] = {}  # what waits for the other's word
        self.count = 0
        self.newer = False  # the other is the new one, and has asked
        self.serving = False  # the new one accepts; the old one hands over
        self.given_up = False  # it lives, but does not read
        self.stuck: Deadline | None = None  # runs while the other does not read

    @property
    def known(self) -> bool:
        """Whether the two have come to terms: one has handed its state over."""
        return self.newer or (self is self.handover.older and self.handover.found is None)

    def connectionMade(self) -> None:  # noqa: N802, D102
        self.handover.links.append(self)
        self.transport.registerProducer(self, True)

    def pauseProducing(self) -> None:  # noqa: N802
        """See that the other does not read: what is written to it waits in memory, so it has so long."""
        self.stuck = self.handover.deadlines.after(ANSWER, self.frozen)

    def resumeProducing(self) -> None:  # noqa: N802
        """See it read on."""
        if self.stuck is not None:
            self.stuck.cancel()

    def stopProducing(self) -> None:  # noqa: N802, D102
        pass

    def frozen(self) -> None:
        """Give up on a process that reads nothing: this one serves on by itself."""
        self.handover.log.write("handover", "the other process does not read")
        self.given_up = True
        self.transport.abortConnection()

    def fileDescriptorReceived(self, descriptor: int) -> None:  # noqa: N802, D102
        self.came.append(descriptor)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802, D102
        self.buffer.append(data)
        try:
            while (n := self.buffer.find(b"\n")) >= 0:
                text = self.buffer.take(n)
                self.buffer.take(1)
                self.take(json.loads(text))
            if len(self.buffer) > LINE_MOST:
                raise ValueError("line too long")
        except (ValueError, KeyError, TypeError, IndexError, AttributeError, OSError) as error:
            self.handover.log.failure("link", error)
            # What was confirmed is written first: the other would take back a connection served here.
            self.transport.unregisterProducer()
            self.transport.loseConnection()

    def take(self, message: Message) -> None:
        """Take a message, with its descriptor if it has one."""
        fd = self.came.popleft() if message.get("fd") else None
        what = message["m"]
        if what == "word":
            if (done := self.asked.pop(message["n"], None)) is not None:
                done.callback(bool(message["good"]))
        elif what == "got":
            os.close(self.sent.popleft()[0])
            self.handover.on_room()
        else:
            self.handover.take(self, what, message, fd)

    def send(self, what: str, fd: int | None = None, **fields: Any) -> None:
        """Send a message. A descriptor is this link's from now on; it is closed once the other has it."""
        if fd is not None:
            self.sent.append((fd, {"m": what, **fields}))
            self.transport.sendFileDescriptor(fd)
            fields["fd"] = 1
        self.transport.write(json.dumps({"m": what, **fields}).encode() + b"\n")

    def ask(self, what: str, **fields: Any) -> Deferred[bool]:
        """Ask for the other's yes or no. Without a word in time, or at the link's end, it is a no."""
        self.count += 1
        number, done = self.count, Deferred[bool]()
        self.asked[number] = done
        timer = self.handover.deadlines.after(WORD, self.silent, number)

        def over(good: bool) -> bool:
            timer.cancel()
            return good

        done.addCallback(over)
        self.send(what, n=number, **fields)
        return done

    def silent(self, number: int) -> None:
        """Take silence for a no."""
        if (done := self.asked.pop(number, None)) is not None:
            done.callback(False)

    def connectionLost(self, reason: Failure = connectionDone) -> None:  # noqa: N802, D102
        self.handover.links.remove(self)
        self.resumeProducing()
        for fd in self.came:
            os.close(fd)
        for number in list(self.asked):
            self.silent(number)
        self.handover.lost(self)
        for fd, message in self.sent:
            # A process that has ended confirmed what it took. One that does not read may yet take the rest.
            if message["m"] == "connection" and not self.given_up and not self.handover.closed:
                self.handover.on_returned(fd, message)
            else:
                os.close(fd)
        self.sent.clear()


class Handover(Factory):
    """Finds the process that runs, and is found by the next one."""

    noisy = False

    def __init__(self, deadlines: Deadlines, log: Log, reactor: Any, folder: str, name: str) -> None:
        self.deadlines, self.log, self.reactor = deadlines, log, reactor
        self.path = os.path.join(folder, f"{name}.sock")
        self.links: list[Link] = []
        self.port: Any = None  # where the next process finds this one
        self.closed = False
        self.free = True  # nobody else is to be found at the path
        self.older: Link | None = None  # to the process that hands over to this one
        self.found: Deferred[tuple[Message, int] | None] | None = None
        # What the program does; see App.
        self.state: Callable[[], tuple[Message, int]] = lambda: ({}, -1)
        self.told: Callable[[str, Message, int | None], bool] = lambda what, message, fd: False
        self.on_links: Callable[[], None] = lambda: None
        self.on_room: Callable[[], None] = lambda: None
        self.on_returned: Callable[[int, Message], None] = lambda fd, message: os.close(fd)

    def buildProtocol(self, addr: object) -> Link:  # noqa: N802, D102
        return Link(self)

    # ---- the new process ----

    def find(self) -> Deferred[tuple[Message, int] | None]:
        """Ask the process that runs to hand over; gives its state and the listener, or None if there is none.

        Fails with TimeoutError where one is there but does not hand over.
        """
        self.found = found = Deferred[tuple[Message, int] | None]()
        if len(os.fsencode(self.path)) > PATH_MOST:
            self.log.write("handover", f"off: the path of {self.path} is too long")
            self.settle(None)
        elif not os.path.exists(self.path):
            self.settle(None)
        else:
            self.deadlines.after(ANSWER, self.no_answer)
            self.call()
        return found

    def call(self) -> None:
        """Connect to the process that runs."""
        if self.found is None:
            return
        made: Any = UNIXClientEndpoint
        endpoint = made(self.reactor, self.path, timeout=FIND)
        calling = cast("Deferred[Link]", endpoint.connect(self))
        calling.addCallbacks(self.hello, self.stale)

    def hello(self, link: Link) -> None:
        """Ask for the handover."""
        self.older, self.free = link, False
        link.send("hello", version=VERSION)

    def stale(self, failure: Failure) -> None:
        """Take a socket that nobody listens on for a leaving of a process that died."""
        self.log.write("handover", f"nobody listens on {self.path}: {type(failure.value).__name__}")
        self.settle(None)

    def no_answer(self) -> None:
        """Give up on a process that is there but does not hand over."""
        if self.found is not None:
            found, self.found = self.found, None
            found.errback(TimeoutError("the process that runs does not hand over"))

    def settle(self, result: tuple[Message, int] | None) -> None:
        """Give what was found."""
        if self.found is not None:
            found, self.found = self.found, None
            found.callback(result)

    # ---- both ----

    def listen(self) -> None:
        """Be there for the next process. A dead one's socket is replaced; without any all else works."""
        if self.port is not None or not self.free or len(os.fsencode(self.path)) > PATH_MOST:
            return
        try:
            if os.path.exists(self.path):
                os.unlink(self.path)
            self.port = self.reactor.listenUNIX(self.path, self, mode=0o600)
        except Exception as error:
            self.log.write("handover", f"no next process can take over: {error}")

    def take(self, link: Link, what: str, message: Message, fd: int | None) -> None:
        """Take what the other process says."""
        if what == "hello":
            self.asked(link, message)
        elif what == "busy":
            link.transport.loseConnection()
        elif what == "state":
            assert fd is not None
            link.send("got")
            self.settle((message, fd))
        elif what == "serving":
            self.log.write("handover", "a new process serves; it gets the connections")
            link.serving = True
            self.unlisten().addBoth(lambda _: link.send("released"))
            self.on_links()
        elif what == "released":
            self.free = True
            self.listen()
        else:
            good = self.told(what, message, fd)
            if fd is not None:
                link.send("got")
            if "n" in message:
                self.pass_on(link, what, message, good)

    def asked(self, link: Link, message: Message) -> None:
        """Hand over to a new process: one at a time."""
        if message.get("version") != VERSION or any(x.newer for x in self.links):
            link.send("busy")
            return
        link.newer = True
        state, fd = self.state()
        link.send("state", fd, **state)
        self.log.write("handover", "a new process asks for the listener")
        self.on_links()

    def close(self) -> None:
        """End with this process: its links end with no word on what they were for.

        Guards the socket of the process that serves now: this one would take its place as it goes.
        """
        self.closed = True

    def unlisten(self) -> Deferred[None]:
        """Be found no more: the next process asks the one that serves now."""
        port, self.port = self.port, None
        done = Deferred[None]()
        if port is None:
            done.callback(None)
            return done
        return cast("Deferred[None]", port.stopListening())

    def pass_on(self, link: Link, what: str, message: Message, good: bool) -> None:
        """Tell a third process too, where one upgrade follows on another, and answer."""
        fields = {name: value for name, value in message.items() if name not in ("m", "n")}
        done = self.tell(what, link, **fields)
        done.addCallback(lambda others: link.send("word", n=message["n"], good=good or others))

    def tell(self, what: str, but: Link | None = None, **fields: Any) -> Deferred[bool]:
        """Ask every other process; gives whether any says yes."""
        asked = [link.ask(what, **fields) for link in self.links if link is not but and link.known]
        done, good = Deferred[bool](), [False]
        left = [len(asked)]

        def word(yes: bool) -> None:
            good[0] = good[0] or yes
            left[0] -= 1
            if left[0] == 0:
                done.callback(good[0])

        if not asked:
            done.callback(False)
        for one in asked:
            one.addCallback(word)
        return done

    def announce(self, what: str, **fields: Any) -> None:
        """Say something to every other process."""
        for link in self.links:
            if link.known:
                link.send(what, **fields)

    @property
    def linked(self) -> bool:
        """Whether there is another process."""
        return any(link.known for link in self.links)

    @property
    def successor(self) -> Link | None:
        """The process that serves instead of this one."""
        return next((link for link in self.links if link.serving), None)

    def hand(self, fd: int, **fields: Any) -> bool:
        """Hand a connection to the new process, if there is room on the way."""
        link = self.successor
        if link is None:
            return False
        link.send("connection", fd, **fields)
        return True

    @property
    def room(self) -> bool:
        """Whether there is a new process, and another descriptor may go its way."""
        link = self.successor
        return link is not None and len(link.sent) < IN_FLIGHT

    def lost(self, link: Link) -> None:
        """Note that the other process is gone."""
        if self.closed:
            return
        if link is self.older:
            self.older, self.free = None, True
            if self.found is not None:  # it was busy with another, or died: see again
                self.deadlines.after(ASK_AGAIN, self.call)
                return
            self.listen()
        elif not link.newer:
            return
        self.log.write("handover", f"the {'new' if link.newer else 'former'} process is gone")
        self.on_links()
