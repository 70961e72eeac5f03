"""All nodes use the secret read from the store, whichever node created it."""

import random
import unittest

from beamloom.replication.shared_secret import (
    CREATE_DELAY_SECONDS,
    RECREATE_DELAY_SECONDS,
    SecretStep,
    SharedSecret,
)


class SharedSecretTest(unittest.TestCase):
    def setUp(self) -> None:
        self.secret = SharedSecret(random.Random(1))

    def test_secret_is_created_only_after_a_current_read_found_none(self) -> None:
        self.assertIs(self.secret.step, SecretStep.READ_STALE)
        self.secret.handle_absent()
        self.assertIs(self.secret.step, SecretStep.READ)
        self.secret.handle_absent()
        self.assertIs(self.secret.step, SecretStep.CREATE)

    def test_created_secret_is_read_before_it_is_used(self) -> None:
        self.secret.handle_absent()
        self.secret.handle_absent()
        self.secret.handle_created()
        self.assertIs(self.secret.step, SecretStep.READ)
        self.assertIsNone(self.secret.value)
        self.secret.handle_secret(b"key")
        self.assertEqual(self.secret.value, b"key")

    def test_creation_is_delayed_longer_if_the_secret_was_lost(self) -> None:
        self.assertEqual(self.secret.create_delay_seconds(first_start=True), CREATE_DELAY_SECONDS)
        self.assertEqual(
            self.secret.create_delay_seconds(first_start=False), RECREATE_DELAY_SECONDS
        )
        self.secret.era = 1
        self.assertEqual(self.secret.create_delay_seconds(first_start=True), CREATE_DELAY_SECONDS)
        self.secret.era = 2
        self.assertEqual(self.secret.create_delay_seconds(first_start=True), RECREATE_DELAY_SECONDS)

    def test_creation_without_an_answer_is_followed_by_a_read(self) -> None:
        self.secret.handle_absent()
        self.secret.handle_absent()
        self.secret.handle_failure()
        self.assertIs(self.secret.step, SecretStep.READ)
