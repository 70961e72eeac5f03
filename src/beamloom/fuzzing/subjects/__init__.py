"""Subjects of fuzzing, each checked against an oracle."""
