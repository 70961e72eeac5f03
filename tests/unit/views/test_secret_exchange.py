"""The fleet's secret is given only to recent members and accepted only from hosts asked."""

import unittest

from beamloom.protocol.messages import Message
from beamloom.protocol.secret_messages import SecretAnswer, SecretRequest
from beamloom.replication.secret_exchange import (
    ANSWER_INTERVAL_SECONDS,
    MAXIMUM_MEMBERS,
    MEMBER_SECONDS,
    NONCE_BYTES,
    SecretRequester,
    SecretResponder,
)

SECRET = bytes(range(16))
NONCE = b"n" * NONCE_BYTES
MEMBER = "10.0.0.2"


class RequesterTest(unittest.TestCase):
    def setUp(self) -> None:
        self.requester = SecretRequester(NONCE, len(SECRET))
        self.requester.requests([MEMBER])

    def test_answer_of_a_host_that_was_asked_is_accepted(self) -> None:
        self.assertEqual(self.requester.take(MEMBER, SecretAnswer(NONCE, SECRET)), SECRET)

    def test_other_messages_are_ignored(self) -> None:
        ignored: list[tuple[str, Message]] = [
            ("10.0.0.9", SecretAnswer(NONCE, SECRET)),
            (MEMBER, SecretAnswer(b"m" * NONCE_BYTES, SECRET)),
            (MEMBER, SecretAnswer(NONCE, SECRET[:4])),
            (MEMBER, SecretAnswer(NONCE, "text")),  # type: ignore[arg-type]
            (MEMBER, SecretRequest(NONCE)),
        ]
        for host, message in ignored:
            with self.subTest(message=message):
                self.assertIsNone(self.requester.take(host, message))


class ResponderTest(unittest.TestCase):
    def setUp(self) -> None:
        self.responder = SecretResponder(SECRET)
        self.responder.note_member(MEMBER, 10.0)

    def test_recent_member_is_answered(self) -> None:
        answer = self.responder.answer(MEMBER, SecretRequest(NONCE), 20.0)
        assert answer is not None
        self.assertEqual((answer.host, answer.message), (MEMBER, SecretAnswer(NONCE, SECRET)))

    def test_unknown_hosts_and_former_members_are_not_answered(self) -> None:
        self.assertIsNone(self.responder.answer("10.0.0.9", SecretRequest(NONCE), 20.0))
        late = 10.0 + MEMBER_SECONDS
        self.assertIsNone(self.responder.answer(MEMBER, SecretRequest(NONCE), late))

    def test_invalid_requests_are_not_answered(self) -> None:
        for message in (SecretRequest(b""), SecretRequest(7), SecretAnswer(NONCE, SECRET)):  # type: ignore[arg-type]
            self.assertIsNone(self.responder.answer(MEMBER, message, 20.0))

    def test_rate_of_answers_to_a_host_is_bounded(self) -> None:
        answers = [
            self.responder.answer(MEMBER, SecretRequest(NONCE), 20.0 + step / 100)
            for step in range(100)
        ]
        given = sum(answer is not None for answer in answers)
        self.assertLessEqual(given, 1.0 / ANSWER_INTERVAL_SECONDS + 1)

    def test_number_of_recorded_members_is_bounded(self) -> None:
        for number in range(MAXIMUM_MEMBERS + 10):
            self.responder.note_member(f"h{number}", 10.0)
        last = f"h{MAXIMUM_MEMBERS + 9}"
        self.assertIsNone(self.responder.answer(last, SecretRequest(NONCE), 11.0))
