"""Agreeing on the fleet's secret: whoever made it, all read the same."""

import random
import unittest

from beamloom.replication.shared_secret import SecretStep, SharedSecret


class SharedSecretTest(unittest.TestCase):
    def setUp(self) -> None:
        self.secret = SharedSecret(random.Random(1))

    def test_it_reads_first_and_makes_only_what_is_absent(self) -> None:
        self.assertIs(self.secret.step, SecretStep.READ_STALE)
        self.secret.take_absent()
        self.assertIs(self.secret.step, SecretStep.READ)
        self.secret.take_absent()
        self.assertIs(self.secret.step, SecretStep.CREATE)

    def test_what_was_made_is_read_back_before_it_is_used(self) -> None:
        self.secret.take_absent()
        self.secret.take_absent()
        self.secret.take_created()
        self.assertIs(self.secret.step, SecretStep.READ)
        self.assertIsNone(self.secret.value)
        self.secret.take_secret(b"key")
        self.assertEqual(self.secret.value, b"key")

    def test_a_creation_without_an_answer_is_read_back(self) -> None:
        self.secret.take_absent()
        self.secret.take_absent()
        self.secret.take_failure()
        self.assertIs(self.secret.step, SecretStep.READ)
