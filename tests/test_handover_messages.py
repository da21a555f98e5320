"""The messages between the processes of an upgrade, byte by byte, as the processes may differ in version."""

from __future__ import annotations

import json
import os
import unittest

from elderstall.clocks import SharedClock
from elderstall.net.handover.framing import MessageReader
from elderstall.net.handover.messages import (
    Busy,
    Callback,
    ConnectionsHeld,
    ConnectionTransfer,
    Envelope,
    ExcludeWorker,
    Got,
    Hello,
    IncludeWorker,
    Message,
    QuestionAnswer,
    Released,
    RequestTaken,
    Serving,
    State,
    decode,
    encode,
)
from elderstall.net.handover.process_state import ProcessState

CALL = {"id": "a1", "from": "w1", "state": "started"}
LINES: tuple[tuple[Envelope, bytes], ...] = (
    (Envelope(Hello(1)), b'{"m": "hello", "version": 1}'),
    (Envelope(Busy()), b'{"m": "busy"}'),
    (Envelope(Serving()), b'{"m": "serving"}'),
    (Envelope(Released()), b'{"m": "released"}'),
    (Envelope(Got()), b'{"m": "got"}'),
    (Envelope(ConnectionsHeld(7)), b'{"m": "held", "held": 7}'),
    (Envelope(RequestTaken("a1")), b'{"m": "id", "id": "a1"}'),
    (
        Envelope(Callback(CALL), number=3),
        b'{"m": "callback", "n": 3, "call": {"id": "a1", "from": "w1", "state": "started"}}',
    ),
    (Envelope(ExcludeWorker("w1"), number=1), b'{"m": "exclude", "n": 1, "id": "w1"}'),
    (Envelope(IncludeWorker("w1"), number=2), b'{"m": "include", "n": 2, "id": "w1"}'),
    (Envelope(QuestionAnswer(2, True)), b'{"m": "word", "n": 2, "good": true}'),
)


class Codec(unittest.TestCase):
    def test_every_message_is_encoded_as_in_the_previous_version(self) -> None:
        for envelope, line in LINES:
            with self.subTest(envelope):
                self.assertEqual(line + b"\n", encode(envelope))
                self.assertEqual(envelope.message, decode(line).message)

    def test_messages_with_a_descriptor_end_with_its_flag(self) -> None:
        fields = {"client": True, "asked": 1}
        messages: tuple[tuple[Message, bytes], ...] = (
            (State(fields), b'{"m": "state", "client": true, "asked": 1, "fd": 1}\n'),
            (ConnectionTransfer(fields), b'{"m": "connection", "client": true, "asked": 1, "fd": 1}\n'),
        )
        for message, line in messages:
            with self.subTest(message):
                self.assertEqual(line, encode(Envelope(message, has_descriptor=True)))
                envelope = decode(line)
                self.assertIs(type(message), type(envelope.message))
                self.assertTrue(envelope.has_descriptor)

    def test_a_question_keeps_its_number(self) -> None:
        self.assertEqual(
            Envelope(Callback(CALL), number=3), decode(encode(Envelope(Callback(CALL), number=3)))
        )

    def test_unknown_or_malformed_message_is_an_error(self) -> None:
        with self.assertRaisesRegex(ValueError, "unknown message 'other'"):
            decode(b'{"m": "other"}')
        for line in (b"no message", b"[]", b"{}", b'{"m": []}', b'{"m": "held"}', b'{"m": "word", "n": 1}'):
            with self.subTest(line), self.assertRaises((ValueError, KeyError, TypeError, AttributeError)):
                decode(line)


class Reading(unittest.TestCase):
    def test_messages_before_a_malformed_one_are_yielded_each_with_its_descriptor(self) -> None:
        reader = MessageReader()
        read, write = os.pipe()
        os.close(write)
        reader.descriptors.append(read)
        self.assertEqual([], list(reader.received(b'{"m": "got"}')))
        messages = reader.received(b'\n{"m": "connection", "fd": 1}\nno message\n')
        self.assertEqual((Envelope(Got()), None), ((first := next(messages)).envelope, first.descriptor))
        second = next(messages)
        self.assertEqual(read, second.descriptor)
        self.assertRaises(ValueError, next, messages)
        os.close(read)

    def test_descriptors_without_their_message_are_closed(self) -> None:
        reader = MessageReader()
        read, write = os.pipe()
        reader.descriptors.extend((read, write))
        reader.close()
        for descriptor in (read, write):
            self.assertRaises(OSError, os.fstat, descriptor)


class States(unittest.TestCase):
    STATE = ProcessState(
        clock=SharedClock(1_000.0, 0.0),
        starts={"w1": (5.0, 6.0)},
        endpoints={"index": 3, "snapshot": True, "endpoints": []},
        discovery="127.0.0.1:1",
        banned={"w2": 7.0},
        bans_ended={"w3": (8.0, 9.0)},
        request_ids=["a1"],
        streamed=["a2"],
        learned={"workers": {}},
        connections=4,
    )

    def test_the_state_is_encoded_as_in_the_previous_version(self) -> None:
        self.assertEqual(
            '{"clock": {"version": 1, "offset_ms": 1000.0}, "starts": {"w1": [5.0, 6.0]}, '
            '"known": {"index": 3, "snapshot": true, "endpoints": []}, "discovery": "127.0.0.1:1", '
            '"banned": {"w2": 7.0}, "back": {"w3": [8.0, 9.0]}, "ids": ["a1"], "begun": ["a2"], '
            '"learned": {"workers": {}}, "held": 4}',
            json.dumps(self.STATE.encode()),
        )

    def test_the_decoded_state_equals_the_encoded_one(self) -> None:
        self.assertEqual(self.STATE, ProcessState.decode(self.STATE.encode(), 0.0))

    def test_fields_missing_from_earlier_versions_have_defaults(self) -> None:
        message = {"banned": {}, "back": {}, "ids": [], "begun": [], "held": 0}
        state = ProcessState.decode(message, 0.0)
        self.assertFalse(state.clock.has_sender_offset)
        self.assertEqual(
            ({}, None, None, None), (state.starts, state.endpoints, state.discovery, state.learned)
        )
